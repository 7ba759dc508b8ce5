// Package ledger records the attempts that reached an owner, so that an attempt reported as
// not run never runs and no attempt runs twice. It does no I/O; the clock is passed in.
package ledger

import (
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// State is the state of an attempt at its owner.
type State string

// The states of an attempt.
const (
	// Unseen: the owner has no entry for the attempt.
	Unseen State = "unseen"
	// Waiting: the attempt was received and has not started.
	Waiting State = "waiting"
	// Started: the request may have been sent to the upstream.
	Started State = "started"
	// Finished: the upstream's response was passed on, or the attempt failed after it had
	// started.
	Finished State = "finished"
	// Voided: the attempt has not run and never will.
	Voided State = "voided"
)

const (
	// entryRetention is how long an entry is kept after its attempt's deadline, to answer
	// inquiries about the attempt and to detect copies of the request that arrive late.
	entryRetention = time.Minute
	// keyRetention is how long an idempotency key is remembered after the attempt's
	// deadline.
	keyRetention = 10 * time.Minute
	// maxEntries limits the number of entries. When the ledger is full, new
	// attempts are refused: if old entries were dropped instead, copies that arrive late
	// could run again.
	maxEntries = 200_000
	// sweepInterval is the interval at which expired entries are dropped.
	sweepInterval = 5 * time.Second
)

// Attempt is what the ledger needs to know of an attempt.
type Attempt struct {
	// ID is unique across all attempts.
	ID     string
	Caller string
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	Deadline       time.Time
}

type entry struct {
	state   State
	key     string
	expires time.Time
}

// Ledger records the attempts that reached this owner. An attempt ID moves from Unseen to
// Waiting to Started to Finished, or to Voided, and never back. This guarantees that an
// attempt reported as not run never runs, and that no late copy of it does. It is safe
// for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	attempts map[string]*entry
	// keys maps caller and idempotency key to the attempt that holds it.
	keys      map[string]string
	nextSweep time.Time
	now       func() time.Time
}

// New returns an empty ledger.
func New(now func() time.Time) *Ledger {
	return &Ledger{attempts: map[string]*entry{}, keys: map[string]string{}, now: now}
}

// Receive enters an attempt as Waiting. If it returns false, the attempt must be refused
// with the returned reason.
func (l *Ledger) Receive(a Attempt) (outcome.Reason, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.expire(now)
	if old := l.attempts[a.ID]; old != nil {
		if old.state == Voided {
			return outcome.ReasonVoided, false
		}
		return outcome.ReasonDuplicate, false
	}
	if len(l.attempts) >= maxEntries {
		return outcome.ReasonOverload, false
	}
	e := &entry{state: Waiting, expires: a.Deadline.Add(entryRetention)}
	if a.IdempotencyKey != "" {
		e.key = a.Caller + "\x00" + a.IdempotencyKey
		if _, taken := l.keys[e.key]; taken {
			return outcome.ReasonDuplicate, false
		}
		l.keys[e.key] = a.ID
		e.expires = a.Deadline.Add(keyRetention)
	}
	l.attempts[a.ID] = e
	return "", true
}

// Start moves an attempt from Waiting to Started. It returns false if the attempt was
// voided.
func (l *Ledger) Start(id string) bool {
	return l.transition(id, Waiting, Started)
}

// Finish moves an attempt from Started to Finished.
func (l *Ledger) Finish(id string) { l.transition(id, Started, Finished) }

func (l *Ledger) transition(id string, from, to State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.attempts[id]
	if e == nil || e.state != from {
		return false
	}
	e.state = to
	return true
}

// Abandon voids an attempt that its owner knows not to have run, including one that was
// marked Started but whose request was never sent.
func (l *Ledger) Abandon(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.attempts[id]; e != nil {
		l.void(e)
	}
}

func (l *Ledger) void(e *entry) {
	e.state = Voided
	if e.key != "" {
		delete(l.keys, e.key)
		e.key = ""
	}
}

// State returns the state of an attempt.
func (l *Ledger) State(id string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.attempts[id]; e != nil {
		return e.state
	}
	return Unseen
}

// TryVoid voids an attempt unless it has started, and returns its resulting state. An
// attempt that has not arrived yet is voided in advance, for as long as a late copy of it
// could still be within its deadline.
func (l *Ledger) TryVoid(id string, deadline time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.attempts[id]
	if e == nil {
		e = &entry{expires: deadline.Add(entryRetention)}
		l.attempts[id] = e
		l.void(e)
	}
	if e.state == Waiting {
		l.void(e)
	}
	return e.state
}

func (l *Ledger) expire(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for id, e := range l.attempts {
		if now.Before(e.expires) {
			continue
		}
		delete(l.attempts, id)
		if e.key != "" {
			delete(l.keys, e.key)
		}
	}
}
