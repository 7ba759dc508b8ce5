package egress

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The load of the tests: responses of 90 KB on average over a link of 10 Mbit/s, and short
// responses that take a twentieth of it.
const (
	loadMbps       = 10.0
	linkBytes      = loadMbps * bitsPerMegabit / bitsPerByte
	meanBytes      = 90_000
	shortBytes     = 800
	shortLinkShare = 0.05
	loadService    = 150 * time.Millisecond
	loadObjective  = time.Second
	loadTimeout    = 4 * time.Second
	loadTime       = 60 * time.Second
)

// event is something that happens at a time of a simulation.
type event struct {
	at time.Time
	do func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is a VM that sends responses over its link in virtual time.
type simulation struct {
	*clock
	rng    *rand.Rand
	queue  *Queue
	events events
	// waiting are the responses that wait for their turn.
	waiting map[*booking]*sending
	// linkFreeAt is when the link has sent everything that was written to it.
	linkFreeAt time.Time
	// size returns the size of the next long response.
	size func(*rand.Rand) int
	// predicted is set if attempts are admitted by their expected size. Otherwise nobody
	// expects their responses to be long.
	predicted bool

	admitted, refused, inTime, inDeadline int
	carried                               int
	worstShort                            time.Duration
}

func newSimulation(size func(*rand.Rand) int, seed uint64) *simulation {
	c := newClock()
	return &simulation{clock: c, rng: rand.New(rand.NewPCG(seed, seed)), queue: New(loadMbps, c.now), size: size, predicted: true, waiting: map[*booking]*sending{}}
}

// after schedules an event.
func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.at.Add(max(0, d)), do})
}

// run offers the given multiple of the link's capacity for loadTime, and runs until the
// last response was sent.
func (s *simulation) run(offered float64) {
	end := s.at.Add(loadTime)
	s.arrivals(end, (offered-shortLinkShare)*linkBytes/meanBytes, s.long)
	s.arrivals(end, shortLinkShare*linkBytes/shortBytes, s.short)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.at = e.at
		e.do()
		s.wake()
	}
}

// arrivals calls do at random times until the end, as often per second as given.
func (s *simulation) arrivals(end time.Time, perSecond float64, do func()) {
	gap := time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
	if s.at.Add(gap).After(end) {
		return
	}
	s.after(gap, func() {
		do()
		s.arrivals(end, perSecond, do)
	})
}

// transmit writes bytes to the link and returns when they have arrived.
func (s *simulation) transmit(bytes int) time.Time {
	s.linkFreeAt = later(s.at, s.linkFreeAt).Add(time.Duration(float64(bytes) / linkBytes * float64(time.Second)))
	return s.linkFreeAt
}

// short sends a short response.
func (s *simulation) short() {
	s.queue.Account(shortBytes)
	s.worstShort = max(s.worstShort, s.transmit(shortBytes).Sub(s.at))
}

// long is an attempt with a long response.
func (s *simulation) long() {
	r := s.request(meanBytes, loadService, loadObjective, loadTimeout)
	var ticket Ticket
	if s.predicted {
		t, _, ok := s.queue.Admit(r)
		if !ok {
			s.refused++
			return
		}
		ticket = t
	}
	s.admitted++
	s.after(time.Duration(s.rng.ExpFloat64()*float64(loadService)), func() {
		bytes := s.size(s.rng)
		s.send(&sending{request: r, schedule: s.queue.Begin(ticket, bytes), bytes: bytes})
	})
}

// sending is a response that is being sent.
type sending struct {
	request  Request
	schedule Schedule
	bytes    int
	sent     int
	// wakes counts the calls of send, so that an outdated timer has no effect.
	wakes int
}

// send writes the parts of a response that may be sent, and waits for the next one. The
// receiver leaves at the deadline.
func (s *simulation) send(r *sending) {
	r.wakes++
	for r.sent < r.bytes && s.at.Before(r.request.Deadline) {
		if wait := r.schedule.At(r.sent).Sub(s.at); wait > 0 {
			s.wait(r, min(wait, r.request.Deadline.Sub(s.at)))
			return
		}
		n := min(r.schedule.ChunkBytes(), r.bytes-r.sent)
		arrived := s.transmit(n)
		if r.sent += n; r.sent == r.bytes {
			s.count(r.request, arrived, r.bytes)
		}
	}
	delete(s.waiting, r.schedule.b)
	r.schedule.Close(r.sent)
}

// wait continues a response after the given time, unless it is woken before.
func (s *simulation) wait(r *sending, d time.Duration) {
	s.waiting[r.schedule.b] = r
	wakes := r.wakes
	s.after(d, func() {
		if r.wakes == wakes {
			s.send(r)
		}
	})
}

// wake continues the responses whose turn has come earlier.
func (s *simulation) wake() {
	for _, b := range slices.Clone(s.queue.booked) {
		select {
		case <-b.moved:
			if r := s.waiting[b]; r != nil {
				s.send(r)
			}
		default:
		}
	}
}

// count counts a response that arrives at the given time.
func (s *simulation) count(r Request, arrived time.Time, bytes int) {
	s.carried += bytes
	if !arrived.After(r.Objective) {
		s.inTime++
	}
	if !arrived.After(r.Deadline) {
		s.inDeadline++
	}
}

// exponential returns exponentially distributed sizes with the mean meanBytes.
func exponential(rng *rand.Rand) int { return int(rng.ExpFloat64() * meanBytes) }

// logNormal returns log-normally distributed sizes with the mean meanBytes: one in a
// hundred is five times as long.
func logNormal(rng *rand.Rand) int {
	const sigma = 0.9
	return int(meanBytes * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

const (
	// wantInTime is the fraction of the admitted responses that must arrive within their
	// objective: as many as a single retry within the retry budget would make up for.
	wantInTime = 0.95
	// wantCarried is the fraction of the bytes that the link may carry, and that are
	// offered, which must arrive under overload.
	wantCarried = 0.9
	// maxShortDelay is the longest time that a short response may take: one part of a long
	// response that is being sent, and as much again for the short ones before it.
	maxShortDelay = 2 * time.Duration(minChunkBytes/linkBytes*float64(time.Second))
)

// loadSeeds is how many times each load is run: the fraction in time of one run of a
// minute varies by a hundredth.
const loadSeeds = 10

// tally sums up several runs of a load.
type tally struct {
	admitted, refused, inTime, inDeadline, carried int
	worstShort                                     time.Duration
}

// runLoad runs a load with several seeds.
func runLoad(t *testing.T, size func(*rand.Rand) int, offered float64, predicted bool) tally {
	var sum tally
	for seed := range uint64(loadSeeds) {
		s := newSimulation(size, seed)
		s.predicted = predicted
		s.run(offered)
		sum.admitted += s.admitted
		sum.refused += s.refused
		sum.inTime += s.inTime
		sum.inDeadline += s.inDeadline
		sum.carried += s.carried
		sum.worstShort = max(sum.worstShort, s.worstShort)
		if len(s.queue.expected) != 0 || len(s.queue.booked) != 0 {
			t.Errorf("%d reservations and %d bookings after the end", len(s.queue.expected), len(s.queue.booked))
		}
	}
	return sum
}

// carriedFraction returns the carried bytes as a fraction of those that are offered and
// that the link may carry.
func (a tally) carriedFraction(offered float64) float64 {
	possible := (min(offered, linkShare) - shortLinkShare) * linkBytes * loadTime.Seconds() * loadSeeds
	return float64(a.carried) / possible
}

// TestResponsesUnderLoad offers less than the link carries, and more. Without a schedule,
// responses fill the link: short ones wait behind them, and beyond its capacity all arrive
// after their callers have given up.
func TestResponsesUnderLoad(t *testing.T) {
	sizes := map[string]func(*rand.Rand) int{"exponential": exponential, "log-normal": logNormal}
	for name, size := range sizes {
		for _, offered := range []float64{0.8, 1.2, 1.6} {
			t.Run(fmt.Sprintf("%s/%.1f", name, offered), func(t *testing.T) {
				sum := runLoad(t, size, offered, true)
				inTime, carried := float64(sum.inTime)/float64(sum.admitted), sum.carriedFraction(offered)
				t.Logf("%d admitted, %d refused; %.3f in time; carried %.3f of what is possible; worst short response %v",
					sum.admitted, sum.refused, inTime, carried, sum.worstShort)
				if inTime < wantInTime {
					t.Errorf("%.3f of the admitted responses are in time, want at least %.3f", inTime, wantInTime)
				}
				if sum.inDeadline < sum.admitted {
					t.Errorf("%d of %d admitted responses arrive before their deadline, want all", sum.inDeadline, sum.admitted)
				}
				if offered > 1 && carried < wantCarried {
					t.Errorf("carried %.3f of what is possible, want at least %.3f", carried, wantCarried)
				}
				if sum.worstShort > maxShortDelay {
					t.Errorf("a short response took %v, want at most %v", sum.worstShort, maxShortDelay)
				}
			})
		}
	}
}

// TestUnexpectedLongResponsesDoNotStopTheLink offers too much without admission, as when
// the expected sizes are too small. Receivers leave while their responses wait; if those
// kept their time on the link, it would idle for it. At worst each response that is
// carried follows one that was given up while it was being sent.
func TestUnexpectedLongResponsesDoNotStopTheLink(t *testing.T) {
	const offered = 1.6
	sum := runLoad(t, exponential, offered, false)
	carried := sum.carriedFraction(offered)
	t.Logf("%d admitted, %d before the deadline; carried %.3f of what is possible; worst short response %v", sum.admitted, sum.inDeadline, carried, sum.worstShort)
	if carried < 0.5 {
		t.Errorf("carried %.3f of what is possible, want at least half", carried)
	}
	if sum.worstShort > maxShortDelay {
		t.Errorf("a short response took %v, want at most %v", sum.worstShort, maxShortDelay)
	}
}
