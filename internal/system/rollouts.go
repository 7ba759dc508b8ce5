package system

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// A roll-out's order is read by the roots and passed on like news of suspects. What the
// daemons see of it goes up the tree, is added up for each failure domain, and judged by
// every root. That a new version gets no more calls holds at once wherever it is heard of;
// each later phase is agreed first, by a record on the store that is written only if nobody
// has written meanwhile: of several roots that want to, one succeeds, and no lease or
// term is needed. One that was paused finds that others have gone on.

// Ordered brings the orders for roll-outs that were read.
type Ordered struct{ Orders []rollout.Order }

// RolloutsRead is what the store holds of roll-outs, or the error.
type RolloutsRead struct {
	Records []rollout.Record
	Err     error
}

// RolloutTold says that operators can read a roll-out's phase on the store.
type RolloutTold struct{ Record rollout.Record }

// oldKeep is how long upstreams of other versions get no calls after a roll-out was
// completed: they have stopped, and their daemons notice later.
const oldKeep = 30 * time.Second

// receiveOrders takes in orders that are later than what is known.
func receiveOrders(w *table.World, o Ordered, out *Outbox) {
	for _, order := range o.Orders {
		if err := order.Check(); err != nil {
			out.event(event.Event{Kind: event.RolloutRefused, Service: order.Service, Detail: err.Error()})
			continue
		}
		if r := w.Rollouts[order.Service]; r != nil && r.ID >= order.ID {
			continue
		}
		if w.Orders[order.Service].ID < order.ID {
			w.Orders[order.Service] = order
		}
	}
}

// receiveRollouts takes in what the store holds.
func receiveRollouts(w *table.World, now time.Time, read RolloutsRead, out *Outbox) {
	if read.Err != nil {
		return
	}
	w.RolloutsRead = true
	for _, rec := range read.Records {
		r := w.Rollouts[rec.Service]
		if r != nil && r.ID == rec.ID && r.Phase == rec.Phase {
			r.Held, r.Due = true, time.Time{}
			continue
		}
		if r != nil && !rec.Follows(r.Record) {
			continue
		}
		age := min(max(0, now.Sub(time.UnixMilli(rec.Began))), 2*rec.Duration)
		r = followRecord(w, now, rec, now.Add(-age), now, out)
		r.Held = true
		// What ended long ago was told by those who were there.
		r.Told = rec.Phase.Final() && age >= 2*rec.Duration
	}
}

// followRecord makes a record the one that is followed here.
func followRecord(w *table.World, now time.Time, rec rollout.Record, since, phaseSince time.Time, out *Outbox) *table.Rollout {
	old := w.Rollouts[rec.Service]
	r := &table.Rollout{
		Record: rec, Since: since, PhaseSince: phaseSince, News: true,
		Evidence: rollout.NewEvidence(), Domains: map[string]wire.Tally{},
	}
	if old != nil && old.ID == rec.ID {
		r.Since, r.Evidence, r.Domains = old.Since, old.Evidence, old.Domains
		if r.Live() {
			r.Stop = old.Stop
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

// stopRollout keeps calls away from the new version.
func stopRollout(w *table.World, r *table.Rollout, why string, out *Outbox) {
	r.Stop, r.News, r.From = why, true, 0
	w.ViewDirty = true
	out.event(event.Event{Kind: event.RolloutStopped, Service: r.Service, Version: r.ID, Detail: r.Target + ": " + why})
}

// rolloutsHash is what a hello says of the roll-outs known.
func rolloutsHash(w *table.World) string {
	h := xxhash.New()
	for _, service := range sortedKeys(w.Rollouts) {
		r := w.Rollouts[service]
		fmt.Fprintf(h, "%s %d %d %t\n", service, r.ID, r.Phase, r.Stop != "")
	}
	return fmt.Sprintf("%x", h.Sum64())
}

// tellRollouts sends a new connection what is known, if the other end knows anything else.
func tellRollouts(w *table.World, now time.Time, l *table.Link, h wire.Hello, out *Outbox) {
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
		Record: r.Record, AgeMs: now.Sub(r.Since).Milliseconds(), PhaseAgeMs: now.Sub(r.PhaseSince).Milliseconds(), Stop: r.Stop,
	}
}

// hearRollouts takes in what another daemon knows.
func hearRollouts(w *table.World, now time.Time, l *table.Link, m wire.Rollouts, out *Outbox) {
	for _, s := range m.States {
		if s.Check() != nil || s.AgeMs < 0 || s.PhaseAgeMs < 0 {
			out.event(event.Event{Kind: event.RolloutRefused, Service: s.Service, Peer: l.Peer, Detail: "malformed state of a roll-out"})
			continue
		}
		ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
		r := w.Rollouts[s.Service]
		if r == nil || s.Follows(r.Record) {
			r = followRecord(w, now, s.Record, ago(s.AgeMs), ago(s.PhaseAgeMs), out)
			// Only what the store holds leads beyond the first phase.
			r.Held = s.Phase != rollout.Trying
			r.From = l.ID
		}
		if r.ID == s.ID && r.Live() && r.Stop == "" && s.Stop != "" {
			stopRollout(w, r, s.Stop, out)
			r.From = l.ID
		}
	}
}

// runRollouts follows the orders, judges what was seen, and passes it on.
func runRollouts(w *table.World, now time.Time, out *Outbox) {
	noteVersions(w, now)
	followOrders(w, now, out)
	for _, service := range sortedKeys(w.Rollouts) {
		runRollout(w, now, w.Rollouts[service], out)
	}
	if !now.Before(w.NextTally) {
		w.NextTally = now.Add(tallyEvery)
		passTallies(w, out)
	}
	passRollouts(w, now, out)
}

// followOrders begins the roll-outs that were ordered, once it is known what the store
// holds of them: an order that was read after a start may long have been followed.
func followOrders(w *table.World, now time.Time, out *Outbox) {
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
		followRecord(w, now, w.Orders[service].Begin(last, now), now, now, out)
	}
}

func runRollout(w *table.World, now time.Time, r *table.Rollout, out *Outbox) {
	if r.Phase == rollout.Completed && !r.Settled && now.Sub(r.PhaseSince) > oldKeep {
		r.Settled = true
		w.ViewDirty = true
	}
	if !w.MembersTree.Root {
		return
	}
	next, wanted := r.Record, false
	if r.Live() {
		target, others := w.UpstreamsOf(r.Service, r.Target)
		if r.Stop == "" {
			judge(w, r, target, others, out)
		}
		next, wanted = nextRecord(w, now, r, len(target))
	}
	switch {
	case wanted || !r.Held:
		if rolloutTurn(w, now, r) {
			out.AgreeRollouts = append(out.AgreeRollouts, next)
		}
	case !r.Told:
		if rolloutTurn(w, now, r) {
			out.TellRollouts = append(out.TellRollouts, r.Record)
		}
	}
}

// nextRecord returns the record that is to be agreed, of a roll-out that goes on with so
// many upstreams of the new version, and whether it is another than the one followed.
func nextRecord(w *table.World, now time.Time, r *table.Rollout, target int) (rollout.Record, bool) {
	plan := w.Plan(r.Duration)
	elapsed := now.Sub(r.Since)
	switch {
	case r.Stop != "":
		return r.To(rollout.Reverted, r.Stop), true
	case target == 0 && elapsed >= plan.MoveAt()+plan.CompleteAfter():
		return r.To(rollout.Reverted, "no upstream of the version takes calls"), true
	case r.Phase == rollout.Trying && elapsed >= plan.MoveAt() && target > 0:
		return r.To(rollout.Moving, ""), true
	case r.Phase == rollout.Moving && now.Sub(r.PhaseSince) >= plan.CompleteAfter():
		return r.To(rollout.Completed, seen(r)), true
	}
	return r.Record, false
}

// rolloutTurn reports whether it is this root's turn to write to the store: the roots take
// turns by waiting longer the later they rank, and one that has written waits for what
// becomes of it.
func rolloutTurn(w *table.World, now time.Time, r *table.Rollout) bool {
	if !w.Log.Up || !mayReadLog(w, now) {
		return false
	}
	if r.Due.IsZero() {
		r.Due = now.Add(keepTurn * time.Duration(turn(w)))
	}
	if now.Before(r.Due) {
		return false
	}
	r.Due = now.Add(keepRetry)
	return true
}

// noteTold takes note that operators can read a phase.
func noteTold(w *table.World, rec rollout.Record) {
	if r := w.Rollouts[rec.Service]; r != nil && r.ID == rec.ID && r.Phase == rec.Phase {
		r.Told, r.Due = true, time.Time{}
	}
}

func passRollouts(w *table.World, now time.Time, out *Outbox) {
	var news []*table.Rollout
	for _, service := range sortedKeys(w.Rollouts) {
		if r := w.Rollouts[service]; r.News {
			r.News = false
			news = append(news, r)
		}
	}
	if len(news) == 0 {
		return
	}
	for _, l := range neighbours(w) {
		if !l.TakesRollouts {
			continue
		}
		var m wire.Rollouts
		for _, r := range news {
			if r.From != l.ID {
				m.States = append(m.States, stateOf(r, now))
			}
		}
		if len(m.States) > 0 {
			out.send(l.ID, m)
		}
	}
}
