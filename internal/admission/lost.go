package admission

import (
	"slices"
	"time"
)

const (
	// lostReportCount is how many consecutive answers must report that the upstream runs
	// fewer attempts than are in flight to it: an attempt that is still on its way to the
	// upstream is not lost.
	lostReportCount = 4
	// lostReportMaxAge is how long these reports are valid.
	lostReportMaxAge = time.Second
	// maxLostFactor bounds the estimate as a multiple of the slots, so that an upstream
	// that reports wrong counts gets no more attempts than it takes into its own queue.
	maxLostFactor = 2
)

// lostAnswers estimates how many attempts in flight the upstream has finished although
// their answers never arrived, as on connections that fail silently. Without it, each
// would hold its slot until its deadline, and the upstream would be half idle. Guarded by
// the mutex of the owning Gate.
type lostAnswers struct {
	reports      [lostReportCount]int
	next         int
	lastReportAt time.Time
}

// record adds a report: excess is the number of attempts in flight minus those that the
// upstream says it is running.
func (l *lostAnswers) record(now time.Time, excess int) {
	l.reports[l.next] = excess
	l.next = (l.next + 1) % lostReportCount
	l.lastReportAt = now
}

// count returns how many attempts in flight hold no slot at the upstream: the lowest
// number in the last reports.
func (l *lostAnswers) count(now time.Time) int {
	if now.Sub(l.lastReportAt) >= lostReportMaxAge {
		return 0
	}
	return max(0, slices.Min(l.reports[:]))
}
