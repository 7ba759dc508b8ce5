package system

import (
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
)

const (
	// probeTime is how long a connection of the safety net stays open.
	probeTime = 5 * time.Second
	// seedRetry is the interval of attempts to find any daemon at all.
	seedRetry = time.Second
	// findFirst is when, after the first connection, the log is asked for
	// addresses again: those who started at the same time have left theirs.
	findFirst = 2 * time.Second
	// settleGraces is how many grace times after its start a daemon looks for
	// seeds that nobody knows of. While all start at once, the seeds are busy.
	settleGraces = 2
	// findLast is the longest interval at which the log is asked for
	// addresses while other daemons are known.
	findLast = 5 * time.Minute
	// seedsAtOnce bounds the seeds dialed in one attempt.
	seedsAtOnce = 3
)

// probe compares states with a random daemon now and then, so that a tree
// that has come apart still converges. Lapsed members and seeds are probed
// too: that is how two halves find each other again.
func probe(w *table.World, now time.Time, out *Outbox) {
	if now.Before(w.NextProbe) {
		return
	}
	half := int64(w.Params.Probe / 2)
	w.NextProbe = now.Add(time.Duration(half + w.Rand.Int64N(2*half+1)))
	addrs := slices.Clone(w.Seeds)
	for _, id := range sortedKeys(w.Members) {
		if w.LinkTo(id) == nil && !w.Members[id].Leaving {
			addrs = append(addrs, w.Members[id].Peer)
		}
	}
	addrs = slices.DeleteFunc(addrs, func(a string) bool { return a == w.Self.Peer })
	if len(addrs) > 0 {
		dial(w, addrs[w.Rand.IntN(len(addrs))], true, out)
	}
}

// seek looks for other daemons through the seeds of the settings and of the
// log: for any at all while there is none, and for those that nobody it knows
// knows of. After a start of everything at once, daemons that found only each
// other would else stay apart until a probe happens to join them.
func seek(w *table.World, now time.Time, out *Outbox) {
	if now.Before(w.NextSeed) {
		return
	}
	w.NextSeed = now.Add(seedRetry/2 + time.Duration(w.Rand.Int64N(int64(seedRetry))))
	findSeeds(w, now, out)
	if len(w.Links) > 0 {
		if now.Sub(w.Started) >= settleGraces*w.Params.Grace {
			meetSeed(w, now, out)
		}
		return
	}
	dialed := 0
	for _, i := range w.Rand.Perm(len(w.Seeds)) {
		addr := w.Seeds[i]
		if addr == w.Self.Peer || !w.Reachable(addr, now) {
			continue
		}
		dial(w, addr, false, out)
		dialed++
		if dialed == seedsAtOnce {
			return
		}
	}
}

// findSeeds asks the log for addresses: at every attempt until it gave some,
// then, if it is a root, at growing intervals, since others start later. So
// however long a start of everything takes, each daemon asks a few times.
func findSeeds(w *table.World, now time.Time, out *Outbox) {
	if now.Before(w.NextFind) {
		return
	}
	if len(w.Seeds) > 0 && now.Sub(w.Started) < seedRetry {
		return // the settings' seeds first: at a start of everything they are enough
	}
	if len(w.Links) > 0 && w.MembersTree.Rank >= w.Params.Roots {
		return // however many islands there are, each has a root that looks for others
	}
	out.FindSeeds = len(w.Links) == 0 || w.FindEvery > 0
	if !w.SeedsFound && len(w.Links) == 0 {
		return
	}
	w.FindEvery = min(max(2*w.FindEvery, findFirst), findLast)
	w.NextFind = now.Add(w.FindEvery/2 + time.Duration(w.Rand.Int64N(int64(w.FindEvery))))
}

// meetSeed compares states with one seed that is no member known here.
func meetSeed(w *table.World, now time.Time, out *Outbox) {
	known := map[string]bool{w.Self.Peer: true}
	for _, row := range w.Members {
		if !row.Lapsed {
			known[row.Peer] = true
		}
	}
	for _, i := range w.Rand.Perm(len(w.Seeds)) {
		if addr := w.Seeds[i]; !known[addr] && w.Reachable(addr, now) {
			dial(w, addr, true, out)
			return
		}
	}
}

// addSeeds takes in addresses. A daemon that knows nobody dials them at once:
// until it has met somebody it refuses every call.
func addSeeds(w *table.World, now time.Time, addrs []string) {
	if len(addrs) > 0 && !w.SeedsFound {
		w.SeedsFound = true
		if len(w.Links) == 0 {
			w.NextSeed = now
		}
	}
	for _, a := range addrs {
		if a != w.Self.Peer && !slices.Contains(w.Seeds, a) {
			w.Seeds = append(w.Seeds, a)
		}
	}
}
