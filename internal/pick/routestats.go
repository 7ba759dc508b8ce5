package pick

import (
	"slices"
	"time"
)

const (
	// headerBytes is the size of a call's headers on the way to another VM and back,
	// without its bodies.
	headerBytes = 900
	// CompressedHeaderBytes is the size of a call's headers both ways if the call is compressed.
	CompressedHeaderBytes = 240
	// routeWeight is the weight of the newest answer in a route's means.
	routeWeight = 0.1
	// initialAnswerBytes is the assumed size of an answer before the first one.
	initialAnswerBytes = 2000
	// maxTimeGivenDecay is how fast the longest time that callers of a route allow decays:
	// with each call that is allowed less time, by this fraction of the difference.
	maxTimeGivenDecay = 0.01
	// maxTimeGivenFactor bounds that longest time as a multiple of the route's timeout,
	// so that a caller with an unlimited deadline does not make all others look late.
	maxTimeGivenFactor = 3
	// timeGivenSamples is the number of recent calls of a route from which the time that
	// callers usually allow is determined.
	timeGivenSamples = 32
	// usualTimeGivenRank is the index of the usual time among these samples, the shortest
	// first. Up to three quarters of the calls may be retries, which are allowed less, and a
	// few callers may allow much more than all others.
	usualTimeGivenRank = timeGivenSamples * 3 / 4
	// timeGivenSpread is the fraction of the usual time by which the times of callers that have
	// not waited differ.
	timeGivenSpread = 0.2
	// maxRoutes bounds the number of routes whose means are kept.
	maxRoutes = 10_000
)

// routeStats holds means over the answers to a route's calls.
type routeStats struct {
	answerBytes float64
	took        float64
	// maxTimeGiven is the longest time that a caller recently allowed for a call.
	maxTimeGiven float64
	// timesGiven holds the times that callers allowed for the most recent calls, that of
	// call n at index n modulo its length.
	timesGiven [timeGivenSamples]time.Duration
	// calls counts all calls of the route.
	calls int
	// measured is set once an answer has set answerBytes and took.
	measured bool
}

// routeTable holds the means by route. Guarded by the mutex of the owning Picker.
type routeTable map[string]*routeStats

// get returns the means of a route.
func (t routeTable) get(route string) *routeStats {
	r := t[route]
	if r == nil {
		if len(t) >= maxRoutes {
			clear(t)
		}
		r = &routeStats{}
		t[route] = r
	}
	return r
}

// record records the size and the duration of one answer.
func (t routeTable) record(route string, size int, took time.Duration) {
	r := t.get(route)
	if !r.measured {
		r.answerBytes, r.took, r.measured = float64(size), float64(took), true
		return
	}
	r.answerBytes += routeWeight * (float64(size) - r.answerBytes)
	r.took += routeWeight * (float64(took) - r.took)
}

// waited returns how long a caller has waited already if all callers of the route allow the
// same time for a call, and less when they retry it.
func (t routeTable) waited(route string, left, timeout time.Duration) time.Duration {
	r := t.get(route)
	timeGiven := float64(min(left, maxTimeGivenFactor*timeout))
	if timeGiven >= r.maxTimeGiven {
		r.maxTimeGiven = timeGiven
		return 0
	}
	waited := r.maxTimeGiven - timeGiven
	r.maxTimeGiven -= maxTimeGivenDecay * waited
	return time.Duration(waited)
}

// waitedBeyondSpread returns how long a caller has probably waited already if callers of the
// route allow different times for a call, and less when they retry it.
func (t routeTable) waitedBeyondSpread(route string, left time.Duration) time.Duration {
	r := t.get(route)
	r.timesGiven[r.calls%timeGivenSamples] = left
	r.calls++
	usual := r.usualTimeGiven()
	waited := usual - left
	if float64(waited) <= timeGivenSpread*float64(usual) {
		return 0
	}
	return waited
}

// usualTimeGiven returns the time that callers who have not waited usually allow.
func (r *routeStats) usualTimeGiven() time.Duration {
	sorted := r.timesGiven
	n := min(r.calls, timeGivenSamples)
	slices.Sort(sorted[:n])
	return sorted[n*usualTimeGivenRank/timeGivenSamples]
}

// expect returns how many bytes a call of the route with this body moves, and how long it
// takes; before the first answer, the duration is a quarter of its objective.
func (t routeTable) expect(route string, body int, objective time.Duration) (bytes int, took time.Duration) {
	r := t[route]
	if r == nil || !r.measured {
		return headerBytes + body + initialAnswerBytes, objective / 4
	}
	return headerBytes + body + int(r.answerBytes), time.Duration(r.took)
}

// Expect returns how many bytes a call of the route with this body moves, and how long it
// takes.
func (p *Picker) Expect(route string, body int, objective time.Duration) (bytes int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routes.expect(route, body, objective)
}

// ExpectAnswer returns how many bytes the answer to a call of the route usually has; zero:
// none was recorded yet.
func (p *Picker) ExpectAnswer(route string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routes[route]; r != nil {
		return int(r.answerBytes)
	}
	return 0
}

// RecordAnswer records the size and the duration of an answer to a route's call.
func (p *Picker) RecordAnswer(route string, size int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes.record(route, size, took)
}

// EstimatedWait returns how long a caller with the given time left has waited already,
// compared with the caller that allows the longest time.
func (p *Picker) EstimatedWait(route string, left, timeout time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routes.waited(route, left, timeout)
}

// EstimatedWaitBeyondSpread returns how long a caller with the given time left has waited
// already, compared with the time that callers usually allow. Unlike with EstimatedWait, a
// few patient callers do not make all others look late.
func (p *Picker) EstimatedWaitBeyondSpread(route string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routes.waitedBeyondSpread(route, left)
}
