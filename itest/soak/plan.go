// Package soak runs the system as real processes, injects random faults from
// outside them, in series and overlapping, and holds what callers and upstreams
// saw against what comfreygate promises. A seed gives the faults and their times.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is a faultKind of fault.
type faultKind string

// The kinds. The first ones strike a VM's daemon, the next its connections with
// other daemons, then upstreams, the store and the configuration.
const (
	kill             faultKind = "kill"      // SIGKILL, started again at the end
	stop             faultKind = "stop"      // SIGTERM, started again at the end
	freeze           faultKind = "freeze"    // SIGSTOP, SIGCONT at the end
	reset            faultKind = "reset"     // connections broken once
	silence          faultKind = "silence"   // open connections silent for good
	slow             faultKind = "slow"      // each chunk is delayed
	oneWay           faultKind = "one-way"   // nothing comes back
	isolate          faultKind = "isolate"   // nothing passes between its domain and others
	crash            faultKind = "crash"     // an upstream dies, another comes at the end
	leave            faultKind = "leave"     // an upstream says that it leaves, and goes
	storeDown        faultKind = "store"     // every call to the store fails
	storeSlow        faultKind = "storeSlow" // every call to the store takes longer
	storeLoseAnswers faultKind = "storeLose" // answers to the next appends are lost
	storeUnreachable faultKind = "storeAway" // a domain cannot reach the store
	change           faultKind = "change"    // changes of the configuration, in quick succession
)

var faultKinds = []faultKind{
	kill, stop, freeze, reset, silence, slow, oneWay, isolate, crash, leave,
	storeDown, storeSlow, storeLoseAnswers, storeUnreachable, change,
}

// faultEvent is one fault. VM is the index of the VM that it strikes.
type faultEvent struct {
	Kind  faultKind
	VM    int
	At    time.Duration
	Until time.Duration
}

// String describes the event as logs and plots show it.
func (e faultEvent) String() string {
	return fmt.Sprintf("%s vm%d %.1f-%.1fs", e.Kind, e.VM, e.At.Seconds(), e.Until.Seconds())
}

const (
	// faultFreeStart lets the load run before the first fault; quietEnd is what is
	// left for the system to come back while calls go on.
	faultFreeStart = time.Second
	faultFreeEnd   = time.Second
	// minFaultDuration and longest bound a fault's time: from less than what the
	// daemons of the soak take to notice (1 s of silence) to well over it.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// faultsPerSecond is how many faults begin in a second, so that some overlap.
	faultsPerSecond = 0.8
)

// newPlan returns the faults of a seed, by their beginning.
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
