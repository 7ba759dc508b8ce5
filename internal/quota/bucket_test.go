package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bucketStep is what a bucket admitted at a time, less what was given back, and the refill since
// the step before.
type bucketStep struct {
	at               time.Duration
	admitted, refill float64
}

// TestBucketHoldsInEachWindow drives a bucket with arrivals, rates and give-backs at random. In
// each window it must admit at most its capacity and its refill, and it must never hold
// fewer tokens than a plain token bucket that sees the same calls: a workspace within its
// limit would otherwise have calls refused.
func TestBucketHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window, capacity = 5 * time.Second, 40.0
		now := time.Second
		b := newTokenBucket(now, window, capacity, capacity)
		plain := capacity
		var steps []bucketStep
		for range rapid.IntRange(20, 300).Draw(rt, "steps") {
			elapsed := time.Duration(rapid.SampledFrom([]int{1, 10, 40, 100, 700}).Draw(rt, "ms")) * time.Millisecond
			rate := rapid.SampledFrom([]float64{0, 5, 20, 50}).Draw(rt, "rate")
			now += elapsed
			b.refill(now, rate)
			plain = min(plain+rate*elapsed.Seconds(), capacity)
			s := bucketStep{at: now, refill: rate * elapsed.Seconds()}
			for range rapid.SampledFrom([]int{0, 1, 5, 60}).Draw(rt, "calls") {
				if plain >= 1 {
					plain--
				}
				if b.tokens() >= 1 {
					b.spend(1)
					s.admitted++
				}
			}
			givenBack := min(s.admitted, rapid.SampledFrom([]float64{0, 0, 1, 20}).Draw(rt, "given back"))
			b.spend(-givenBack)
			s.admitted -= givenBack
			plain = min(plain+givenBack, capacity)
			if b.tokens() < plain-1e-9-1 {
				rt.Fatalf("at %v: %.2f tokens, a plain bucket has %.2f", now, b.tokens(), plain)
			}
			steps = append(steps, s)
		}
		checkWindows(rt, steps, window, capacity)
	})
}

// checkWindows fails if more calls were admitted in a window than the capacity and the refill.
func checkWindows(rt *rapid.T, steps []bucketStep, window time.Duration, capacity float64) {
	for i := range steps {
		admitted, refill := steps[i].admitted, 0.0
		for _, s := range steps[i+1:] {
			if s.at-steps[i].at > window {
				break
			}
			admitted += s.admitted
			refill += s.refill
			if admitted > capacity+refill+1e-6 {
				rt.Fatalf("from %v to %v: %.0f calls, capacity and refill %.2f", steps[i].at, s.at, admitted, capacity+refill)
			}
		}
	}
}

// TestBucketPacesTheBurstOfASteadyExcess guards against a workspace that always sends more
// than its limit and gets the whole burst at once in each window: upstreams would be
// overloaded every few seconds.
func TestBucketPacesTheBurstOfASteadyExcess(t *testing.T) {
	const rate, capacity = 100.0, 100.0
	now := time.Second
	b := newTokenBucket(now, 5*time.Second, capacity, 0)
	total := 0
	for range 300 {
		now += 100 * time.Millisecond
		b.refill(now, rate)
		admitted := 0
		for b.tokens() >= 1 {
			b.spend(1)
			admitted++
		}
		total += admitted
		if admitted > 13 {
			t.Fatalf("at %v: %d calls in 100 ms at %.0f calls/s", now, admitted, rate)
		}
	}
	// Half of the burst of each window, as a constant fraction of the rate, would be 1.1.
	if want := 30 * 1.1 * rate; float64(total) < want {
		t.Errorf("%d calls in 30 s, want at least %.0f", total, want)
	}
}

// TestBucketWithoutWindowAllowsItsBurstOnce checks a limit without a window,
// and that the memory of its bucket does not grow.
func TestBucketWithoutWindowAllowsItsBurstOnce(t *testing.T) {
	now := time.Second
	b := newTokenBucket(now, 0, 50, 50)
	total := 0
	for range 1000 {
		now += 100 * time.Millisecond
		b.refill(now, 10)
		for b.tokens() >= 1 {
			b.spend(1)
			total++
		}
	}
	if total > 1050 || total < 1045 {
		t.Errorf("%d calls in 100 s, want 1050", total)
	}
	if len(b.lows) != 1 {
		t.Errorf("%d entries, want 1", len(b.lows))
	}
}

// TestLoweredCapacityDropsTokensOnly checks that a lowered limit does not count calls that
// the limit before allowed: a workspace would get none for as long as they exceed it.
func TestLoweredCapacityDropsTokensOnly(t *testing.T) {
	b := newTokenBucket(time.Second, 5*time.Second, 100, 100)
	b.spend(80)
	b.setCapacity(time.Second, 10)
	if b.tokens() != 10 {
		t.Errorf("%.1f tokens, want 10", b.tokens())
	}
	b.setCapacity(time.Second, 100)
	if b.tokens() != 10 {
		t.Errorf("%.1f tokens, want 10", b.tokens())
	}
}
