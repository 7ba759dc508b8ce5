package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/internal/exit"
)

type doCmd struct {
	Statement []string `arg:"" help:"For example: show daemons where domain = ikeja"`
}

// Run runs the statement.
func (c *doCmd) Run(ctx context.Context, g *globals) error {
	return g.run(ctx, strings.Join(c.Statement, " "))
}

type fileCmd struct {
	Path string `arg:"" type:"existingfile" help:"File with one statement."`
}

// Run runs the statement in the file.
func (c *fileCmd) Run(ctx context.Context, g *globals) error {
	b, err := os.ReadFile(c.Path)
	if err != nil {
		return &exit.Error{Code: exit.BadInput, Err: err}
	}
	return g.run(ctx, string(b))
}

func (g *globals) run(ctx context.Context, text string) error {
	client, err := g.client(g.Address)
	if err != nil {
		return err
	}
	req := &api.CommandRequest{Text: text, Author: api.NewOptString(g.author())}
	if g.CommandID != "" {
		req.CommandID = api.NewOptString(g.CommandID)
	}
	answer, err := client.RunCommand(ctx, req)
	if err != nil {
		return wrapRequestError(err)
	}
	return g.print(answer)
}

type applyCmd struct {
	Path      string  `arg:"" type:"existingfile" help:"Change set (YAML)."`
	DryRun    bool    `help:"Only say whether it would be accepted."`
	Force     bool    `help:"Skip the check that nothing changed meanwhile."`
	IfVersion *uint64 `help:"The version the change set was made against."`
}

// Run publishes the change set in the file.
func (c *applyCmd) Run(ctx context.Context, g *globals) error {
	b, err := os.ReadFile(c.Path)
	if err != nil {
		return &exit.Error{Code: exit.BadInput, Err: err}
	}
	client, err := g.client(g.Address)
	if err != nil {
		return err
	}
	req := &api.ChangeSetRequest{
		Yaml: string(b), Author: api.NewOptString(g.author()),
		DryRun: api.NewOptBool(c.DryRun), Force: api.NewOptBool(c.Force),
	}
	if g.CommandID != "" {
		req.CommandID = api.NewOptString(g.CommandID)
	}
	if c.IfVersion != nil {
		req.IfVersion = api.NewOptInt64(int64(*c.IfVersion))
	}
	answer, err := client.PublishChangeSet(ctx, req)
	if err != nil {
		return wrapRequestError(err)
	}
	return g.print(answer)
}

func (g *globals) print(a *api.Answer) error {
	if g.Output == "json" {
		if err := printJSON(a); err != nil {
			return err
		}
	} else if a.Kind == api.AnswerKindTable {
		printTable(a.Columns, a.Rows)
		if note, ok := a.Note.Get(); ok {
			fmt.Println(note)
		}
	}
	if o, ok := a.Outcome.Get(); ok {
		return g.reportOutcome(o)
	}
	return nil
}

// reportOutcome prints that a command was accepted, or returns an error whose exit code
// says what happened to it.
func (g *globals) reportOutcome(o api.Outcome) error {
	reason := o.Reason.Or("")
	switch o.Status {
	case api.OutcomeStatusAccepted:
		if g.Output == "table" {
			fmt.Println(acceptance(o))
		}
	case api.OutcomeStatusValid:
		if g.Output == "table" {
			fmt.Println("would be accepted")
		}
	case api.OutcomeStatusRejected:
		if v, ok := o.BeatenBy.Get(); ok {
			reason += fmt.Sprintf(" (beaten by version %d)", v)
		}
		return &exit.Error{Code: exitRejected, Err: errors.Errorf("rejected: %s (command %s)", reason, o.CommandID)}
	case api.OutcomeStatusUnknown:
		return &exit.Error{Code: exitUnknown, Err: errors.Errorf(
			"unknown: %s. Ask with: show command %s. Send again with: --command-id %s", reason, o.CommandID, o.CommandID)}
	}
	return nil
}

// acceptance describes an accepted command: what it did, or the version that it made.
func acceptance(o api.Outcome) string {
	if message, ok := o.Message.Get(); ok {
		return message
	}
	if version, ok := o.Version.Get(); ok {
		return fmt.Sprintf("accepted as version %d (command %s)", version, o.CommandID)
	}
	return fmt.Sprintf("accepted (command %s)", o.CommandID)
}

func printJSON(v interface{ MarshalJSON() ([]byte, error) }) error {
	b, err := v.MarshalJSON()
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}

func printTable(columns []string, rows [][]string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
}

type statusCmd struct{}

// Run shows a daemon's status.
func (c *statusCmd) Run(ctx context.Context, g *globals) error {
	client, err := g.client(g.Address)
	if err != nil {
		return err
	}
	s, err := client.GetStatus(ctx)
	if err != nil {
		return wrapRequestError(err)
	}
	if g.Output == "json" {
		return printJSON(s)
	}
	fmt.Printf("%s in %s: version %d, hash %s, ready %v, log up %v\n", s.VM, s.FailureDomain, s.Version, s.Hash, s.Ready, s.LogUp)
	fmt.Println(progress(s))
	for _, alarm := range s.Alarms {
		fmt.Println("alarm:", alarm)
	}
	return nil
}

// printJSONLine prints a value as one line of JSON.
func printJSONLine(v any) {
	b, err := json.Marshal(v)
	if err == nil {
		fmt.Println(string(b))
	}
}
