package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/internal/exit"
)

// watchInterval is the interval at which watch reads the daemon's status.
const watchInterval = 200 * time.Millisecond

// maxNamedDaemons bounds the lagging daemons that are listed by name.
const maxNamedDaemons = 5

type watchCmd struct {
	Version int64         `help:"Version to wait for. Default: the one held now."`
	Timeout time.Duration `default:"1m" help:"When to give up."`
}

// Run waits until the version is in force on all daemons.
func (c *watchCmd) Run(ctx context.Context, g *globals) error {
	client, err := g.client(g.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	lastLine := ""
	for {
		s, err := client.GetStatus(ctx)
		if err != nil {
			return wrapRequestError(err)
		}
		if line := progress(s); line != lastLine {
			fmt.Println(line)
			lastLine = line
		}
		if len(s.Lagging) == 0 && s.Version >= c.Version {
			return nil
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			return &exit.Error{Code: exitUnknown, Err: errors.New("stopped waiting: the version is not in force on all daemons")}
		}
	}
}

// progress describes on how many daemons the version is in force, and which ones lag.
func progress(s *api.Status) string {
	line := fmt.Sprintf("version %d in force on %d of %d daemons", s.Version, s.Applied, s.Members)
	if len(s.Lagging) == 0 {
		return line
	}
	names := s.Lagging[:min(len(s.Lagging), maxNamedDaemons)]
	line += ", waiting for " + strings.Join(names, ", ")
	if more := len(s.Lagging) - len(names); more > 0 {
		line += fmt.Sprintf(" and %d more", more)
	}
	return line
}

type timelineCmd struct {
	Version int64  `help:"Only events of this version."`
	Request string `help:"Only events of this request or command ID."`
	VM      string `help:"Only events of this VM."`
	Service string `help:"Only events of this service."`
	Kind    string `help:"Only events of this kind."`
}

// Run merges the events of all reachable daemons and prints them in the order of their
// clocks.
func (c *timelineCmd) Run(ctx context.Context, g *globals) error {
	client, err := g.client(g.Address)
	if err != nil {
		return err
	}
	answer, err := client.RunCommand(ctx, &api.CommandRequest{Text: "show daemons where state != lapsed"})
	if err != nil {
		return wrapRequestError(err)
	}
	var events []api.Event
	for _, row := range answer.Rows {
		list, err := g.fetchEvents(ctx, row[len(row)-1])
		if err != nil {
			fmt.Fprintf(os.Stderr, "comfreyctl: events of %s are missing: %v\n", row[0], err)
		}
		events = append(events, list...)
	}
	events = slices.DeleteFunc(events, func(e api.Event) bool { return !c.matches(e) })
	slices.SortStableFunc(events, func(a, b api.Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.VM, b.VM))
	})
	g.printEvents(events)
	return nil
}

func (g *globals) fetchEvents(ctx context.Context, address string) ([]api.Event, error) {
	client, err := g.client(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return client.ListEvents(ctx)
}

func (c *timelineCmd) matches(e api.Event) bool {
	return (c.Version == 0 || e.Version.Or(0) == c.Version) &&
		(c.Request == "" || e.Request.Or("") == c.Request) &&
		(c.VM == "" || e.VM == c.VM) &&
		(c.Service == "" || e.Service.Or("") == c.Service) &&
		(c.Kind == "" || e.Kind == c.Kind)
}

func (g *globals) printEvents(events []api.Event) {
	if g.Output == "json" {
		for _, e := range events {
			printJSONLine(&e)
		}
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tVM\tEVENT\tVERSION\tPEER\tSERVICE\tREQUEST\tDETAIL")
	for _, e := range events {
		version := "-"
		if v, ok := e.Version.Get(); ok {
			version = fmt.Sprint(v)
		}
		at := time.UnixMicro(e.Clock).UTC().Format("15:04:05.000000")
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", at, e.VM, e.Kind, version,
			e.Peer.Or("-"), e.Service.Or("-"), e.Request.Or("-"), e.Detail.Or(""))
	}
	w.Flush()
}
