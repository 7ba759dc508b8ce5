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

// kind is a kind of fault.
type kind string

// The kinds. The first ones strike a VM's daemon, the next its connections with
// other daemons, then upstreams, the store and the configuration.
const (
	kill      kind = "kill"      // SIGKILL, started again at the end
	stop      kind = "stop"      // SIGTERM, started again at the end
	freeze    kind = "freeze"    // SIGSTOP, SIGCONT at the end
	reset     kind = "reset"     // connections broken once
	silence   kind = "silence"   // open connections silent for good
	slow      kind = "slow"      // each chunk is delayed
	oneWay    kind = "one-way"   // nothing comes back
	isolate   kind = "isolate"   // nothing passes between its domain and others
	crash     kind = "crash"     // an upstream dies, another comes at the end
	leave     kind = "leave"     // an upstream says that it leaves, and goes
	storeDown kind = "store"     // every call to the store fails
	storeSlow kind = "storeSlow" // every call to the store takes longer
	storeLose kind = "storeLose" // answers to the next appends are lost
	storeAway kind = "storeAway" // a domain cannot reach the store
	change    kind = "change"    // changes of the configuration, in quick succession
)

var kinds = []kind{
	kill, stop, freeze, reset, silence, slow, oneWay, isolate, crash, leave,
	storeDown, storeSlow, storeLose, storeAway, change,
}

// event is one fault. VM is the index of the VM that it strikes.
type event struct {
	Kind  kind
	VM    int
	At    time.Duration
	Until time.Duration
}

// String describes the event as logs and plots show it.
func (e event) String() string {
	return fmt.Sprintf("%s vm%d %.1f-%.1fs", e.Kind, e.VM, e.At.Seconds(), e.Until.Seconds())
}

const (
	// quietStart lets the load run before the first fault; quietEnd is what is
	// left for the system to come back while calls go on.
	quietStart = time.Second
	quietEnd   = time.Second
	// shortest and longest bound a fault's time: from less than what the
	// daemons of the soak take to notice (1 s of silence) to well over it.
	shortest = 100 * time.Millisecond
	longest  = 3 * time.Second
	// perSecond is how many faults begin in a second, so that some overlap.
	perSecond = 0.8
)

// newPlan returns the faults of a seed, by their beginning.
func newPlan(seed uint64, vms int, length time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, seed))
	span := length - quietStart - quietEnd
	events := make([]event, int(span.Seconds()*perSecond))
	for i := range events {
		at := quietStart + time.Duration(rng.Int64N(int64(span)))
		lasts := shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
		events[i] = event{
			Kind: kinds[rng.IntN(len(kinds))], VM: rng.IntN(vms), At: at, Until: min(at+lasts, length-quietEnd),
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.At - b.At) })
	return events
}
