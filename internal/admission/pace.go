package admission

import "time"

const (
	// paceMaxAge is how long a reported pace is valid.
	paceMaxAge = time.Second
	// maxPaceReports is the number of reports that are kept, and minPaceInterval the least time
	// between a report and the next but one. Together they cover the duration of most runs.
	maxPaceReports  = 32
	minPaceInterval = 20 * time.Millisecond
)

// paceReport is a reported pace: how long work takes at the upstream, as a multiple of the usual
// time.
type paceReport struct {
	pace float64
	at   time.Time
}

// paceHistory holds the latest paces that an upstream reported, the newest last. Nil: it never
// reported one. Guarded by the mutex of the owning Gate.
type paceHistory struct {
	reports [maxPaceReports]paceReport
	n       int
}

// record adds a report. It replaces the previous one if less than minPaceInterval has passed since
// the one before that, so that the history spans a minimum of time however often the upstream
// answers.
func (h *paceHistory) record(now time.Time, pace float64) {
	if h.n >= 2 && now.Sub(h.reports[h.n-2].at) < minPaceInterval {
		h.n--
	}
	if h.n == maxPaceReports {
		copy(h.reports[:], h.reports[1:])
		h.n--
	}
	h.reports[h.n] = paceReport{pace: pace, at: now}
	h.n++
}

// current returns the latest pace, or 1 if there is none that is valid.
func (h *paceHistory) current(now time.Time) float64 {
	if h == nil || now.Sub(h.reports[h.n-1].at) >= paceMaxAge {
		return 1
	}
	return h.reports[h.n-1].pace
}

// usualTime returns how long a run that has just ended and took the given time would have taken at
// pace 1. Each part of the run is divided by the pace at that time: between two reports, the mean
// of both; before the first, that of the first; after the last, the current one. With the pace at
// the end of the run alone, a change during the run would be taken for a change of the work.
func (h *paceHistory) usualTime(now time.Time, took time.Duration) time.Duration {
	if h == nil {
		return took
	}
	began := now.Add(-took)
	usual, until, pace := 0.0, now, h.current(now)
	for i := h.n - 1; i >= 0 && until.After(began); i-- {
		r := h.reports[i]
		if i < h.n-1 {
			pace = meanPace(r, h.reports[i+1])
		}
		from := r.at
		if from.Before(began) {
			from = began
		}
		usual += float64(until.Sub(from)) / pace
		until, pace = from, r.pace
	}
	if until.After(began) {
		usual += float64(until.Sub(began)) / pace
	}
	return time.Duration(usual)
}

// meanPace returns the pace between two successive reports: the mean of both, or that of the
// second if the first had expired by then.
func meanPace(first, second paceReport) float64 {
	if second.at.Sub(first.at) >= paceMaxAge {
		return second.pace
	}
	return (first.pace + second.pace) / 2
}

// RecordPace records the pace that the upstream reports: how long work takes there at this moment,
// as a multiple of the usual time.
func (g *Gate) RecordPace(pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace == nil {
		g.pace = &paceHistory{}
	}
	g.pace.record(g.now(), pace)
}

// serviceTime returns the expected service time at the current pace.
func (g *Gate) serviceTime() time.Duration { return g.atCurrentPace(g.meanService) }

// atCurrentPace returns how long work takes now that takes the given time at pace 1.
func (g *Gate) atCurrentPace(usual time.Duration) time.Duration {
	if g.pace == nil {
		return usual
	}
	return time.Duration(float64(usual) * g.pace.current(g.now()))
}
