package agent_test

import (
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
)

// restartedDaemons is the number of daemons that restart simultaneously.
const restartedDaemons = 120

// changesBeforeRestart is larger than the history of records that daemons keep for their peers,
// so that restarted daemons need snapshots.
const changesBeforeRestart = 1200

// TestSimultaneousRestart kills and restarts 120 daemons at once. It guards against a load
// spike on the log: all daemons must have the version in force again in time, while reads of
// and appends to the log stay bounded.
func TestSimultaneousRestart(t *testing.T) {
	f := startFleet(t, restartedDaemons, nil)
	version := f.publishMany(changesBeforeRestart)
	f.converged(version)
	before := f.log.Counts()
	began := time.Now()
	f.restart()
	f.await("version in force", func(w *table.World) bool { return w.Self.Heartbeat.Applied >= version })
	inForce := time.Since(began)
	f.awaitMembers()
	known := time.Since(began)
	after := f.log.Counts()
	reads, appends := after.Reads-before.Reads, after.Appends-before.Appends
	_, maxHellos := f.counters("control.sent.hello")
	snapshots, maxSnapshots := f.counters("control.sent.snapshot")
	busy, _ := f.counters("control.sent.busy")
	_, bytes := f.counters("control.bytes_out")
	t.Logf("in force on all daemons after %v, all members known after %v; log: %d reads, %d appends; snapshots %d (at most %d by one daemon), refusals %d; at most %d hellos and %d bytes sent by one daemon",
		inForce.Round(time.Millisecond), known.Round(time.Millisecond), reads, appends, snapshots, maxSnapshots, busy, maxHellos, bytes)
	if inForce > 15*time.Second {
		t.Errorf("version in force on all daemons after %v, want at most 15s", inForce)
	}
	// Only the two roots of each of the seven failure domains poll. The others do not read the
	// log, or read it once while they look for a parent.
	if reads > 5*restartedDaemons {
		t.Errorf("%d reads of the log, want at most 5 per daemon", reads)
	}
	if appends > 3*restartedDaemons {
		t.Errorf("%d appends to the log, want at most 3 per daemon", appends)
	}
}
