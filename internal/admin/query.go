package admin

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/lang"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/pressure"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// result is the answer to a query before it is filtered.
type result struct {
	columns []string
	rows    [][]string
	// note says what the rows cover, where that is less than everything; or empty.
	note string
}

func (r *result) add(cells ...string) { r.rows = append(r.rows, cells) }

// snapshot holds all data that a query may read, as of one moment.
type snapshot struct {
	world           *table.World
	now             time.Time
	loads           map[string]outcome.Load
	unknownCommands []agent.UnknownCommand
	pressure        []pressure.Row
	metrics         metrics.Registry
}

// tables maps the name of a table to the function that returns its rows.
var tables = map[string]func(snapshot) result{
	"daemons":  daemons,
	"domains":  domainsTable,
	"upstream": upstreams, "upstreams": upstreams,
	"services":   services,
	"policies":   policies,
	"callers":    callers,
	"routes":     routes,
	"workspaces": workspaces,
	"history":    history, "commands": history, "command": history,
	"rejected": rejected,
	"unknown":  unknownCommands,
	"alarms":   alarms,
	"suspects": suspects,
	"rollouts": rollouts,
	"pressure": pressureTable,
}

// query answers a query from this daemon's tables.
func (h *handler) query(q *lang.Query) (*api.Answer, error) {
	fill := tables[q.Table]
	if fill == nil {
		names := slices.Sorted(maps.Keys(tables))
		return nil, &badRequestError{step: "query", err: errors.Errorf("no table %q: the tables are %s", q.Table, strings.Join(names, ", "))}
	}
	snap := snapshot{
		now: time.Now(), loads: h.agent.Loads(), unknownCommands: h.agent.UnknownCommands(),
		pressure: h.agent.Pressure(), metrics: h.agent.Metrics(),
	}
	var res result
	var version uint64
	h.agent.Inspect(func(w *table.World) {
		snap.world = w
		version = w.Config.State.Version
		res = fill(snap)
	})
	rows, err := filter(res, q)
	if err != nil {
		return nil, &badRequestError{step: "query", err: err}
	}
	answer := &api.Answer{Kind: api.AnswerKindTable, Version: int64(version), Columns: res.columns, Rows: rows}
	if res.note != "" {
		answer.Note = api.NewOptString(res.note)
	}
	return answer, nil
}

func filter(r result, q *lang.Query) ([][]string, error) {
	conds := q.Where
	if q.Name != "" {
		conds = append(conds, lang.Condition{Column: r.columns[0], Value: q.Name})
	}
	rows := r.rows
	for _, c := range conds {
		col := slices.Index(r.columns, c.Column)
		if col < 0 {
			return nil, errors.Errorf("table %s has no column %q: its columns are %s", q.Table, c.Column, strings.Join(r.columns, ", "))
		}
		rows = slices.DeleteFunc(slices.Clone(rows), func(row []string) bool {
			return (row[col] == c.Value) == c.Not
		})
	}
	return rows, nil
}

// eachMember calls f for this daemon and for every other in its member table. age is the time
// since the other daemon's last renewal of its membership, and zero for this daemon.
func (s snapshot) eachMember(f func(m wire.Member, state string, age time.Duration)) {
	f(s.world.Self, memberState(s.world.Self.Leaving, false), 0)
	for _, id := range slices.Sorted(maps.Keys(s.world.Members)) {
		row := s.world.Members[id]
		f(row.Member, memberState(row.Leaving, row.Lapsed), s.now.Sub(row.RenewedAt))
	}
}

func memberState(leaving, lapsed bool) string {
	switch {
	case lapsed:
		return "lapsed"
	case leaving:
		return "leaving"
	}
	return "live"
}

func daemons(s snapshot) result {
	r := result{columns: []string{"vm", "domain", "state", "version", "current", "age", "admin"}}
	s.eachMember(func(m wire.Member, state string, age time.Duration) {
		current := "yes"
		if m.Heartbeat.Applied < s.world.Config.State.Version {
			current = "no"
		}
		r.add(m.ID, m.Domain, state, formatVersion(m.Heartbeat.Applied), current, age.Truncate(time.Second).String(), m.Admin)
	})
	return r
}

func domainsTable(s snapshot) result {
	type count struct{ live, current, gone int }
	counts := map[string]*count{}
	s.eachMember(func(m wire.Member, state string, _ time.Duration) {
		c := counts[m.Domain]
		if c == nil {
			c = &count{}
			counts[m.Domain] = c
		}
		switch {
		case state != "live":
			c.gone++
		case m.Heartbeat.Applied >= s.world.Config.State.Version:
			c.live++
			c.current++
		default:
			c.live++
		}
	})
	r := result{columns: []string{"domain", "live", "current", "gone"}}
	for _, d := range slices.Sorted(maps.Keys(counts)) {
		c := counts[d]
		r.add(d, strconv.Itoa(c.live), strconv.Itoa(c.current), strconv.Itoa(c.gone))
	}
	return r
}

// upstreams shows every known upstream. The load is shown only for upstreams on this VM,
// where it is measured, and for those that this daemon has recently sent calls to.
func upstreams(s snapshot) result {
	r := result{columns: []string{"upstream", "service", "version", "domain", "state", "slots", "in-flight", "queued", "service-time"}}
	s.eachMember(func(m wire.Member, state string, _ time.Duration) {
		for _, u := range m.Upstreams {
			st := state
			if u.Draining {
				st = "draining"
			}
			inFlight, queued, serviceTime := "-", "-", "-"
			if l, ok := s.loads[u.ID]; ok {
				inFlight, queued, serviceTime = strconv.Itoa(l.InFlight), strconv.Itoa(l.Queued), l.Service.String()
			}
			r.add(u.ID, u.Service, cmp.Or(u.Version, "-"), m.Domain, st, strconv.Itoa(u.Slots), inFlight, queued, serviceTime)
		}
	})
	return r
}

func (s snapshot) revision(kind config.Kind, name string) string {
	return formatVersion(s.world.Config.State.Content.Revisions[config.Ref{Kind: kind, Name: name}.String()])
}

// inForce returns on how many of the live daemons an entity's last change is in force.
func (s snapshot) inForce(kind config.Kind, name string) string {
	rev := s.world.Config.State.Content.Revisions[config.Ref{Kind: kind, Name: name}.String()]
	live, applied := 0, 0
	s.eachMember(func(m wire.Member, state string, _ time.Duration) {
		if state != "live" {
			return
		}
		live++
		if m.Heartbeat.Applied >= rev {
			applied++
		}
	})
	return fmt.Sprintf("%d of %d", applied, live)
}

func services(s snapshot) result {
	r := result{columns: []string{"service", "version", "in-force", "ramp", "upstreams"}}
	c := s.world.Config.State.Content
	counts := map[string]int{}
	s.eachMember(func(m wire.Member, state string, _ time.Duration) {
		for _, u := range m.Upstreams {
			if state == "live" && !u.Draining {
				counts[u.Service]++
			}
		}
	})
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		r.add(name, s.revision(config.KindService, name), s.inForce(config.KindService, name),
			c.Services[name].Ramp.String(), strconv.Itoa(counts[name]))
	}
	return r
}

func policies(s snapshot) result {
	r := result{columns: []string{"policy", "version", "in-force", "urgency", "timeout", "retries", "repeatable", "large-answers"}}
	c := s.world.Config.State.Content
	for _, name := range slices.Sorted(maps.Keys(c.Policies)) {
		p := c.Policies[name]
		r.add(name, s.revision(config.KindPolicy, name), s.inForce(config.KindPolicy, name), p.Urgency.String(),
			p.Timeout.String(), strconv.Itoa(p.Retries), strings.Join(p.Repeatable, ","), strconv.FormatBool(p.LargeAnswers))
	}
	return r
}

func callers(s snapshot) result {
	r := result{columns: []string{"caller", "version", "in-force", "key", "routes"}}
	c := s.world.Config.State.Content
	for _, name := range slices.Sorted(maps.Keys(c.Callers)) {
		var routeNames []string
		for _, route := range slices.Sorted(maps.Keys(c.Routes)) {
			if slices.Contains(c.Routes[route].Callers, name) {
				routeNames = append(routeNames, route)
			}
		}
		key := "none"
		if c.Callers[name].KeyHash != "" {
			key = "set"
		}
		r.add(name, s.revision(config.KindCaller, name), s.inForce(config.KindCaller, name), key, strings.Join(routeNames, ","))
	}
	return r
}

func routes(s snapshot) result {
	r := result{columns: []string{"route", "version", "in-force", "path", "service", "policy", "callers"}}
	c := s.world.Config.State.Content
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		route := c.Routes[name]
		r.add(name, s.revision(config.KindRoute, name), s.inForce(config.KindRoute, name), route.Path,
			route.Service, route.Policy, strings.Join(route.Callers, ","))
	}
	return r
}

// workspaces shows the number of keys of each workspace, but neither the keys nor their
// hashes.
func workspaces(s snapshot) result {
	r := result{columns: []string{"workspace", "version", "in-force", "keys", "urgency", "rate", "burst"}}
	c := s.world.Config.State.Content
	for _, name := range slices.Sorted(maps.Keys(c.Workspaces)) {
		ws := c.Workspaces[name]
		urgency := "-"
		if ws.Urgency != 0 {
			urgency = ws.Urgency.String()
		}
		r.add(name, s.revision(config.KindWorkspace, name), s.inForce(config.KindWorkspace, name), strconv.Itoa(len(ws.KeyHashes)),
			urgency, formatCalls(ws.Rate), formatCalls(ws.Burst))
	}
	return r
}

// formatCalls formats a limit in calls or calls per second, or returns a dash for no limit.
func formatCalls(n float64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

func history(s snapshot) result {
	r := result{columns: []string{"command", "status", "version", "author", "changes", "reason", "beaten-by"}}
	for _, o := range s.world.Config.State.Outcomes {
		r.add(o.ID, string(o.Status), formatVersion(o.Version), o.Author, strings.Join(o.Refs, "; "), o.Reason, formatVersion(o.BeatenBy))
	}
	for _, u := range s.unknownCommands {
		r.add(u.ID, string(config.StatusUnknown), "-", u.Author, "", u.Reason, "-")
	}
	return r
}

func rejected(s snapshot) result {
	r := history(s)
	r.rows = slices.DeleteFunc(r.rows, func(row []string) bool { return row[1] != string(config.Rejected) })
	return r
}

func unknownCommands(s snapshot) result {
	r := result{columns: []string{"command", "author", "age", "reason"}}
	for _, u := range s.unknownCommands {
		r.add(u.ID, u.Author, s.now.Sub(u.At).Truncate(time.Second).String(), u.Reason)
	}
	return r
}

func alarms(s snapshot) result {
	r := result{columns: []string{"alarm", "detail"}}
	for _, name := range slices.Sorted(maps.Keys(s.world.Alarms)) {
		r.add(name, s.world.Alarms[name])
	}
	return r
}

func suspects(s snapshot) result {
	r := result{columns: []string{"digest", "state", "ends", "round", "age"}}
	for _, rec := range s.world.Suspects.Records() {
		state := "cleared"
		switch {
		case rec.Quarantined():
			state = "quarantined"
		case len(rec.Crashes) > 0:
			state = "suspected"
		}
		age := s.now.Sub(time.UnixMilli(rec.At)).Truncate(time.Second)
		r.add(rec.Digest.String(), state, strconv.Itoa(len(rec.Crashes)), strconv.Itoa(int(rec.Round)), age.String())
	}
	return r
}

// formatVersion formats a version or another number from 1, or returns a dash for none.
func formatVersion(n uint64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatUint(n, 10)
}
