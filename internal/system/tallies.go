package system

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// tallyEvery is the interval at which what was seen of roll-outs is passed on. A bad
// version is to be stopped within seconds, over a tree of three levels.
const tallyEvery = 700 * time.Millisecond

// judge stops the roll-out of a version that is worse than the others.
func judge(w *table.World, r *table.Rollout, target []string, others int, out *Outbox) {
	tried := w.Plan(r.Duration).Choose(target, others)
	if why := rollout.Judge(r.Tally(), len(tried)); why != "" {
		stopRollout(w, r, why, out)
	}
}

// seen sums up the evidence for operators.
func seen(r *table.Rollout) string {
	t := r.Tally()
	a, b := t.Sum(true), t.Sum(false)
	return fmt.Sprintf("%d answers, %d failed, %d of %d slow; beside them %d, %d, %d of %d", a.N, a.Failed, a.Slow, a.Timed, b.N, b.Failed, b.Slow, b.Timed)
}

// passTallies passes on what was seen: up the tree, and from the top of each failure
// domain to the other roots.
func passTallies(w *table.World, out *Outbox) {
	for _, service := range sortedKeys(w.Rollouts) {
		r := w.Rollouts[service]
		if !r.Live() {
			continue
		}
		t := wire.Tally{Service: service, Order: r.ID, Rows: subtree(w, r)}
		if parent := w.LinkTo(w.MembersTree.Parent); parent != nil && w.MembersTree.Parent != "" {
			if parent.TakesRollouts && len(t.Rows) > 0 {
				out.send(parent.ID, t)
			}
		} else {
			t.Domain, t.By = w.Self.Domain, w.Self.ID
			r.Domains[t.Domain] = t
		}
		if w.MembersTree.Root {
			passDomains(w, r, out)
		}
	}
}

// subtree adds up what this daemon and those behind it have seen.
func subtree(w *table.World, r *table.Rollout) []rollout.Row {
	sum := rollout.Tally{}
	sum.Add(r.Evidence.Rows())
	for _, l := range w.Links {
		if t := l.Tallies[r.Service]; t.Order == r.ID && !l.Dialed && l.Domain == w.Self.Domain {
			sum.Add(t.Rows)
		}
	}
	return sum.Rows()
}

// passDomains tells other roots what was seen in each failure domain.
func passDomains(w *table.World, r *table.Rollout, out *Outbox) {
	own := order(w, w.Self.Domain)
	roots := own[:min(len(own), w.Params.Roots)]
	for _, l := range neighbours(w) {
		near := l.Domain == w.Self.Domain
		isRoot := !near || slices.ContainsFunc(roots, func(m wire.Member) bool { return m.ID == l.Peer })
		if !l.TakesRollouts || !isRoot {
			continue
		}
		for _, domain := range sortedKeys(r.Domains) {
			if t := r.Domains[domain]; len(t.Rows) > 0 && t.By != l.Peer && (near || domain == w.Self.Domain) {
				out.send(l.ID, t)
			}
		}
	}
}

// hearTally takes in what others have seen.
func hearTally(w *table.World, l *table.Link, t wire.Tally, out *Outbox) {
	r := w.Rollouts[t.Service]
	if r == nil || r.ID != t.Order || !r.Live() {
		return // of a roll-out that has ended, or that is not known here yet
	}
	if !rollout.ValidRows(t.Rows) {
		out.event(event.Event{Kind: event.RolloutRefused, Service: t.Service, Peer: l.Peer, Detail: "malformed tally of a roll-out"})
		return
	}
	if t.Domain == "" {
		if l.Tallies == nil {
			l.Tallies = map[string]wire.Tally{}
		}
		l.Tallies[t.Service] = t
		return
	}
	if old := r.Domains[t.Domain]; old.By != t.By || calls(t) >= calls(old) {
		r.Domains[t.Domain] = t
	}
}

func calls(t wire.Tally) int {
	n := 0
	for _, row := range t.Rows {
		n += row.N
	}
	return n
}
