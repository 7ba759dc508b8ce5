package lang

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
)

func TestParseChangeSet(t *testing.T) {
	is := is.New(t)
	s, err := Parse(`# a comment
dry run if version 12 publish service tickets ramp 10s;
put policy p timeout 800ms urgency critical repeatable get, put;
withdraw caller old; revise route r callers a, b path /t to tickets policy p`)
	is.NoErr(err)
	is.True(s.DryRun)
	is.Equal(*s.IfVersion, uint64(12))
	is.Equal(len(s.Changes), 4)
	is.Equal(s.Changes[0].Service.Ramp, 10*time.Second)
	is.Equal(s.Changes[1].Policy.Repeatable, []string{"GET", "PUT"})
	is.Equal(s.Changes[1].Policy.Retries, DefaultRetries)
	is.Equal(s.Changes[2], config.Change{Verb: config.Withdraw, Ref: config.Ref{Kind: config.KindCaller, Name: "old"}})
	is.Equal(s.Changes[3].Route.Callers, []string{"a", "b"})
}

func TestParseWorkspaces(t *testing.T) {
	is := is.New(t)
	s, err := Parse("publish workspace mobile keys bb, aa urgency critical rate 2.5 burst 10; revise route r path /t to s policy p callers c public yes; withdraw workspace old")
	is.NoErr(err)
	is.Equal(*s.Changes[0].Workspace, config.Workspace{Name: "mobile", KeyHashes: []string{"aa", "bb"}, Urgency: config.Critical, Rate: 2.5, Burst: 10})
	is.True(s.Changes[1].Route.Public)
	is.Equal(s.Changes[2].Ref, config.Ref{Kind: config.KindWorkspace, Name: "old"})
	changes, err := ParseYAML([]byte("workspaces:\n- name: mobile\n  key_hashes: [bb, aa]\n  urgency: critical\n  rate: 2.5\n  burst: 10\n"))
	is.NoErr(err)
	is.Equal(changes[0].Workspace, s.Changes[0].Workspace)
	for _, bad := range []string{"publish workspace w rate many", "publish workspace w key aa", "publish route r path /t to s policy p callers c public perhaps"} {
		_, err := Parse(bad)
		is.True(err != nil)
	}
}

func TestParseQuery(t *testing.T) {
	is := is.New(t)
	s, err := Parse(`show daemons where domain = ikeja and state != "lapsed"`)
	is.NoErr(err)
	is.Equal(s.Query.Table, "daemons")
	is.Equal(s.Query.Name, "")
	is.Equal(s.Query.Where, []Condition{{Column: "domain", Value: "ikeja"}, {Column: "state", Not: true, Value: "lapsed"}})
	s, err = Parse("clear suspect 0123456789abcdef")
	is.NoErr(err)
	is.Equal(s.ClearSuspect, "0123456789abcdef")
	s, err = Parse("rollout tickets to 2.0 within 12s")
	is.NoErr(err)
	is.Equal(*s.Rollout, Rollout{Service: "tickets", Target: "2.0", Duration: 12 * time.Second})
	s, err = Parse("abort rollout tickets")
	is.NoErr(err)
	is.Equal(s.AbortRollout, "tickets")
	s, err = Parse("show command cmd-1")
	is.NoErr(err)
	is.Equal(s.Query.Name, "cmd-1")
}

func TestErrorsPointAtTheColumn(t *testing.T) {
	for _, c := range []struct {
		text   string
		column int
		reason string
	}{
		{"publsh service x", 1, "publsh"},
		{"publish service x colour red", 19, "colour"},
		{"publish service x urgency critical", 19, `a service has no "urgency"`},
		{"publish policy p urgency high timeout 1s", 18, "high"},
		{"publish policy p urgency normal timeout soon", 33, "soon"},
		{"publish policy p urgency normal", 1, `needs "timeout"`},
		{"publish service x ramp 1s ramp 2s", 27, "twice"},
		{"publish policy p urgency normal timeout 1s retries few", 44, "whole number"},
		{"if version soon publish service x", 12, "soon"},
		{"rollout tickets to 2.0 within soon", 31, "soon"},
		{"rollout tickets to 2.0 within 0s", 31, "0s"},
		{"rollout tickets within 12s", 17, "within"},
		{"", 1, "unexpected"},
	} {
		_, err := Parse(c.text)
		var le *Error
		if !errors.As(err, &le) {
			t.Errorf("%q: got error %v, want an *Error", c.text, err)
			continue
		}
		if le.Column != c.column || !strings.Contains(le.Reason, c.reason) {
			t.Errorf("%q: got column %d, reason %q; want column %d, reason with %q", c.text, le.Column, le.Reason, c.column, c.reason)
		}
	}
}

func TestParseYAML(t *testing.T) {
	is := is.New(t)
	changes, err := ParseYAML([]byte(`
services: [{name: s, ramp: 5s}]
policies: [{name: p, urgency: background, timeout: 2s, retries: 0, repeatable: []}]
withdraw: [{kind: route, name: old}]
`))
	is.NoErr(err)
	is.Equal(len(changes), 3)
	is.Equal(changes[1].Policy.Retries, 0)
	is.Equal(len(changes[1].Policy.Repeatable), 0)
	is.NoErr(config.Command{ID: "x", Changes: changes}.Validate())
	for _, bad := range []string{"service: []", "services: [{nam: x}]", "policies: [{name: p, urgency: soon, timeout: 1s}]", "services: 3"} {
		if _, err := ParseYAML([]byte(bad)); err == nil {
			t.Errorf("ParseYAML accepted %q, want an error", bad)
		}
	}
}

// TestHelpExamplesParse guards against help that shows statements which are refused, and
// against help without a kind of statement.
func TestHelpExamplesParse(t *testing.T) {
	is := is.New(t)
	var queries, changes, reseeds, clears, rollouts, aborts int
	for _, help := range Statements() {
		s, err := Parse(help.Example)
		if err != nil {
			t.Errorf("%q: %v", help.Example, err)
			continue
		}
		for _, kind := range []struct {
			count *int
			is    bool
		}{
			{&queries, s.Query != nil}, {&changes, len(s.Changes) > 0}, {&reseeds, s.Reseed},
			{&clears, s.ClearSuspect != ""}, {&rollouts, s.Rollout != nil}, {&aborts, s.AbortRollout != ""},
		} {
			if kind.is {
				*kind.count++
			}
		}
	}
	is.True(queries > 0 && changes > 0 && reseeds > 0 && clears > 0 && rollouts > 0 && aborts > 0)
}

// TestParseLargeAnswers guards against an attribute that the setters know and the grammar
// does not.
func TestParseLargeAnswers(t *testing.T) {
	is := is.New(t)
	s, err := Parse("publish policy bulk urgency normal timeout 5s large-answers yes")
	is.NoErr(err)
	is.True(s.Changes[0].Policy.LargeAnswers)
	_, err = Parse("publish policy bulk urgency normal timeout 5s large-answers perhaps")
	is.True(err != nil)
}
