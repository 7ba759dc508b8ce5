package system

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
)

const (
	// probeDuration is how long a probe connection stays open.
	probeDuration = 5 * time.Second
	// seedRetry is the mean interval of attempts to find other daemons.
	seedRetry = time.Second
	// minFindInterval is the initial interval at which the log is read again for addresses,
	// after the first connection. Daemons that started at the same time have published
	// their addresses by then.
	minFindInterval = 2 * time.Second
	// probeAfterGraces is the number of grace times after its start that a daemon waits
	// before it probes seeds that it does not know as members. While the whole fleet
	// starts, the seeds are busy.
	probeAfterGraces = 2
	// maxFindInterval bounds the interval at which the log is read for addresses while
	// other daemons are known.
	maxFindInterval = 5 * time.Minute
	// maxSeedDials bounds the seeds dialed in one attempt.
	maxSeedDials = 3
	// maxOwnSeedDials bounds the seeds of its own failure domain that a daemon dials in one attempt.
	// Two connections per daemon are enough to connect all daemons of a domain that starts; with
	// a third one, every record is only sent once more.
	maxOwnSeedDials = 2
)

// probe compares states with a random daemon from time to time, so that daemons converge
// even if the tree has split. Lapsed members and seeds are probed too, which is how the
// two sides of a partition find each other again.
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

// findPeers looks for other daemons through the seeds from the settings and the log: for
// any daemon while there is no connection, and afterwards for seeds that are not known as
// members. Otherwise, after a start of the whole fleet, groups of daemons that found only
// each other would stay separate until a probe happens to join them.
func findPeers(w *table.World, now time.Time, out *Outbox) {
	if now.Before(w.NextSeed) {
		if ownSeedsFailed(w) {
			dialSeeds(w, now, true, out)
		}
		return
	}
	w.NextSeed = now.Add(seedRetry/2 + time.Duration(w.Rand.Int64N(int64(seedRetry))))
	findSeeds(w, now, out)
	if len(w.Links) > 0 {
		w.OwnSeedsDialed = false
		if now.Sub(w.Started) >= probeAfterGraces*w.Params.Grace {
			probeSeed(w, now, out)
		}
		return
	}
	dialSeeds(w, now, !w.OwnSeedsDialed, out)
	if w.OwnSeedsDialed {
		w.NextSeed = now.Add(seedRetry / 2)
	}
}

// dialSeeds dials seeds on a daemon without connections: those of its own failure domain if ownOnly
// is set and some of them may be dialed, otherwise one of its own domain and others of other or
// unknown domains. Until the daemon is connected in its own domain, all records that it receives and
// sends cross between domains.
func dialSeeds(w *table.World, now time.Time, ownOnly bool, out *Outbox) {
	var own, others []string
	for _, i := range w.Rand.Perm(len(w.Seeds)) {
		addr := w.Seeds[i]
		switch {
		case addr == w.Self.Peer || !w.Reachable(addr, now):
		case w.SeedDomains[addr] == w.Self.Domain:
			own = append(own, addr)
		default:
			others = append(others, addr)
		}
	}
	w.OwnSeedsDialed = ownOnly && len(own) > 0
	addrs := own[:min(maxOwnSeedDials, len(own))]
	if !w.OwnSeedsDialed {
		addrs = append(own[:min(1, len(own))], others...)
		addrs = addrs[:min(maxSeedDials, len(addrs))]
	}
	for _, addr := range addrs {
		dial(w, addr, false, out)
	}
}

// ownSeedsFailed reports whether this daemon has dialed seeds of its own failure domain, and none
// of them answered.
func ownSeedsFailed(w *table.World) bool {
	return w.OwnSeedsDialed && len(w.Links) == 0 && !slices.ContainsFunc(w.Seeds, w.Dialing)
}

// findSeeds reads addresses from the log: at every attempt until some were found, and
// then, on a root, at growing intervals, since other daemons may start later. Each daemon
// thus reads only a few times, however long a start of the whole fleet takes.
func findSeeds(w *table.World, now time.Time, out *Outbox) {
	if now.Before(w.NextFind) {
		return
	}
	if len(w.Seeds) > 0 && now.Sub(w.Started) < seedRetry {
		return // the seeds from the settings come first: at a start of the whole fleet they suffice
	}
	if len(w.Links) > 0 && w.MembersTree.Rank >= w.Params.Roots {
		return // each partition has a root that looks for the others
	}
	if len(w.Links) > 0 && !isSettled(w, now) {
		return // the peers of this partition send the members that they know first
	}
	out.FindSeeds = len(w.Links) == 0 || w.FindEvery > 0
	if !w.SeedsFound && len(w.Links) == 0 {
		return
	}
	w.FindEvery = min(max(2*w.FindEvery, minFindInterval), maxFindInterval)
	w.NextFind = now.Add(w.FindEvery/2 + time.Duration(w.Rand.Int64N(int64(w.FindEvery))))
}

// probeSeed compares states with one seed that is not known here as a live member.
func probeSeed(w *table.World, now time.Time, out *Outbox) {
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

// addSeeds adds addresses to the seeds and records their failure domains where known. A daemon
// without connections dials as soon as it has its first addresses: it refuses all calls until it has
// met a peer.
func addSeeds(w *table.World, now time.Time, addrs []string, domains map[string]string) {
	maps.Copy(w.SeedDomains, domains)
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
