package callpath

import (
	"sync"
	"time"
)

const (
	// transitWindow is how long the fastest way from a sender counts. Clocks of two
	// VMs drift apart by 0.1 ms a second at the most, which stays below what a
	// deadline's margin covers.
	transitWindow = 30 * time.Second
	// transitSenders bounds the senders remembered: twice the daemons of the size to
	// design for, since each start of one is another sender.
	transitSenders = 2048
)

// transit measures how much longer than usual a message was on its way. Clocks of two
// VMs cannot be compared, but the difference between them stays the same from one
// message to the next: whatever a message took beyond the fastest of late, it lay in
// queues. An attempt that lay there for longer than it had left is refused instead of run
// for a caller who has gone. Safe for concurrent use.
type transit struct {
	mu      sync.Mutex
	senders map[string]*fastest
}

// fastest holds the least difference between arrival and sending, in this window and
// the one before it.
type fastest struct {
	current time.Duration
	before  time.Duration
	began   time.Duration
	// windows is how many have begun.
	windows int
}

func newTransit() *transit { return &transit{senders: map[string]*fastest{}} }

// excess returns how much longer than the fastest of late a message was on its way,
// which this sender sent at sent, by its own clock, and which arrived at now.
func (t *transit) excess(sender string, sent, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.senders[sender]
	if f == nil {
		if len(t.senders) >= transitSenders {
			t.expire(now)
		}
		f = &fastest{}
		t.senders[sender] = f
	}
	return f.note(now-sent, now)
}

func (f *fastest) note(took, now time.Duration) time.Duration {
	if f.windows == 0 || now-f.began >= transitWindow {
		f.before, f.current, f.began = f.current, took, now
		f.windows++
	}
	f.current = min(f.current, took)
	least := f.current
	if f.windows > 1 {
		least = min(least, f.before)
	}
	return took - least
}

// expire forgets the senders that have sent nothing for two windows, and all of them
// if that is none.
func (t *transit) expire(now time.Duration) {
	before := len(t.senders)
	for sender, f := range t.senders {
		if now-f.began >= 2*transitWindow {
			delete(t.senders, sender)
		}
	}
	if len(t.senders) == before {
		clear(t.senders)
	}
}
