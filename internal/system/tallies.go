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

// tallyInterval is the interval at which tallies of rollouts are sent. A bad version must
// be stopped within seconds, although its tallies pass through a tree of three levels.
const tallyInterval = 700 * time.Millisecond

// judgeRollout stops the rollout of a version that performs worse than the others.
func judgeRollout(w *table.World, r *table.Rollout, target []string, others int, out *Outbox) {
	canaries := w.Plan(r.Duration).ChooseCanaries(target, others)
	if reason := rollout.Judge(r.Tally(), len(canaries)); reason != "" {
		stopRollout(w, r, reason, out)
	}
}

// evidenceSummary summarizes the evidence for operators.
func evidenceSummary(r *table.Rollout) string {
	t := r.Tally()
	target, others := t.Sum(true), t.Sum(false)
	return fmt.Sprintf("%d answers, %d failed, %d of %d slow; beside them %d, %d, %d of %d", target.N, target.Failed, target.Slow, target.Timed, others.N, others.Failed, others.Slow, others.Timed)
}

// forwardTallies sends the tallies of this daemon and of its descendants to its parent in
// the tree. The roots send the tallies of failure domains to the other roots.
func forwardTallies(w *table.World, out *Outbox) {
	for _, service := range sortedKeys(w.Rollouts) {
		r := w.Rollouts[service]
		if !r.Live() {
			continue
		}
		t := wire.Tally{Service: service, OrderID: r.ID, Rows: subtreeRows(w, r)}
		if parent := w.LinkTo(w.MembersTree.Parent); parent != nil && w.MembersTree.Parent != "" {
			if parent.TakesRollouts && len(t.Rows) > 0 {
				out.send(parent.ID, t)
			}
		} else {
			t.Domain, t.AggregatedBy = w.Self.Domain, w.Self.ID
			r.Domains[t.Domain] = t
		}
		if w.MembersTree.Root {
			sendDomainTallies(w, r, out)
		}
	}
}

// subtreeRows sums the counts of this daemon and of its descendants in the tree.
func subtreeRows(w *table.World, r *table.Rollout) []rollout.Row {
	sum := rollout.Tally{}
	sum.Add(r.Evidence.Rows())
	for _, l := range w.Links {
		if t := l.Tallies[r.Service]; t.OrderID == r.ID && !l.Dialed && l.Domain == w.Self.Domain {
			sum.Add(t.Rows)
		}
	}
	return sum.Rows()
}

// sendDomainTallies sends the tallies of failure domains to other roots: those of all domains
// within this daemon's domain, and that of its own domain to the others.
func sendDomainTallies(w *table.World, r *table.Rollout, out *Outbox) {
	own := order(w, w.Self.Domain)
	roots := own[:min(len(own), w.Params.Roots)]
	for _, l := range neighbours(w) {
		sameDomain := l.Domain == w.Self.Domain
		isRoot := !sameDomain || slices.ContainsFunc(roots, func(m wire.Member) bool { return m.ID == l.Peer })
		if !l.TakesRollouts || !isRoot {
			continue
		}
		for _, domain := range sortedKeys(r.Domains) {
			if t := r.Domains[domain]; len(t.Rows) > 0 && t.AggregatedBy != l.Peer && (sameDomain || domain == w.Self.Domain) {
				out.send(l.ID, t)
			}
		}
	}
}

// receiveTally records a tally from a peer.
func receiveTally(w *table.World, l *table.Link, t wire.Tally, out *Outbox) {
	r := w.Rollouts[t.Service]
	if r == nil || r.ID != t.OrderID || !r.Live() {
		return // the rollout has ended or is not known here yet
	}
	if !rollout.ValidRows(t.Rows) {
		out.event(event.Event{Kind: event.RolloutRefused, Service: t.Service, Peer: l.Peer, Detail: "malformed rollout tally"})
		return
	}
	if t.Domain == "" {
		if l.Tallies == nil {
			l.Tallies = map[string]wire.Tally{}
		}
		l.Tallies[t.Service] = t
		return
	}
	if old := r.Domains[t.Domain]; old.AggregatedBy != t.AggregatedBy || countCalls(t) >= countCalls(old) {
		r.Domains[t.Domain] = t
	}
}

func countCalls(t wire.Tally) int {
	n := 0
	for _, row := range t.Rows {
		n += row.N
	}
	return n
}
