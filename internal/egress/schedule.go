package egress

import (
	"slices"
	"time"
)

const (
	// minChunkBytes is the size of the parts in which a long response is written on links
	// of up to 77 Mbit/s. A short response waits for at most one part.
	minChunkBytes = 8 << 10
	// minChunkTime is the shortest time in which a part is sent. It makes parts larger than
	// minChunkBytes on fast links, where small parts would cost many timers and writes and
	// save little delay.
	minChunkTime = time.Millisecond
	// maxBufferedBytes is how many bytes of responses are kept in memory for the link while
	// the slots of their upstreams are used again. A link of 10 Mbit/s needs 15 s for them,
	// longer than callers wait.
	maxBufferedBytes = 16 << 20
)

// booking is the time on the link of one response.
type booking struct {
	start time.Time
	end   time.Time
	bytes int
	// moved is signalled when the response before this one has ended.
	moved chan struct{}
}

// Schedule is the time on the link that is reserved for one response. Close must be called
// when the response has been sent or given up. The zero Schedule has no limit.
type Schedule struct {
	queue *Queue
	b     *booking
	// keepSlot is set if too many bytes are waiting for the link.
	keepSlot bool
}

// Begin schedules the response of an attempt, now that it is complete and its size in bytes
// is known.
func (q *Queue) Begin(t Ticket, bytes int) Schedule {
	if q.rate == 0 {
		return Schedule{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(t.r)
	b := &booking{start: q.freeFrom(q.now()), bytes: bytes, moved: make(chan struct{}, 1)}
	b.end = b.start.Add(q.duration(bytes))
	q.freeAt = b.end
	q.booked = append(q.booked, b)
	return Schedule{queue: q, b: b, keepSlot: q.bookedBytes() > maxBufferedBytes}
}

// bookedBytes returns the size of all responses that are waiting or being sent.
func (q *Queue) bookedBytes() int {
	sum := 0
	for _, b := range q.booked {
		sum += b.bytes
	}
	return sum
}

// KeepSlot reports whether the response should hold its upstream's slot until it has been
// sent, because too many bytes are already waiting for the link.
func (s Schedule) KeepSlot() bool { return s.keepSlot }

// At returns when the part of the response that begins at the given offset may be written.
// It becomes earlier if responses before this one are given up; Moved tells when to ask
// again.
func (s Schedule) At(offset int) time.Time {
	if s.queue == nil {
		return time.Time{}
	}
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return s.b.start.Add(s.queue.duration(offset))
}

// Moved returns a channel that is ready when the response before this one has ended, which
// may have been earlier than scheduled.
func (s Schedule) Moved() <-chan struct{} {
	if s.queue == nil {
		return nil
	}
	return s.b.moved
}

// ChunkBytes returns the size of the parts in which the response is written.
func (s Schedule) ChunkBytes() int {
	if s.queue == nil {
		return minChunkBytes
	}
	return max(minChunkBytes, int(s.queue.rate*minChunkTime.Seconds()))
}

// Close ends the response after this number of bytes was written. The time of the rest is
// given to the responses behind it.
func (s Schedule) Close(sent int) {
	if s.queue == nil {
		return
	}
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.booked, s.b)
	if i < 0 {
		return
	}
	q.booked = slices.Delete(q.booked, i, i+1)
	if i < len(q.booked) {
		defer q.booked[i].signal()
	}
	unused := min(q.duration(s.b.bytes-sent), s.b.end.Sub(q.now()))
	if unused <= 0 {
		return
	}
	q.freeAt = q.freeAt.Add(-unused)
	for _, b := range q.booked[i:] {
		b.start = b.start.Add(-unused)
		b.end = b.end.Add(-unused)
	}
}

// signal wakes the sender of a response that waits for the one before it.
func (b *booking) signal() {
	select {
	case b.moved <- struct{}{}:
	default:
	}
}
