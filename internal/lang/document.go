package lang

import (
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
)

// document is a change set in its YAML form. Its entities are created or replaced, except
// those listed under withdraw, which are removed.
type document struct {
	Services   []serviceDoc   `yaml:"services"`
	Policies   []policyDoc    `yaml:"policies"`
	Callers    []callerDoc    `yaml:"callers"`
	Routes     []routeDoc     `yaml:"routes"`
	Workspaces []workspaceDoc `yaml:"workspaces"`
	Withdraw   []refDoc       `yaml:"withdraw"`
}

type serviceDoc struct {
	Name string `yaml:"name"`
	Ramp string `yaml:"ramp"`
}

type policyDoc struct {
	Name         string    `yaml:"name"`
	Urgency      string    `yaml:"urgency"`
	Timeout      string    `yaml:"timeout"`
	Retries      *int      `yaml:"retries"`
	Repeatable   *[]string `yaml:"repeatable"`
	LargeAnswers bool      `yaml:"large_answers"`
}

type callerDoc struct {
	Name    string `yaml:"name"`
	KeyHash string `yaml:"key_hash"`
}

type routeDoc struct {
	Name    string   `yaml:"name"`
	Path    string   `yaml:"path"`
	Service string   `yaml:"service"`
	Policy  string   `yaml:"policy"`
	Callers []string `yaml:"callers"`
	Public  bool     `yaml:"public"`
}

type workspaceDoc struct {
	Name      string   `yaml:"name"`
	KeyHashes []string `yaml:"key_hashes"`
	Urgency   string   `yaml:"urgency"`
	Rate      float64  `yaml:"rate"`
	Burst     float64  `yaml:"burst"`
}

type refDoc struct {
	Kind string `yaml:"kind"`
	Name string `yaml:"name"`
}

// ParseYAML reads a change set from a YAML document. It rejects unknown keys with an error
// that gives their line.
func ParseYAML(text []byte) ([]config.Change, error) {
	var d document
	if err := yaml.UnmarshalWithOptions(text, &d, yaml.Strict()); err != nil {
		return nil, errors.New(yaml.FormatError(err, false, true))
	}
	var changes []config.Change
	for _, s := range d.Services {
		ramp, err := optionalDuration(s.Ramp)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s: ramp", s.Name)
		}
		changes = append(changes, putChange(config.KindService, s.Name, config.Change{Service: &config.Service{Name: s.Name, Ramp: ramp}}))
	}
	for _, p := range d.Policies {
		policy, err := p.policy()
		if err != nil {
			return nil, errors.Wrapf(err, "policy %s", p.Name)
		}
		changes = append(changes, putChange(config.KindPolicy, p.Name, config.Change{Policy: policy}))
	}
	for _, c := range d.Callers {
		changes = append(changes, putChange(config.KindCaller, c.Name, config.Change{Caller: &config.Caller{Name: c.Name, KeyHash: c.KeyHash}}))
	}
	for _, r := range d.Routes {
		route := config.Route{Name: r.Name, Path: r.Path, Service: r.Service, Policy: r.Policy, Callers: r.Callers, Public: r.Public}
		changes = append(changes, putChange(config.KindRoute, r.Name, config.Change{Route: &route}))
	}
	for _, w := range d.Workspaces {
		ws, err := w.workspace()
		if err != nil {
			return nil, errors.Wrapf(err, "workspace %s", w.Name)
		}
		changes = append(changes, putChange(config.KindWorkspace, w.Name, config.Change{Workspace: ws}))
	}
	for _, w := range d.Withdraw {
		ref := config.Ref{Kind: config.Kind(w.Kind), Name: w.Name}
		changes = append(changes, config.Change{Verb: config.Withdraw, Ref: ref})
	}
	return changes, nil
}

func putChange(kind config.Kind, name string, ch config.Change) config.Change {
	ch.Verb = config.Put
	ch.Ref = config.Ref{Kind: kind, Name: name}
	return ch
}

func (p policyDoc) policy() (*config.Policy, error) {
	out := &config.Policy{Name: p.Name, Retries: DefaultRetries, Repeatable: DefaultRepeatable(), LargeAnswers: p.LargeAnswers}
	if err := urgency(&out.Urgency)([]string{p.Urgency}); err != nil {
		return nil, err
	}
	if err := duration(&out.Timeout)([]string{p.Timeout}); err != nil {
		return nil, errors.Wrap(err, "timeout")
	}
	if p.Retries != nil {
		out.Retries = *p.Retries
	}
	if p.Repeatable != nil {
		out.Repeatable = *p.Repeatable
	}
	return out, nil
}

func (w workspaceDoc) workspace() (*config.Workspace, error) {
	ws := &config.Workspace{
		Name: w.Name, KeyHashes: slices.Sorted(slices.Values(w.KeyHashes)), Rate: w.Rate, Burst: w.Burst,
	}
	if w.Urgency == "" {
		return ws, nil
	}
	return ws, urgency(&ws.Urgency)([]string{w.Urgency})
}

func optionalDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}
