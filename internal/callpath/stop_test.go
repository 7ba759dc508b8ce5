package callpath

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
)

// TestFinishTellsThoseWhoWaitThatNothingRan ends a daemon's calls while one runs
// and one waits for the slot: what waits has not run and must be told so, not
// cut; what runs cannot be known.
func TestFinishTellsThoseWhoWaitThatNothingRan(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, 5*time.Second)
	outcomes := make(chan string, 2)
	for range 2 {
		go func() { outcomes <- r.send(config.Normal).outcome }()
	}
	w := r.workers[0]
	for w.owner.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	r.ingress.Finish()
	got := map[string]int{<-outcomes: 1}
	got[<-outcomes]++
	is.Equal(got, map[string]int{string(NotRun): 1, string(Unknown): 1})
	is.True(time.Since(began) < time.Second)
	is.Equal(w.runs.Load(), int64(1))
}

// TestLateCallsToAStoppingDaemonAreRefused sends a call when the process could
// no longer be sure to answer it.
func TestLateCallsToAStoppingDaemonAreRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, time.Millisecond)
	r.ingress.Refuse()
	s := r.send(config.Normal)
	is.Equal(s.outcome, string(NotRun))
	is.Equal(s.after, "2000")
	is.Equal(r.workers[0].runs.Load(), int64(0))
}
