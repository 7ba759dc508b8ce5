package system

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// The roots read the orders for rollouts and distribute them like changes of suspects.
// The daemons count the results of the calls during a rollout. The counts are sent up the
// tree, summed per failure domain, and judged by every root. A daemon that learns that a
// rollout was stopped sends the new version no more calls from then on. Each later phase
// must first be committed: its record is written to the store, which accepts it only if
// nobody else has written meanwhile. If several roots try, one succeeds, so that no lease
// or term is needed. A root that was paused finds the record that the others committed.

// OrdersRead carries rollout orders that were read.
type OrdersRead struct{ Orders []rollout.Order }

// RolloutsRead is the result of a read of the rollout records in the store, or its error.
type RolloutsRead struct {
	Records []rollout.Record
	Err     error
}

// RolloutPublished reports that a rollout's phase was published in the store for operators.
type RolloutPublished struct{ Record rollout.Record }

// oldVersionHold is how long upstreams of other versions get no calls after a rollout was
// completed. Within this time these upstreams stop and their daemons notice it.
const oldVersionHold = 30 * time.Second

// receiveOrders records orders that are later than those known.
func receiveOrders(w *table.World, o OrdersRead, out *Outbox) {
	for _, order := range o.Orders {
		if err := order.Check(); err != nil {
			out.event(event.Event{Kind: event.RolloutRefused, Service: order.Service, Detail: err.Error()})
			continue
		}
		if r := w.Rollouts[order.Service]; r != nil && (r.ID >= order.ID || order.SameAsBefore(r.Order)) {
			continue
		}
		if isPastOrder(w, order) {
			continue
		}
		if w.Orders[order.Service].ID < order.ID {
			w.Orders[order.Service] = order
		}
	}
}

// maxPastOrders bounds the orders of a service that are remembered.
const maxPastOrders = 16

// isPastOrder reports whether an order was read before, in an earlier epoch of the store: a
// copy of the store still has it, although a later order followed. An order that was not read
// before is remembered.
func isPastOrder(w *table.World, order rollout.Order) bool {
	past := w.PastOrders[order.Service]
	if slices.ContainsFunc(past, order.CopyOf) {
		return true
	}
	past = append(past, order)
	w.PastOrders[order.Service] = past[max(0, len(past)-maxPastOrders):]
	return false
}

// receiveStoredRollouts merges the rollout records read from the store.
func receiveStoredRollouts(w *table.World, now time.Time, read RolloutsRead, out *Outbox) {
	if read.Err != nil {
		return
	}
	w.RolloutsRead = true
	for _, rec := range read.Records {
		r := w.Rollouts[rec.Service]
		if r != nil && r.ID == rec.ID && r.Phase == rec.Phase {
			r.Stored, r.Due = true, time.Time{}
			continue
		}
		if r != nil && !rec.Follows(r.Record) {
			continue
		}
		age := min(max(0, now.Sub(time.UnixMilli(rec.Began))), 2*rec.Duration)
		r = installRecord(w, now, rec, now.Add(-age), now, out)
		r.Stored = true
		// The outcome of a rollout that ended long ago was published by the daemons that
		// ran at that time.
		r.Published = rec.Phase.Final() && age >= 2*rec.Duration
	}
}

// installRecord makes rec the current record of its service's rollout.
func installRecord(w *table.World, now time.Time, rec rollout.Record, since, phaseSince time.Time, out *Outbox) *table.Rollout {
	old := w.Rollouts[rec.Service]
	r := &table.Rollout{
		Record: rec, Since: since, PhaseSince: phaseSince, Unsent: true,
		Evidence: rollout.NewEvidence(), Domains: map[string]wire.Tally{},
	}
	if old != nil && old.ID == rec.ID {
		r.Since, r.Evidence, r.Domains = old.Since, old.Evidence, old.Domains
		if r.Live() {
			r.StopReason = old.StopReason
		}
	}
	w.Rollouts[rec.Service] = r
	if w.Orders[rec.Service].ID <= rec.ID {
		delete(w.Orders, rec.Service)
	}
	w.ViewDirty = true
	out.event(event.Event{
		Kind: event.Rollout, Service: rec.Service, Version: rec.ID,
		Detail: fmt.Sprintf("to %s: %s, %s after the order; %s", rec.Target, rec.Phase, now.Sub(r.Since).Round(time.Millisecond), cmp.Or(rec.Why, "no objection")),
	})
	return r
}

// stopRollout stops sending calls to the new version.
func stopRollout(w *table.World, r *table.Rollout, reason string, out *Outbox) {
	r.StopReason, r.Unsent, r.From = reason, true, 0
	w.ViewDirty = true
	out.event(event.Event{Kind: event.RolloutStopped, Service: r.Service, Version: r.ID, Detail: r.Target + ": " + reason})
}

// rolloutsHash returns the hash of the known rollouts that a hello carries.
func rolloutsHash(w *table.World) string {
	h := xxhash.New()
	for _, service := range sortedKeys(w.Rollouts) {
		r := w.Rollouts[service]
		fmt.Fprintf(h, "%s %d %d %t\n", service, r.ID, r.Phase, r.StopReason != "")
	}
	return fmt.Sprintf("%x", h.Sum64())
}

// sendRollouts sends the known rollouts on a new connection, if the peer's hash differs.
func sendRollouts(w *table.World, now time.Time, l *table.Link, h wire.Hello, out *Outbox) {
	l.TakesRollouts = h.Rollouts != ""
	if !l.TakesRollouts || h.Rollouts == rolloutsHash(w) || len(w.Rollouts) == 0 {
		return
	}
	var m wire.Rollouts
	for _, service := range sortedKeys(w.Rollouts) {
		m.States = append(m.States, stateOf(w.Rollouts[service], now))
	}
	out.send(l.ID, m)
}

func stateOf(r *table.Rollout, now time.Time) wire.RolloutState {
	return wire.RolloutState{
		Record: r.Record, AgeMs: now.Sub(r.Since).Milliseconds(), PhaseAgeMs: now.Sub(r.PhaseSince).Milliseconds(), StopReason: r.StopReason,
	}
}

// receivePeerRollouts merges the rollouts that a peer knows.
func receivePeerRollouts(w *table.World, now time.Time, l *table.Link, m wire.Rollouts, out *Outbox) {
	for _, s := range m.States {
		if s.Check() != nil || s.AgeMs < 0 || s.PhaseAgeMs < 0 {
			out.event(event.Event{Kind: event.RolloutRefused, Service: s.Service, Peer: l.Peer, Detail: "malformed rollout state"})
			continue
		}
		ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
		r := w.Rollouts[s.Service]
		if r == nil || s.Follows(r.Record) {
			r = installRecord(w, now, s.Record, ago(s.AgeMs), ago(s.PhaseAgeMs), out)
			// Phases after the first are reached only through a record in the store.
			r.Stored = s.Phase != rollout.Trying
			r.From = l.ID
		}
		if r.ID == s.ID && r.Live() && r.StopReason == "" && s.StopReason != "" {
			stopRollout(w, r, s.StopReason, out)
			r.From = l.ID
		}
	}
}

// runRollouts begins ordered rollouts, judges the counts, and forwards changes.
func runRollouts(w *table.World, now time.Time, out *Outbox) {
	beginRollouts(w, now, out)
	for _, service := range sortedKeys(w.Rollouts) {
		runRollout(w, now, w.Rollouts[service], out)
	}
	if !now.Before(w.NextTally) {
		w.NextTally = now.Add(tallyInterval)
		forwardTallies(w, out)
	}
	forwardRollouts(w, now, out)
}

// beginRollouts begins the ordered rollouts, once the rollout records in the store are
// known: an order read after a restart may have been carried out long ago.
func beginRollouts(w *table.World, now time.Time, out *Outbox) {
	if len(w.Orders) == 0 {
		return
	}
	if !w.RolloutsRead {
		out.ReadRollouts = true
		return
	}
	for _, service := range sortedKeys(w.Orders) {
		var last rollout.Record
		if r := w.Rollouts[service]; r != nil {
			last = r.Record
		}
		installRecord(w, now, w.Orders[service].Begin(last, now), now, now, out)
	}
}

func runRollout(w *table.World, now time.Time, r *table.Rollout, out *Outbox) {
	if r.Phase == rollout.Completed && !r.Settled && now.Sub(r.PhaseSince) > oldVersionHold {
		r.Settled = true
		w.ViewDirty = true
	}
	if !w.MembersTree.Root {
		return
	}
	next, wanted := r.Record, false
	if r.Live() {
		target, others := w.UpstreamsOf(r.Service, r.Target)
		if r.StopReason == "" {
			judgeRollout(w, r, target, others, out)
		}
		next, wanted = nextRecord(w, now, r, len(target))
	}
	switch {
	case wanted || !r.Stored:
		if takeRolloutTurn(w, now, r) {
			out.CommitRollouts = append(out.CommitRollouts, next)
		}
	case !r.Published && !awaitsLastCalls(w, now, r):
		if takeRolloutTurn(w, now, r) {
			out.PublishRollouts = append(out.PublishRollouts, r.Record)
		}
	}
}

// nextRecord returns the record to commit next, and whether it differs from the current
// one. target is the number of upstreams of the new version that take calls.
func nextRecord(w *table.World, now time.Time, r *table.Rollout, target int) (rollout.Record, bool) {
	plan := w.Plan(r.Duration)
	elapsed := now.Sub(r.Since)
	switch {
	case r.StopReason != "":
		return r.WithPhase(rollout.Reverted, r.StopReason), true
	case target == 0 && elapsed >= plan.MoveAfter()+plan.MoveTimeout():
		return r.WithPhase(rollout.Reverted, "no upstream of the version takes calls"), true
	case r.Phase == rollout.Trying && elapsed >= plan.MoveAfter() && target > 0:
		return r.WithPhase(rollout.Moving, ""), true
	case r.Phase == rollout.Moving && now.Sub(r.PhaseSince) >= plan.MoveTimeout():
		return r.WithPhase(rollout.Completed, evidenceSummary(r)), true
	}
	return r.Record, false
}

// awaitsLastCalls reports whether a rollout was reverted so recently that some daemons may not
// have heard of it, or have sent calls to the new version that have not arrived. Operators
// may stop its upstreams once they read that it is rolled back. They read that no later than
// they would read that the rollout is completed.
func awaitsLastCalls(w *table.World, now time.Time, r *table.Rollout) bool {
	plan := w.Plan(r.Duration)
	return r.Phase == rollout.Reverted &&
		now.Sub(r.PhaseSince) < plan.MoveTimeout() && now.Sub(r.Since) < plan.MoveAfter()+plan.MoveTimeout()
}

// takeRolloutTurn reports whether it is this root's turn to write to the store, and if so
// starts the wait for the result of the write. So that usually only one root writes, each
// root waits longer than those ranked before it.
func takeRolloutTurn(w *table.World, now time.Time, r *table.Rollout) bool {
	if !w.Log.Up || !mayReadLog(w, now) {
		return false
	}
	if r.Due.IsZero() {
		r.Due = now.Add(storeTurnDelay * time.Duration(rootIndex(w)))
	}
	if now.Before(r.Due) {
		return false
	}
	r.Due = now.Add(storeWriteRetry)
	return true
}

// receiveRolloutPublished records that a phase was published for operators.
func receiveRolloutPublished(w *table.World, rec rollout.Record) {
	if r := w.Rollouts[rec.Service]; r != nil && r.ID == rec.ID && r.Phase == rec.Phase {
		r.Published, r.Due = true, time.Time{}
	}
}

func forwardRollouts(w *table.World, now time.Time, out *Outbox) {
	var changed []*table.Rollout
	for _, service := range sortedKeys(w.Rollouts) {
		if r := w.Rollouts[service]; r.Unsent {
			r.Unsent = false
			changed = append(changed, r)
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, l := range neighbours(w) {
		if !l.TakesRollouts {
			continue
		}
		var m wire.Rollouts
		for _, r := range changed {
			if r.From != l.ID {
				m.States = append(m.States, stateOf(r, now))
			}
		}
		if len(m.States) > 0 {
			out.send(l.ID, m)
		}
	}
}
