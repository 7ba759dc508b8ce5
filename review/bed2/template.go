// Package bed2 starts a small deployment of the project's own programs on loopback addresses, with
// stand-ins of its workers, clients and operator that follow the users' pages.
package bed2

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// fields are the fields of a settings file, by name.
type fields map[string]any

var placeholder = regexp.MustCompile(`\{\{([^{}]+)\}\}`)

// render fills in a template of settings as the platform does: values, JSON values, and sections
// over lists, tables and single values.
func render(text string, scopes ...any) (string, error) {
	var out strings.Builder
	for {
		at := placeholder.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String(), nil
		}
		out.WriteString(text[:at[0]])
		name := text[at[2]:at[3]]
		text = text[at[1]:]
		if name[0] != '#' && name[0] != '^' {
			value, err := format(name, scopes)
			if err != nil {
				return "", err
			}
			out.WriteString(value)
			continue
		}
		end := "{{/" + name[1:] + "}}"
		body, rest, ok := strings.Cut(text, end)
		if !ok {
			return "", fmt.Errorf("section %s has no end", name)
		}
		text = rest
		section, err := renderSection(name, body, scopes)
		if err != nil {
			return "", err
		}
		out.WriteString(section)
	}
}

func renderSection(name, body string, scopes []any) (string, error) {
	value := lookup(name[1:], scopes)
	present := value != nil && value != false
	if name[0] == '^' {
		if present {
			return "", nil
		}
		return render(body, scopes...)
	}
	if !present {
		return "", nil
	}
	entries := []entry{{value: value, last: true}}
	if table, ok := value.(fields); ok {
		entries = nil
		for _, key := range slices.Sorted(maps.Keys(table)) {
			entries = append(entries, entry{key: key, value: table[key]})
		}
		entries[len(entries)-1].last = true
	}
	var out strings.Builder
	for _, e := range entries {
		text, err := render(body, append([]any{e}, scopes...)...)
		if err != nil {
			return "", err
		}
		out.WriteString(text)
	}
	return out.String(), nil
}

// entry is the current entry of a section.
type entry struct {
	key   string
	value any
	last  bool
}

func format(name string, scopes []any) (string, error) {
	name, asJSON := strings.CutSuffix(name, "|json")
	if e, ok := scopes[0].(entry); ok && name == "," {
		if e.last {
			return "", nil
		}
		return ",", nil
	}
	value := lookup(name, scopes)
	if asJSON {
		b, err := json.Marshal(value)
		return string(b), err
	}
	if value == nil {
		return "", nil
	}
	return fmt.Sprint(value), nil
}

// lookup returns the value of a name, in the first scope that has it, or nil.
func lookup(name string, scopes []any) any {
	for _, scope := range scopes {
		switch s := scope.(type) {
		case entry:
			switch name {
			case ".":
				return s.value
			case "@":
				return s.key
			}
		case fields:
			if value := s.get(strings.Split(name, ".")); value != nil {
				return value
			}
		}
	}
	return nil
}

func (f fields) get(path []string) any {
	value := f[path[0]]
	if len(path) == 1 || value == nil {
		return value
	}
	switch v := value.(type) {
	case fields:
		return v.get(path[1:])
	case []int:
		if i, err := strconv.Atoi(path[1]); err == nil && i < len(v) {
			return v[i]
		}
	}
	return nil
}
