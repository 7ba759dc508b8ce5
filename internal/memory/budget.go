// Package memory bounds the memory that a daemon spends on the bodies of requests and responses that
// are on their way through it, and decides which of them give way when it is used up. It does no I/O;
// the clock is passed in.
package memory

import (
	"container/list"
	"sync"
	"time"
)

const (
	// SmallBytes is how much of the budget each holder may take from the part that is set aside for small
	// bodies, in bytes.
	SmallBytes = 16 << 10
	// smallDivisor divides the budget to give the part that is set aside for small bodies: a few long
	// bodies must not lock out all others.
	smallDivisor = 8
	// stalledAfter is how long a transfer may take nothing more before it can be evicted. Transfers over
	// a slow link progress more often.
	stalledAfter = time.Second
)

// Budget is memory that many requests and responses draw on. It is safe for concurrent use. A nil budget is unlimited.
type Budget struct {
	limit int64
	now   func() time.Time

	mu      sync.Mutex
	used    int64
	evicted int64
	// transfers holds the accounts that can be evicted; the one that has not progressed for the longest
	// time is at the front.
	transfers list.List
}

// NewBudget returns a budget of limit bytes, or of what a body of largest bytes needs if that is more.
func NewBudget(limit, largest int64, now func() time.Time) *Budget {
	// The part that is not set aside for small bodies must hold the largest body.
	needed := largest + largest/(smallDivisor-1) + 1
	return &Budget{limit: max(limit, needed), now: now}
}

// Account is the part of a budget that one request or response holds. It begins empty. The memory is
// counted as it is taken, not as it is announced. A nil account is unlimited.
type Account struct {
	budget *Budget
	held   int64
	// reserved is how much of held has been taken in advance and is not yet in use.
	reserved int64
	// transfer is the element of the account in budget.transfers, or nil while the account is pinned.
	transfer     *list.Element
	progressedAt time.Time
	evict        func()
	evicted      bool
}

// Open returns an empty account that is pinned: it cannot be evicted.
func (b *Budget) Open() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b}
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Evicted returns how many accounts have been evicted.
func (b *Budget) Evicted() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// Unpin allows the account to be evicted when the budget is used up and its transfer has stalled. The
// function evict must end the transfer without blocking, so that the memory becomes free.
func (s *Account) Unpin(evict func()) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.evicted || s.transfer != nil {
		return
	}
	s.evict = evict
	s.progressedAt = s.budget.now()
	s.transfer = s.budget.transfers.PushBack(s)
}

// Pin protects the account from eviction. False: it has been evicted.
func (s *Account) Pin() bool {
	if s == nil {
		return true
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.remove()
	return !s.evicted
}

// remove removes the account from the transfers. The caller holds the lock.
func (s *Account) remove() {
	if s.transfer != nil {
		s.budget.transfers.Remove(s.transfer)
		s.transfer = nil
	}
}

// Take takes n more bytes. If the budget is used up, stalled transfers are evicted. False: there is no
// room, or the account itself has been evicted.
func (s *Account) Take(n int64) bool {
	if s == nil {
		return true
	}
	used := min(n, s.reserved)
	s.reserved -= used
	evicted, ok := s.take(n - used)
	for _, other := range evicted {
		other.evict()
	}
	return ok
}

func (s *Account) take(n int64) (evicted []*Account, ok bool) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if s.held+n > SmallBytes {
		limit -= b.limit / smallDivisor
	}
	for !s.evicted && b.used+n > limit {
		stalled := b.stalled()
		if stalled == nil {
			return evicted, false
		}
		stalled.remove()
		stalled.evicted = true
		b.used -= stalled.held
		stalled.held = 0
		b.evicted++
		evicted = append(evicted, stalled)
	}
	if s.evicted {
		return evicted, false
	}
	b.used += n
	s.held += n
	s.progress()
	return evicted, true
}

// Reserve takes n bytes in advance for the calls of Take that follow. False: there is no room.
func (s *Account) Reserve(n int64) bool {
	if s == nil {
		return true
	}
	if !s.Take(n) {
		return false
	}
	s.reserved = n
	return true
}

// stalled returns the transfer that has stalled for the longest time, or nil if none has. The caller
// holds the lock.
func (b *Budget) stalled() *Account {
	front := b.transfers.Front()
	if front == nil {
		return nil
	}
	s := front.Value.(*Account)
	if b.now().Sub(s.progressedAt) < stalledAfter {
		return nil
	}
	return s
}

// progress records that the transfer has progressed. The caller holds the lock.
func (s *Account) progress() {
	if s.transfer != nil {
		s.progressedAt = s.budget.now()
		s.budget.transfers.MoveToBack(s.transfer)
	}
}

// Give gives n bytes back, of a transfer that has progressed.
func (s *Account) Give(n int64) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	n = min(n, s.held)
	s.held -= n
	s.budget.used -= n
	s.progress()
}

// Evicted reports whether the account has been evicted.
func (s *Account) Evicted() bool {
	if s == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.evicted
}

// Close gives all bytes back. The account must not be used afterwards, except by Close.
func (s *Account) Close() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.remove()
	s.budget.used -= s.held
	s.held = 0
}
