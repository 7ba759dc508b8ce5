// Package lang parses the query and command language of operators. A statement is a query,
// a change set of one or more changes, or a single command such as "reseed log" or "abort
// rollout tickets". Examples:
//
//	show daemons where domain = ikeja
//	publish service tickets ramp 10s; publish policy urgent urgency critical timeout 800ms
//	if version 12 withdraw route tickets
package lang

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
)

// Statement is a parsed statement. Exactly one of Query, Changes, Reseed, ClearSuspect,
// Rollout and AbortRollout is set.
type Statement struct {
	Query   *Query
	Changes []config.Change
	DryRun  bool
	// Force skips the version precondition, IfVersion sets it. With neither, the
	// precondition is the version that the answering daemon has.
	Force     bool
	IfVersion *uint64
	Reseed    bool
	// ClearSuspect is the digest of a suspect to clear.
	ClearSuspect string
	// Rollout orders a rollout. AbortRollout names the service whose rollout to abort.
	Rollout      *Rollout
	AbortRollout string
}

// Rollout is an order to move a service's calls to the target version of its upstreams
// within a time limit.
type Rollout struct {
	Service  string
	Target   string
	Duration time.Duration
}

// Query asks for the rows of a table.
type Query struct {
	Table string
	// Name selects rows by their first column, unless it is empty.
	Name  string
	Where []Condition
}

// Condition restricts a query to rows with the value in a column, or without it if Not is
// set.
type Condition struct {
	Column string
	Not    bool
	Value  string
}

// Error is the error of a statement that cannot be parsed.
type Error struct {
	// Line and Column locate the error; both start at 1.
	Line   int
	Column int
	Reason string
}

// Error implements error. It returns the reason without the position.
func (e *Error) Error() string { return e.Reason }

// The grammar, as structs with participle tags. The attributes of an entity may appear in
// any order.
type statementAST struct {
	Query   *queryAST   `parser:"( @@"`
	Reseed  bool        `parser:"| @'reseed' 'log'"`
	Clear   string      `parser:"| 'clear' 'suspect' @Word"`
	Rollout *rolloutAST `parser:"| @@"`
	Abort   string      `parser:"| 'abort' 'rollout' @Word"`
	Command *commandAST `parser:"| @@ ) ';'?"`
}

type rolloutAST struct {
	Service string    `parser:"'rollout' @Word"`
	Target  string    `parser:"'to' @( Word | String )"`
	Within  *valueAST `parser:"'within' @@"`
}

type valueAST struct {
	Pos   lexer.Position
	Value string `parser:"@Word"`
}

func (r *rolloutAST) order() (*Rollout, error) {
	d, err := time.ParseDuration(r.Within.Value)
	if err != nil || d <= 0 {
		return nil, participle.Errorf(r.Within.Pos, "within: %q is not a positive duration such as 12s", r.Within.Value)
	}
	return &Rollout{Service: r.Service, Target: r.Target, Duration: d}, nil
}

type queryAST struct {
	Table string          `parser:"'show' @Word"`
	Name  string          `parser:"( (?! 'where') @Word )?"`
	Where []*conditionAST `parser:"( 'where' @@ ( 'and' @@ )* )?"`
}

type conditionAST struct {
	Column string `parser:"@Word"`
	Not    bool   `parser:"( @'!=' | '=' )"`
	Value  string `parser:"@( Word | String )"`
}

type commandAST struct {
	DryRun  bool         `parser:"@( 'dry' 'run' )?"`
	Force   bool         `parser:"( @'force'"`
	Version *valueAST    `parser:"| 'if' 'version' @@ )?"`
	Changes []*changeAST `parser:"@@ ( ';' @@ )*"`
}

// version returns the value as a version, or nil if v is nil.
func (v *valueAST) version() (*uint64, error) {
	if v == nil {
		return nil, nil
	}
	n, err := strconv.ParseUint(v.Value, 10, 64)
	if err != nil {
		return nil, participle.Errorf(v.Pos, "version %q is not a whole number", v.Value)
	}
	return &n, nil
}

type changeAST struct {
	Pos      lexer.Position
	Withdraw *refAST    `parser:"  'withdraw' @@"`
	Verb     string     `parser:"| @( 'publish' | 'revise' | 'put' )"`
	Entity   *entityAST `parser:"  @@"`
}

type refAST struct {
	Kind string `parser:"@( 'service' | 'policy' | 'caller' | 'route' | 'workspace' )"`
	Name string `parser:"@Word"`
}

type entityAST struct {
	Ref   refAST     `parser:"@@"`
	Attrs []*attrAST `parser:"@@*"`
}

type attrAST struct {
	Pos    lexer.Position
	Name   string   `parser:"@( 'ramp' | 'urgency' | 'timeout' | 'retries' | 'repeatable' | 'key' | 'path' | 'to' | 'policy' | 'callers' | 'public' | 'keys' | 'rate' | 'burst' | 'large-answers' )"`
	Values []string `parser:"@( Word | String ) ( ',' @( Word | String ) )*"`
}

var parser = participle.MustBuild[statementAST](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"[^"\n]*"`},
		{Name: "Operator", Pattern: `!=|=|;|,`},
		{Name: "Word", Pattern: `[^\s;,="#!]+`},
	})),
	participle.Elide("Comment", "Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// Parse parses one statement. Any error is an *Error.
func Parse(text string) (*Statement, error) {
	ast, err := parser.ParseString("", text)
	if err != nil {
		return nil, withPosition(err)
	}
	switch {
	case ast.Query != nil:
		return &Statement{Query: ast.Query.query()}, nil
	case ast.Reseed:
		return &Statement{Reseed: true}, nil
	case ast.Clear != "":
		return &Statement{ClearSuspect: ast.Clear}, nil
	case ast.Abort != "":
		return &Statement{AbortRollout: ast.Abort}, nil
	case ast.Rollout != nil:
		order, err := ast.Rollout.order()
		if err != nil {
			return nil, withPosition(err)
		}
		return &Statement{Rollout: order}, nil
	}
	version, err := ast.Command.Version.version()
	if err != nil {
		return nil, withPosition(err)
	}
	s := &Statement{DryRun: ast.Command.DryRun, Force: ast.Command.Force, IfVersion: version}
	for _, c := range ast.Command.Changes {
		change, err := c.change()
		if err != nil {
			return nil, withPosition(err)
		}
		s.Changes = append(s.Changes, change)
	}
	return s, nil
}

func withPosition(err error) error {
	var pe participle.Error
	if errors.As(err, &pe) {
		return &Error{Line: pe.Position().Line, Column: pe.Position().Column, Reason: pe.Message()}
	}
	return &Error{Line: 1, Column: 1, Reason: err.Error()}
}

func (q *queryAST) query() *Query {
	out := &Query{Table: q.Table, Name: q.Name}
	for _, c := range q.Where {
		out.Where = append(out.Where, Condition{Column: c.Column, Not: c.Not, Value: c.Value})
	}
	return out
}

func (c *changeAST) change() (config.Change, error) {
	if c.Withdraw != nil {
		return config.Change{Verb: config.Withdraw, Ref: c.Withdraw.ref()}, nil
	}
	ch := config.Change{Verb: config.Verb(c.Verb), Ref: c.Entity.Ref.ref()}
	var err error
	switch ch.Ref.Kind {
	case config.KindService:
		ch.Service, err = c.service()
	case config.KindPolicy:
		ch.Policy, err = c.policy()
	case config.KindCaller:
		ch.Caller, err = c.caller()
	case config.KindRoute:
		ch.Route, err = c.route()
	case config.KindWorkspace:
		ch.Workspace, err = c.workspace()
	}
	return ch, err
}

func (r refAST) ref() config.Ref { return config.Ref{Kind: config.Kind(r.Kind), Name: r.Name} }

func (c *changeAST) service() (*config.Service, error) {
	s := &config.Service{Name: c.Entity.Ref.Name}
	return s, c.setAttributes(setters{"ramp": duration(&s.Ramp)})
}

// DefaultRepeatable returns the methods that may be repeated if a policy does not set them:
// the safe ones of RFC 9110, section 9.2.1, without TRACE.
func DefaultRepeatable() []string { return []string{"GET", "HEAD", "OPTIONS"} }

// DefaultRetries is the number of retries if a policy does not set it.
const DefaultRetries = 2

func (c *changeAST) policy() (*config.Policy, error) {
	p := &config.Policy{Name: c.Entity.Ref.Name, Retries: DefaultRetries, Repeatable: DefaultRepeatable()}
	err := c.setAttributes(setters{
		"urgency":    urgency(&p.Urgency),
		"timeout":    duration(&p.Timeout),
		"retries":    integer(&p.Retries),
		"repeatable": methods(&p.Repeatable),

		"large-answers": yesNo(&p.LargeAnswers),
	}, "urgency", "timeout")
	return p, err
}

func (c *changeAST) caller() (*config.Caller, error) {
	out := &config.Caller{Name: c.Entity.Ref.Name}
	return out, c.setAttributes(setters{"key": text(&out.KeyHash)})
}

func (c *changeAST) route() (*config.Route, error) {
	r := &config.Route{Name: c.Entity.Ref.Name}
	err := c.setAttributes(setters{
		"path":    text(&r.Path),
		"to":      text(&r.Service),
		"policy":  text(&r.Policy),
		"callers": list(&r.Callers),
		"public":  yesNo(&r.Public),
	}, "path", "to", "policy", "callers")
	return r, err
}

func (c *changeAST) workspace() (*config.Workspace, error) {
	ws := &config.Workspace{Name: c.Entity.Ref.Name}
	err := c.setAttributes(setters{
		"keys":    sortedList(&ws.KeyHashes),
		"urgency": urgency(&ws.Urgency),
		"rate":    float(&ws.Rate),
		"burst":   float(&ws.Burst),
	})
	return ws, err
}

// setter parses and stores the values of an attribute.
type setter func(values []string) error

// setters maps the names of an entity's attributes to their setters.
type setters map[string]setter

// setAttributes stores the entity's attributes. It rejects unknown and duplicate ones, and
// the absence of a required one.
func (c *changeAST) setAttributes(set setters, required ...string) error {
	seen := map[string]bool{}
	for _, a := range c.Entity.Attrs {
		setValue := set[a.Name]
		if setValue == nil {
			return participle.Errorf(a.Pos, "a %s has no %q", c.Entity.Ref.Kind, a.Name)
		}
		if seen[a.Name] {
			return participle.Errorf(a.Pos, "%q is given twice", a.Name)
		}
		seen[a.Name] = true
		if err := setValue(a.Values); err != nil {
			return participle.Errorf(a.Pos, "%s: %v", a.Name, err)
		}
	}
	for _, name := range required {
		if !seen[name] {
			return participle.Errorf(c.Pos, "%s %s needs %q", c.Entity.Ref.Kind, c.Entity.Ref.Name, name)
		}
	}
	return nil
}

func singleValue(values []string) (string, error) {
	if len(values) != 1 {
		return "", errors.New("takes exactly one value")
	}
	return values[0], nil
}

func text(dst *string) setter {
	return func(values []string) (err error) {
		*dst, err = singleValue(values)
		return err
	}
}

func list(dst *[]string) setter {
	return func(values []string) error {
		*dst = values
		return nil
	}
}

// sortedList stores a list of values in sorted order.
func sortedList(dst *[]string) setter {
	return func(values []string) error {
		*dst = slices.Sorted(slices.Values(values))
		return nil
	}
}

func yesNo(dst *bool) setter {
	return func(values []string) error {
		v, err := singleValue(values)
		if err == nil && v != "yes" && v != "no" {
			err = errors.Errorf("%q is not yes or no", v)
		}
		*dst = v == "yes"
		return err
	}
}

// float stores a floating-point number.
func float(dst *float64) setter {
	return func(values []string) error {
		v, err := singleValue(values)
		if err != nil {
			return err
		}
		if *dst, err = strconv.ParseFloat(v, 64); err != nil {
			return errors.Errorf("%q is not a number", v)
		}
		return nil
	}
}

func methods(dst *[]string) setter {
	return func(values []string) error {
		if len(values) == 1 && values[0] == "none" {
			*dst = nil
			return nil
		}
		*dst = nil
		for _, v := range values {
			*dst = append(*dst, strings.ToUpper(v))
		}
		return nil
	}
}

func duration(dst *time.Duration) setter {
	return func(values []string) error {
		v, err := singleValue(values)
		if err != nil {
			return err
		}
		*dst, err = time.ParseDuration(v)
		return err
	}
}
