package settings

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// lineOf returns the line of a dotted key in a YAML document. If the document does not
// contain the key, it returns the line of the nearest parent, or 1.
func lineOf(doc []byte, key string) int {
	file, err := parser.ParseBytes(doc, 0)
	if err != nil || len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return 1
	}
	want := "$." + key
	line := 1
	for node := want; strings.Contains(node, "."); node = node[:strings.LastIndex(node, ".")] {
		if n, ok := lineOfPath(file, node); ok {
			line = n
			break
		}
	}
	return line
}

func lineOfPath(file *ast.File, path string) (int, bool) {
	p, err := yaml.PathString(path)
	if err != nil {
		return 0, false
	}
	node, err := p.FilterFile(file)
	if err != nil || node == nil {
		return 0, false
	}
	return node.GetToken().Position.Line, true
}
