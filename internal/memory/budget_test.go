package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// clock is the clock of a test.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{time.Unix(1000, 0)} }

// TestBudgetIsNeverExceeded guards against memory that is counted twice or lost: whatever holders do,
// the bytes in use are the sum of what they hold and within the limit, and no pinned account is evicted.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const limit, holders = 1 << 20, 12
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		b := NewBudget(limit, 0, c.now)
		accounts := make([]*Account, holders)
		held, pinned, gone := make([]int64, holders), make([]bool, holders), make([]bool, holders)
		open := func(i int) {
			accounts[i], held[i], pinned[i], gone[i] = b.Open(), 0, true, false
		}
		for i := range holders {
			open(i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, holders-1).Draw(t, "holder")
			s := accounts[i]
			n := rapid.Int64Range(1, 200<<10).Draw(t, "bytes")
			switch rapid.SampledFrom([]string{"take", "take", "give", "unpin", "pin", "close", "wait"}).Draw(t, "op") {
			case "take":
				if s.Take(n) {
					held[i] += n
					if gone[i] {
						t.Fatal("an evicted account took memory")
					}
				}
			case "give":
				s.Give(n)
				held[i] = max(0, held[i]-n)
			case "unpin":
				s.Unpin(func() {
					if pinned[i] {
						t.Fatal("a pinned account was evicted")
					}
					held[i], gone[i] = 0, true
				})
				pinned[i] = gone[i]
			case "pin":
				if s.Pin() == gone[i] {
					t.Fatalf("pinned although evicted is %t", gone[i])
				}
				pinned[i] = true
			case "close":
				s.Close()
				open(i)
			case "wait":
				c.at = c.at.Add(time.Duration(n) * time.Millisecond / 100)
			}
			var sum int64
			for _, n := range held {
				sum += n
			}
			if b.Used() != sum || sum > limit {
				t.Fatalf("%d bytes are counted, %d are held, the limit is %d", b.Used(), sum, limit)
			}
		}
	})
}

// TestLargestBodyFits guards against a VM so small that one body of the largest legal size is never
// served, whatever the size is.
func TestLargestBodyFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		largest := rapid.Int64Range(1, 1<<30).Draw(t, "largest")
		b := NewBudget(1, largest, time.Now)
		s := b.Open()
		for taken := int64(0); taken < largest; {
			n := min(rapid.Int64Range(1, largest).Draw(t, "block"), largest-taken)
			if !s.Take(n) {
				t.Fatalf("no room for %d bytes after %d of %d", n, taken, largest)
			}
			taken += n
		}
	})
}

// TestStalledTransferGivesWay guards against clients that stop in the middle and lock out all others: the
// transfer that has stalled for the longest time is evicted, one that progresses is not.
func TestStalledTransferGivesWay(t *testing.T) {
	is := is.New(t)
	c := newClock()
	b := NewBudget(800, 0, c.now)
	var evicted []string
	open := func(name string, n int64) *Account {
		s := b.Open()
		s.Unpin(func() { evicted = append(evicted, name) })
		is.True(s.Take(n))
		return s
	}
	open("first", 200)
	c.at = c.at.Add(stalledAfter / 2)
	progressing := open("progressing", 100)
	open("second", 400)
	newcomer := b.Open()
	is.True(!newcomer.Take(200)) // none has stalled yet
	c.at = c.at.Add(stalledAfter / 2)
	is.True(progressing.Take(1))
	is.True(newcomer.Take(200))
	is.Equal(evicted, []string{"first"})
	c.at = c.at.Add(stalledAfter / 2)
	is.True(newcomer.Take(200))
	is.Equal(evicted, []string{"first", "second"})
	is.Equal(b.Evicted(), int64(2))
}

// TestLongBodiesLeaveRoomForSmallOnes guards against a few long bodies in flight that lock out all
// requests with a body.
func TestLongBodiesLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1<<20, 0, time.Now)
	long := b.Open()
	for long.Take(64 << 10) {
	}
	for range (1 << 20) / smallDivisor / SmallBytes {
		small := b.Open()
		is.True(small.Take(SmallBytes))
	}
	is.Equal(b.Used(), int64(1<<20))
}

// TestReservedMemoryIsCountedOnce guards against a body whose memory is taken in advance and again as it
// arrives.
func TestReservedMemoryIsCountedOnce(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1<<20, 0, time.Now)
	s := b.Open()
	is.True(s.Reserve(100_000))
	is.True(s.Take(60_000))
	is.True(s.Take(50_000))
	is.Equal(b.Used(), int64(110_000))
	s.Close()
	s.Close()
	is.Equal(b.Used(), int64(0))
	is.True(!b.Open().Reserve(1 << 20)) // the part for small bodies stays free
	is.Equal(b.Used(), int64(0))
}
