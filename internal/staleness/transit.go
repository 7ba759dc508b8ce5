// Package staleness measures the delays that may have made a received message useless: the
// time for which it was queued in transit, and the times at which this process was not
// running. It does no I/O; the clock is passed in.
package staleness

import (
	"sync"
	"time"
)

const (
	// transitWindow is the minimum time for which the shortest delay of a sender's
	// messages serves as the baseline. The clocks of two VMs drift apart by at most 0.1
	// ms per second, which over this time stays below admission.AnswerMargin.
	transitWindow = 30 * time.Second
	// transitSenders is the maximum number of senders remembered: twice the number of
	// daemons at the design size, because each restart of a daemon adds a sender.
	transitSenders = 2048
)

// Transit measures by how much the delay of a message exceeds the shortest recent delay
// from the same sender. The clocks of two VMs cannot be compared, but their offset is the
// same from one message to the next: any delay beyond the shortest was spent in queues.
// An attempt that was queued for longer than the time it had left is refused instead of
// run for a caller that has given up. Transit is safe for concurrent use.
type Transit struct {
	mu      sync.Mutex
	senders map[string]*minTransit
}

// minTransit holds the smallest difference between arrival and sending time in the
// current window and in the previous one.
type minTransit struct {
	currentMin  time.Duration
	previousMin time.Duration
	windowStart time.Duration
	// windows is the number of windows started so far.
	windows int
}

// NewTransit returns a Transit that knows no senders.
func NewTransit() *Transit { return &Transit{senders: map[string]*minTransit{}} }

// Excess returns by how much a message's delay exceeds the shortest recent delay from its
// sender. sent is the sending time by the sender's clock, now the time of arrival.
func (t *Transit) Excess(sender string, sent, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.senders[sender]
	if m == nil {
		if len(t.senders) >= transitSenders {
			t.expire(now)
		}
		m = &minTransit{}
		t.senders[sender] = m
	}
	return m.observe(now-sent, now)
}

// observe records the difference between arrival and sending time of a message and
// returns by how much it exceeds the minimum.
func (m *minTransit) observe(took, now time.Duration) time.Duration {
	if m.windows == 0 || now-m.windowStart >= transitWindow {
		m.previousMin, m.currentMin, m.windowStart = m.currentMin, took, now
		m.windows++
	}
	m.currentMin = min(m.currentMin, took)
	least := m.currentMin
	if m.windows > 1 {
		least = min(least, m.previousMin)
	}
	return took - least
}

// expire removes the senders whose last window started at least two windows ago, or all
// senders if there is no such sender.
func (t *Transit) expire(now time.Duration) {
	before := len(t.senders)
	for sender, m := range t.senders {
		if now-m.windowStart >= 2*transitWindow {
			delete(t.senders, sender)
		}
	}
	if len(t.senders) == before {
		clear(t.senders)
	}
}
