package system

import (
	"fmt"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
)

// HealthCheck is a health check of a candidate.
type HealthCheck struct {
	ID   string
	Addr string
	Path string
}

// HealthChecked is the answer to a HealthCheck.
type HealthChecked struct {
	ID string
	// Process is the process that has answered, or "" if it does not say.
	Process string
	// Healthy is set if it says that it is healthy and does not leave.
	Healthy bool
}

const (
	// requiredSources is how many independent sources must agree that a candidate has not
	// left, if the store is one of them, which holds each departure that was acknowledged while
	// it was reachable. requiredWithoutStore is how many if it cannot be read: a peer was told
	// only if it was connected. Each source may be missing or wrong while a failure lasts.
	requiredSources      = 2
	requiredWithoutStore = 3
	// minAnnouncementGap is the shortest time between announcements that count as two:
	// those that were held up together arrive together.
	minAnnouncementGap = 400 * time.Millisecond
	// An upstream that has announced itself steadyAnnouncements times over steadyTime counts as
	// two sources, and as three after longAnnouncements over longTime, unless it says that it is
	// not healthy: several delayed announcements are unlikely to arrive in such intervals.
	steadyAnnouncements = 3
	steadyTime          = 1500 * time.Millisecond
	longAnnouncements   = 5
	longTime            = 3 * time.Second
	// healthCheckInterval is the interval of the health checks of a candidate.
	healthCheckInterval = 500 * time.Millisecond
)

// receiveCandidate handles a ready announcement of an upstream without a row.
func receiveCandidate(w *table.World, now time.Time, a table.Local, out *Outbox) {
	c := w.Candidates[a.ID]
	if c == nil {
		c = &table.Candidate{FirstAt: now, NextCheck: now, Remembered: w.Lapsed[a.ID] != nil}
		w.Candidates[a.ID] = c
		if r := addressHolder(w, a); r != nil {
			c.Holder, c.HolderSequence = r.ID, r.Sequence
		}
	}
	c.Local, c.LastAt = a, now
	c.Count++
	if !admit(w, now, c, out) && c.Count == 1 {
		out.event(event.Event{Kind: event.UpstreamPending, Service: a.Service, Peer: a.ID, Detail: describeAnnouncement(w, now, a)})
	}
}

// runCandidates admits the candidates that have been confirmed and drops those that no longer
// announce themselves.
func runCandidates(w *table.World, now time.Time, out *Outbox) {
	for _, id := range sortedKeys(w.Candidates) {
		c := w.Candidates[id]
		switch {
		case !now.Before(c.Until):
			dropCandidate(w, c, "not confirmed", out)
		case !admit(w, now, c, out):
			checkHealth(w, now, c, out)
			readStoredDepartures(w, now, c, out)
		}
	}
}

// admit adds a row for the candidate if it has been confirmed, and reports whether it has.
func admit(w *table.World, now time.Time, c *table.Candidate, out *Outbox) bool {
	if !hasNotLeft(w, now, c) || !ownsAddress(w, c) {
		return false
	}
	detail := fmt.Sprintf("%s; %d announcements, healthy %t, memory of peers %t, of the store %t",
		describeAnnouncement(w, now, c.Local), c.Count, c.Healthy, peersRemember(w, now), w.Memory.StoreRead)
	addLocal(w, now, c.Local, detail, out)
	return true
}

// hasNotLeft reports whether the candidate is known not to have said that it leaves. This daemon
// remembers what it was told since it was started. An announcement from before may arrive for
// as long as Params.AnnouncementDelay; until then others have to confirm that the upstream did
// not leave before.
func hasNotLeft(w *table.World, now time.Time, c *table.Candidate) bool {
	required := requiredWithoutStore
	if w.Memory.StoreRead {
		required = requiredSources
	}
	return c.Remembered || c.LastAt.Sub(w.Started) >= w.Params.AnnouncementDelay || confirmingSources(w, now, c) >= required
}

// confirmingSources returns how many sources say that the candidate has not left.
func confirmingSources(w *table.World, now time.Time, c *table.Candidate) int {
	n := 0
	if peersRemember(w, now) {
		n++
	}
	if w.Memory.StoreRead {
		n++
	}
	if c.Healthy {
		n++
	}
	announced := c.LastAt.Sub(c.FirstAt)
	if c.Count >= 2 && announced >= minAnnouncementGap {
		n++
	}
	if c.Answered && !c.Healthy {
		return n
	}
	if c.Count >= steadyAnnouncements && announced >= steadyTime {
		n++
	}
	if c.Count >= longAnnouncements && announced >= longTime {
		n++
	}
	return n
}

// peersRemember reports whether a peer that has reported its memory of this daemon was running
// when the oldest announcement that may arrive now was sent. Departures that it has reported are
// in World.Departed.
func peersRemember(w *table.World, now time.Time) bool {
	return !w.Memory.OldestPeer.IsZero() && now.Sub(w.Memory.OldestPeer) >= w.Params.AnnouncementDelay
}

// ownsAddress reports whether the candidate is the process at its address. If another upstream
// holds the address, either of the two may be the one that is gone.
func ownsAddress(w *table.World, c *table.Candidate) bool {
	r := addressHolder(w, c.Local)
	if r == nil || c.Answered {
		return true
	}
	return r.ID == c.Holder && r.Sequence == c.HolderSequence && c.LastAt.Sub(c.FirstAt) >= steadyTime
}

// addressHolder returns the upstream that holds the address of a, or nil. One that is draining
// does not hold it, nor does an earlier incarnation of a.
func addressHolder(w *table.World, a table.Local) *table.Local {
	for _, id := range sortedKeys(w.Locals) {
		row := w.Locals[id]
		if id != a.ID && row.Addr == a.Addr && !row.Draining && (row.Name != a.Name || row.StartedMs >= a.StartedMs) {
			return row
		}
	}
	return nil
}

// checkHealth requests a health check of the candidate when one is due.
func checkHealth(w *table.World, now time.Time, c *table.Candidate, out *Outbox) {
	path := healthPath(w, c)
	if path == "" || c.Healthy || now.Before(c.NextCheck) {
		return
	}
	c.NextCheck = now.Add(healthCheckInterval)
	out.HealthChecks = append(out.HealthChecks, HealthCheck{ID: c.ID, Addr: c.Addr, Path: path})
}

// healthPath returns the path of the candidate's health checks, or "" if it answers none.
func healthPath(w *table.World, c *table.Candidate) string {
	return w.Config.State.Content.Services[c.Service].HealthPath
}

// receiveHealth handles the answer to a health check.
func receiveHealth(w *table.World, h HealthChecked, out *Outbox) {
	c := w.Candidates[h.ID]
	switch {
	case c == nil || h.Process == "":
	case h.Process != c.Process:
		dropCandidate(w, c, "process "+h.Process+" has answered at its address", out)
	default:
		c.Answered = true
		c.Healthy = c.Healthy || h.Healthy
	}
}

// dropCandidate ignores a candidate's announcements up to now.
func dropCandidate(w *table.World, c *table.Candidate, reason string, out *Outbox) {
	delete(w.Candidates, c.ID)
	detail := fmt.Sprintf("%s: %d announcements, last sequence %d", reason, c.Count, c.Sequence)
	out.event(event.Event{Kind: event.AnnouncedLate, Service: c.Service, Peer: c.ID, Detail: detail})
}
