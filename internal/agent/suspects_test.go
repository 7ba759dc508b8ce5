package agent_test

import (
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
)

// TestSuspectsReachAllDaemonsWithinMilliseconds records a crash under each of 16 requests on
// one of 93 daemons in seven failure domains, connected over real sockets, and measures when
// the last daemon learns of these suspects. Each copy of a poison request that
// arrives before then crashes another upstream; copies of an observed one arrived every
// 125 ms and ran for 50 ms each.
func TestSuspectsReachAllDaemonsWithinMilliseconds(t *testing.T) {
	const fleetSize, rounds, within = 93, 5, 50 * time.Millisecond
	f := startFleet(t, fleetSize, nil)
	f.converged(f.publish(0))
	time.Sleep(8 * time.Second) // until connections that were only used at the start are closed
	sent, _ := f.counters("control.sent_bytes.suspects")
	var took []time.Duration
	for round := range rounds {
		first := suspect.Digest(1 + 16*round)
		began := time.Now()
		f.agents[7*round+3].Inspect(func(w *table.World) {
			for d := range suspect.Digest(16) {
				w.Suspects.RecordCrash(first+d, 1)
			}
		})
		last := (first + 15).String()
		time.Sleep(500 * time.Millisecond) // polling the daemons would slow them down
		for _, a := range f.agents {
			for _, e := range a.Events().List() {
				if e.Kind == event.Suspected && e.Request == last {
					took = append(took, time.UnixMicro(e.Clock).Sub(began))
				}
			}
		}
	}
	if len(took) != rounds*fleetSize {
		t.Fatalf("%d daemons learned of the suspects, want %d", len(took), rounds*fleetSize)
	}
	after, _ := f.counters("control.sent_bytes.suspects")
	t.Logf("suspects known after %.1f ms (median), %.1f ms (last daemon); %d bytes per daemon and crash before compression",
		quantile(took, 0.5), quantile(took, 1), (after-sent)/rounds/fleetSize)
	if last := quantile(took, 1); last > float64(within.Milliseconds()) {
		t.Errorf("the last daemon learned of the suspects after %.1f ms, want at most 50 ms", last)
	}
}
