package main

import (
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/rollout"
)

// TestRolloutFirstSeenAsRevertedIsHandled guards against a panic of the dev mode: a rollout that
// ends between two reads is first seen as reverted, and no upstream of its target version runs.
func TestRolloutFirstSeenAsRevertedIsHandled(t *testing.T) {
	f := &devFleet{running: map[upstreamKey]*devUpstream{}, finished: map[uint64]bool{}}
	f.reconcile(rollout.Record{Order: rollout.Order{ID: 1, Service: devVMs[0].service, Target: "2.0"}, Phase: rollout.Reverted})
	time.Sleep(devStopDelay + 100*time.Millisecond) // upstreams are stopped after devStopDelay
	if len(f.running) != 0 {
		t.Errorf("%d upstreams are running, want none", len(f.running))
	}
}
