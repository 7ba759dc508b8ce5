// Package soak runs the system as real processes, injects random faults from outside them,
// in sequence and overlapping, and checks what callers and upstreams observed against the
// guarantees of comfreygate. A seed determines the faults and their times.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

type faultKind string

// The kinds of faults: of a VM's daemon, of its connections with other daemons, of
// upstreams, of the store, and changes of the configuration.
const (
	kill             faultKind = "kill"      // SIGKILL, restarted at the end
	stop             faultKind = "stop"      // SIGTERM, restarted at the end
	freeze           faultKind = "freeze"    // SIGSTOP, SIGCONT at the end
	reset            faultKind = "reset"     // open connections are closed
	silence          faultKind = "silence"   // open connections stay open, but carry no more bytes
	slow             faultKind = "slow"      // each chunk is delayed
	oneWay           faultKind = "one-way"   // the daemon's replies to other daemons are lost
	isolate          faultKind = "isolate"   // its failure domain is partitioned from the others
	crash            faultKind = "crash"     // an upstream is killed, another one starts at the end
	leave            faultKind = "leave"     // an upstream deregisters and exits, another one starts at the end
	storeDown        faultKind = "store"     // every call to the store fails
	storeSlow        faultKind = "storeSlow" // every call to the store is delayed
	storeLoseAnswers faultKind = "storeLose" // answers to the next appends are lost
	storeUnreachable faultKind = "storeAway" // its failure domain is partitioned from the store
	change           faultKind = "change"    // a burst of configuration changes
)

var faultKinds = []faultKind{
	kill, stop, freeze, reset, silence, slow, oneWay, isolate, crash, leave,
	storeDown, storeSlow, storeLoseAnswers, storeUnreachable, change,
}

// faultEvent is one planned fault. VM is the index of the affected VM; At and Until are
// relative to the start of the run.
type faultEvent struct {
	Kind  faultKind
	VM    int
	At    time.Duration
	Until time.Duration
}

// String formats the event for logs and plots.
func (e faultEvent) String() string {
	return fmt.Sprintf("%s vm%d %.1f-%.1fs", e.Kind, e.VM, e.At.Seconds(), e.Until.Seconds())
}

const (
	// faultFreeStart lets the load run before the first fault. faultFreeEnd is the time
	// in which the system recovers while the load continues.
	faultFreeStart = time.Second
	faultFreeEnd   = time.Second
	// minFaultDuration and maxFaultDuration bound how long a fault lasts: from less than
	// the daemons of the soak take to detect it (1 s of silence) to well over that.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// faultsPerSecond is how many faults begin in a second on average. With it some
	// faults overlap.
	faultsPerSecond = 0.8
)

// newPlan returns the faults of a seed, sorted by their start.
func newPlan(seed uint64, vms int, length time.Duration) []faultEvent {
	rng := rand.New(rand.NewPCG(seed, seed))
	span := length - faultFreeStart - faultFreeEnd
	events := make([]faultEvent, int(span.Seconds()*faultsPerSecond))
	for i := range events {
		at := faultFreeStart + time.Duration(rng.Int64N(int64(span)))
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		events[i] = faultEvent{
			Kind: faultKinds[rng.IntN(len(faultKinds))], VM: rng.IntN(vms), At: at, Until: min(at+duration, length-faultFreeEnd),
		}
	}
	slices.SortStableFunc(events, func(a, b faultEvent) int { return int(a.At - b.At) })
	return events
}
