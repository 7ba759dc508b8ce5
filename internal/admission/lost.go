package admission

import (
	"slices"
	"time"
)

const (
	// lostReports is how many answers in a row must say that the upstream has fewer
	// attempts than were sent to it: one that is on its way is not lost.
	lostReports = 4
	// lostFresh is how long what they said is believed.
	lostFresh = time.Second
	// lostMost bounds what is believed, as a multiple of the slots: an upstream
	// that misleads gets no more than it takes into its own queue.
	lostMost = 2
)

// lostAnswers estimates how many attempts in flight the upstream is done with, though
// their answers never came: connections that went silent. Each would else keep its
// slot until its deadline, and the upstream would stand half idle. A gate's mutex guards
// it.
type lostAnswers struct {
	reports [lostReports]int
	next    int
	at      time.Time
}

// note takes in by how much the attempts in flight exceed those that the upstream
// says it has.
func (l *lostAnswers) note(now time.Time, excess int) {
	l.reports[l.next] = excess
	l.next = (l.next + 1) % lostReports
	l.at = now
}

// count returns how many attempts hold no slot at the upstream: no more than any of
// the last reports said.
func (l *lostAnswers) count(now time.Time) int {
	if now.Sub(l.at) >= lostFresh {
		return 0
	}
	return max(0, slices.Min(l.reports[:]))
}
