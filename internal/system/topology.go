package system

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

const (
	// maxParentCandidates is the number of members tried before a daemon without a parent
	// reads the log itself.
	maxParentCandidates = 6
	// unwantedGrace is how long a dialed connection that is no longer needed stays open,
	// so that brief differences between the daemons' tables of members do not close it.
	unwantedGrace = 5 * time.Second
	// minOrphanReadPause and maxOrphanReadPause bound the pause between the log reads of
	// a daemon that reads only because it has no parent.
	minOrphanReadPause = 500 * time.Millisecond
	maxOrphanReadPause = 8 * time.Second
)

// wideLinkMbps is the link capacity, in Mbit/s, from which on all links count as equal
// for control traffic: a reader sends the largest documents to all of its children within
// a second.
const wideLinkMbps = 50

// narrowness ranks a link: 0 for wide links, 1 for narrower ones, and one more each time
// that the capacity halves again. A relay on a narrow link takes as long to send each
// copy of a document as to read it, so daemons below it would receive changes too late.
func narrowness(m wire.Member) int {
	if m.LinkMbps == 0 || m.LinkMbps >= wideLinkMbps {
		return 0
	}
	return 1 + int(math.Log2(wideLinkMbps/m.LinkMbps))
}

// order returns the members of a failure domain, those with wide links first, and equal
// ones in rendezvous-hash order. The first ones read the log, the next ones relay, and
// those with the narrowest links are leaves. The order is the same on every daemon that
// knows the same members. Lapsed members are used only if no live one is left, so that
// failure domains find each other after a long partition.
func order(w *table.World, domain string) []wire.Member {
	return w.Order(domain, func() []wire.Member { return computeOrder(w, domain) })
}

func computeOrder(w *table.World, domain string) []wire.Member {
	var live, lapsed []wire.Member
	for _, row := range w.Members {
		switch {
		case row.Domain != domain || row.Leaving:
		case row.Lapsed:
			lapsed = append(lapsed, row.Member)
		default:
			live = append(live, row.Member)
		}
	}
	if domain == w.Self.Domain && !w.Self.Leaving {
		live = append(live, w.Self)
	}
	if len(live) == 0 {
		live = lapsed
	}
	return sortByRank(domain, live)
}

// rankKey is the sort key of a member within its failure domain.
type rankKey struct {
	narrowness int
	hash       uint64
	index      int
}

// sortByRank returns the members in the order that function order documents. It sorts keys
// instead of records: records are large, and this runs after every change to one.
func sortByRank(domain string, members []wire.Member) []wire.Member {
	keys := make([]rankKey, len(members))
	for i, m := range members {
		keys[i] = rankKey{narrowness(m), rankHash(domain, m.ID), i}
	}
	slices.SortFunc(keys, func(a, b rankKey) int {
		return cmp.Or(cmp.Compare(a.narrowness, b.narrowness), cmp.Compare(a.hash, b.hash), cmp.Compare(members[a.index].ID, members[b.index].ID))
	})
	list := make([]wire.Member, len(members))
	for i, key := range keys {
		list[i] = members[key.index]
	}
	return list
}

// runTopology computes this daemon's position in the distribution tree, and opens and
// closes connections to match. No daemon decides for another: daemons that know the same
// members compute the same tree, and with differing views they still end up connected,
// since a parent always ranks before its child.
func runTopology(w *table.World, now time.Time, out *Outbox) {
	w.RenewOrders(now, w.Params.Heartbeat/2)
	own := order(w, w.Self.Domain)
	rank := slices.IndexFunc(own, func(m wire.Member) bool { return m.ID == w.Self.ID })
	wanted := map[string]bool{}
	wasRoot, oldParent := w.MembersTree.Root, w.MembersTree.Parent
	if rank < 0 {
		rank = len(own) // this daemon is leaving: it stays connected to the tree as a leaf
	}
	w.MembersTree.Rank = rank
	parent, searchEnded := findParent(w, now, own, rank, wanted, out)
	w.MembersTree.Parent = parent
	updateOrphan(w, now)
	if searchEnded || orphaned(w, now) {
		w.MembersTree.Root = parent == "" || rank < w.Params.Roots
	}
	wasJoined := w.MembersTree.JoinedDomain
	w.MembersTree.JoinedDomain = wasJoined || connectedInDomain(w)
	if w.MembersTree.Root && !wasRoot || w.MembersTree.JoinedDomain && !wasJoined {
		w.MembersTree.RoleChangedAt = now
	}
	chooseCoordinators(w)
	if linksDomains(w, now) {
		connectDomains(w, now, rank, wanted, out)
	}
	dropUnwanted(w, now, wanted, out)
	probe(w, now, out)
	findPeers(w, now, out)
	out.ReadLog = w.MembersTree.Root && mayReadLog(w, now) && !unsettledWaits(w, now) && !orphanBacksOff(w, now, rank)
	out.ReadWithoutWait = !w.Log.CaughtUp
	out.ReadFrom = readFrom(w)
	out.ReadAfter = w.Log.ReadAfter
	out.ReadWait = documentReadWait(w)
	if parent != oldParent {
		out.event(event.Event{Kind: event.ParentChanged, Peer: parent})
	}
	if w.MembersTree.Root != wasRoot {
		out.event(event.Event{Kind: event.RootChanged, Detail: rootDetail(w.MembersTree.Root)})
	}
}

// chooseCoordinators records the first member of each failure domain as its limit
// coordinator, if the configuration has workspaces.
func chooseCoordinators(w *table.World) {
	if w.LimitCoordinators != nil || len(w.Config.State.Content.Workspaces) == 0 {
		return
	}
	w.LimitCoordinators = map[string]wire.Member{}
	for _, domain := range w.Domains() {
		if members := order(w, domain); len(members) > 0 {
			w.LimitCoordinators[domain] = members[0]
		}
	}
}

// updateOrphan records when this daemon began to search for a parent. The first member of a
// failure domain does not search.
func updateOrphan(w *table.World, now time.Time) {
	switch {
	case w.MembersTree.Parent != "" || w.MembersTree.Rank == 0:
		w.MembersTree.Orphan = time.Time{}
	case w.MembersTree.Orphan.IsZero():
		w.MembersTree.Orphan = now
	}
}

// orphaned reports whether the search for a parent has taken so long that this daemon
// should read the log meanwhile.
func orphaned(w *table.World, now time.Time) bool {
	return !w.MembersTree.Orphan.IsZero() && now.Sub(w.MembersTree.Orphan) >= w.Params.Heartbeat
}

// orphanBacksOff reports whether a daemon that reads the log only because it has no
// parent must wait before its next read. The pause grows, so that it reads only a few
// times however long the search takes. It receives from its next parent whatever it
// misses meanwhile.
func orphanBacksOff(w *table.World, now time.Time, rank int) bool {
	if rank < w.Params.Roots {
		w.Log.OrphanReadPause = 0
		return false
	}
	return w.Log.OrphanReadPause > 0 && now.Before(w.Log.OrphanReadAfter)
}

// backOffReads lengthens the pause between the reads of a daemon without a parent.
func backOffReads(w *table.World, now time.Time) {
	if w.MembersTree.Rank >= w.Params.Roots {
		w.Log.OrphanReadPause = min(max(2*w.Log.OrphanReadPause, minOrphanReadPause), maxOrphanReadPause)
		w.Log.OrphanReadAfter = now.Add(w.Log.OrphanReadPause)
	}
}

func rootDetail(root bool) string {
	if root {
		return "reads the log"
	}
	return "no longer reads the log"
}

// mayReadLog reports whether this daemon may read the log. A daemon that has just started
// knows few members and therefore ranks first among them. To prevent all such daemons from
// reading the log at the same time, each waits until its members match those of a peer and it
// awaits no other failure domain, or for the grace time.
func mayReadLog(w *table.World, now time.Time) bool {
	return now.Sub(w.Started) >= w.Params.Grace || membersMatchPeer(w) && !awaitsOtherDomains(w)
}

// awaitsOtherDomains reports whether a daemon without a configuration has yet to learn whether other
// failure domains hold a later one than the log: after a restart of its whole failure domain only
// they know the version that was in force, and the log may have come back from an older copy.
func awaitsOtherDomains(w *table.World) bool {
	if w.Config.State.Version > 0 {
		return false
	}
	if anyPeerAhead(w) {
		return true
	}
	for _, l := range w.Links {
		if l.Up() && l.Domain != w.Self.Domain {
			return false
		}
	}
	return slices.ContainsFunc(knownDomains(w), func(domain string) bool { return domain != w.Self.Domain })
}

// findParent returns the parent to use now, and whether the search is over. Until then
// the daemon keeps its role.
func findParent(w *table.World, now time.Time, own []wire.Member, rank int, wanted map[string]bool, out *Outbox) (string, bool) {
	if rank == 0 {
		return "", true
	}
	return connectFirst(w, now, candidates(w, own, rank), wanted, out)
}

// candidates returns the members to try as parent, the best first. All of them rank
// before this daemon, which rules out cycles among daemons with equal views.
func candidates(w *table.World, own []wire.Member, rank int) []wire.Member {
	best := 0
	if rank >= w.Params.Roots {
		best = (rank - w.Params.Roots) / w.Params.Fanout
	}
	n := min(rank, maxParentCandidates)
	list := make([]wire.Member, 0, n)
	for i := range n {
		list = append(list, own[(best+i)%rank])
	}
	return list
}

// matchedRoleDivisor divides the heartbeat interval. The quotient is the time after which a root
// whose members match those of a peer connects to other failure domains. A whole heartbeat would
// delay a failure domain that restarts: its daemons are not ready before one has asked other domains.
const matchedRoleDivisor = 3

// linksDomains reports whether this daemon connects its failure domain to the others. A root does
// so a heartbeat after it became a root and, if it has peers there, after its first connection in
// its own domain, or after a third of that time if its members match those of a peer. A daemon that
// has just started knows few members and therefore ranks first among them: without the delay, most
// daemons of a fleet that starts would connect to other domains and exchange all records there.
func linksDomains(w *table.World, now time.Time) bool {
	if !w.MembersTree.Root {
		return false
	}
	sinceChange := now.Sub(w.MembersTree.RoleChangedAt)
	return sinceChange >= w.Params.Heartbeat || sinceChange >= w.Params.Heartbeat/matchedRoleDivisor && membersMatchPeer(w)
}

// connectDomains connects a root to one root of every other failure domain. A daemon that has become
// a root because those before it have died tries the first roots of the other domain too: only roots
// forward changes at once.
func connectDomains(w *table.World, now time.Time, rank int, wanted map[string]bool, out *Outbox) {
	for _, domain := range knownDomains(w) {
		if domain == w.Self.Domain {
			continue
		}
		others := order(w, domain)
		if len(others) == 0 && len(w.Links) > 0 {
			connectSeeds(w, now, domain, wanted, out)
			continue
		}
		n := min(len(others), 2*w.Params.Roots)
		list := make([]wire.Member, 0, n)
		for i := range n {
			list = append(list, others[(rank%w.Params.Roots+i)%n])
		}
		connectFirst(w, now, list, wanted, out)
	}
}

// knownDomains returns the failure domains of all members and seeds, sorted.
func knownDomains(w *table.World) []string {
	domains := slices.Clone(w.Domains())
	for _, domain := range w.SeedDomains {
		if !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// parallelSeedDials is the number of seeds of another failure domain that a root dials at the same
// time. More than one, because some of the addresses on the log belong to daemons that no longer run.
const parallelSeedDials = 2

// connectSeeds connects a root to a seed of a failure domain of which it knows no members yet.
// Daemons that start dial seeds of their own domain first, so that after a start of the whole domain
// none of them may know a member of another domain.
func connectSeeds(w *table.World, now time.Time, domain string, wanted map[string]bool, out *Outbox) {
	for _, l := range w.Links {
		if l.Up() && !l.Probe && l.Domain == domain {
			wanted[l.Peer] = true
			return
		}
	}
	dials := parallelSeedDials
	for _, i := range w.Rand.Perm(len(w.Seeds)) {
		addr := w.Seeds[i]
		switch {
		case dials == 0:
			return
		case w.SeedDomains[addr] != domain || addr == w.Self.Peer:
		case pending(w, addr):
			dials--
		case w.Reachable(addr, now):
			dial(w, addr, false, out)
			dials--
		}
	}
}

// connectFirst returns the first member of the list that is connected, and dials the
// first reachable one listed before it, one at a time. It also reports whether the search
// is over, that is, whether no better member remains to be tried.
func connectFirst(w *table.World, now time.Time, list []wire.Member, wanted map[string]bool, out *Outbox) (string, bool) {
	searching := false
	for _, m := range list {
		if l := w.LinkTo(m.ID); l != nil {
			wanted[m.ID] = true
			return m.ID, true
		}
		switch {
		case pending(w, m.Peer):
			wanted[m.ID] = true
			searching = true
		case !searching && w.Reachable(m.Peer, now):
			dial(w, m.Peer, false, out)
			searching = true
		}
	}
	return "", !searching
}

// pending reports whether a connection to the address is being established.
func pending(w *table.World, addr string) bool {
	if w.Dialing(addr) {
		return true
	}
	for _, l := range w.Links {
		if l.Addr == addr && !l.Up() && !l.Probe {
			return true
		}
	}
	return false
}

func dial(w *table.World, addr string, probe bool, out *Outbox) {
	if !probe {
		w.SetDialing(addr, true)
	}
	out.Dials = append(out.Dials, Dial{Addr: addr, Probe: probe})
}

func dropUnwanted(w *table.World, now time.Time, wanted map[string]bool, out *Outbox) {
	for _, id := range sortedKeys(w.Links) {
		l := w.Links[id]
		if l.Probe && l.Dialed && now.Sub(l.Opened) > probeDuration {
			drop(w, l, out)
			continue
		}
		if !l.Dialed || l.Probe || !l.Up() || wanted[l.Peer] {
			delete(w.MembersTree.Unwanted, id)
			continue
		}
		since, ok := w.MembersTree.Unwanted[id]
		if !ok {
			w.MembersTree.Unwanted[id] = now
		} else if now.Sub(since) > unwantedGrace {
			drop(w, l, out)
		}
	}
}

// drop closes a connection that has not failed: it is not reported as lost, and its
// address gets no backoff.
func drop(w *table.World, l *table.Link, out *Outbox) {
	delete(w.Links, l.ID)
	delete(w.MembersTree.Unwanted, l.ID)
	out.Closes = append(out.Closes, l.ID)
}
