package system

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

const (
	// maxCrossDomainBytes is the largest size of the messages between failure domains in a start,
	// per daemon of the fleet.
	maxCrossDomainBytes = 20_000
	// maxKnownAfter is the time after the last start at which all daemons know the record of each
	// daemon.
	maxKnownAfter = 2 * time.Second
	// countedTime is the time after a start in which its messages are counted. Connections that
	// only the start needed are closed by then.
	countedTime = 15 * time.Second
)

// messageCost is a number of messages and their size before compression.
type messageCost struct{ messages, bytes int }

// countCrossDomain adds a message to the counts if its connection joins two failure domains.
func (n *testNet) countCrossDomain(p *pipe, m wire.Message) {
	if n.crossDomain == nil || p == nil || p.closed || p.a.domain == p.b.domain {
		return
	}
	b, err := json.Marshal(m)
	if err != nil {
		n.fatalf("encoding a message of method %s: %v", m.Method(), err)
	}
	c := n.crossDomain[m.Method()]
	n.crossDomain[m.Method()] = messageCost{c.messages + 1, c.bytes + len(b)}
}

// crossDomainBytes returns the size of the messages between failure domains since the counts were
// reset, and the counts of each method as text.
func (n *testNet) crossDomainBytes() (total int, byMethod string) {
	for _, method := range slices.Sorted(maps.Keys(n.crossDomain)) {
		c := n.crossDomain[method]
		total += c.bytes
		byMethod += fmt.Sprintf(" %s %d B in %d,", method, c.bytes, c.messages)
	}
	return total, byMethod
}

// fleet is a testNet with the parameters of a production deployment. Its daemons find each other
// through the addresses on the log, and each has an upstream.
type fleet struct {
	*testNet
	t testing.TB
	// maxBytes is the bound on the messages between failure domains in a start, per daemon.
	maxBytes int
	// seeds are the addresses in the settings of daemons that start from now on.
	seeds []string
	// upstreamsDue holds when the upstream of a daemon that has started announces itself.
	upstreamsDue map[*testNode]time.Time
}

// upstreamDelay is the time from a daemon's start to the announcement of its upstream.
const upstreamDelay = 300 * time.Millisecond

// newFleet returns a fleet of n daemons in three failure domains, none of which runs yet.
func newFleet(t testing.TB, n int) *fleet {
	const domains = 3
	f := &fleet{t: t, maxBytes: maxCrossDomainBytes, upstreamsDue: map[*testNode]time.Time{}, testNet: &testNet{
		fatalf: func(format string, args ...any) { t.Helper(); t.Fatalf(format, args...) },
		now:    time.Unix(1_700_000_000, 0), partitions: map[string]bool{}, storeUnreachable: map[string]bool{}, hashAt: map[string]string{},
		startup:     &startupCosts{document: documentOf(5, 20), cost: map[string]*startCost{}},
		crossDomain: map[string]messageCost{},
		adjustParams: func(p *table.Params) {
			*p = table.DefaultParams()
			p.Documents = true
			p.Window, p.Heartbeat, p.SilentAfter, p.Grace = 50*time.Millisecond, 500*time.Millisecond, 1500*time.Millisecond, 2*time.Second
			p.UpstreamLapse = time.Hour
		},
	}}
	for i := range n {
		f.nodes = append(f.nodes, &testNode{
			id: fmt.Sprintf("vm-%04d", i), domain: fmt.Sprintf("d%d", i%domains), index: i, linkMbps: []float64{10, 50, 1000}[i/domains%3],
		})
	}
	return f
}

// startAll starts daemons at the same time.
func (f *fleet) startAll(nodes []*testNode) {
	for _, node := range nodes {
		f.start(node)
		node.w.Seeds = slices.Clone(f.seeds)
		f.upstreamsDue[node] = f.now.Add(upstreamDelay)
	}
}

// run advances the time. Upstreams whose time has come announce themselves.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		for node, due := range f.upstreamsDue {
			if !f.now.Before(due) {
				delete(f.upstreamsDue, node)
				f.announce(node, "1.4.2")
			}
		}
		f.testNet.run(tickInterval)
	}
}

// announce makes the upstream of a daemon announce itself with a version, which changes the
// daemon's record.
func (f *fleet) announce(node *testNode, version string) {
	name := "upstream-of-" + node.id
	node.inputs = append(node.inputs, Announced{Local: table.Local{
		Upstream: wire.Upstream{ID: fmt.Sprintf("%s-%d", name, node.incarnation), Service: "s", Version: version, Slots: 8},
		Name:     name, StartedMs: f.now.UnixMilli(), Addr: node.id,
	}})
}

// changeAll changes the records of all running daemons.
func (f *fleet) changeAll(version string) {
	for _, node := range f.nodes {
		if node.alive {
			f.announce(node, version)
		}
	}
	f.run(2 * tickInterval)
}

// rootsOf returns the running roots of a failure domain.
func (f *fleet) rootsOf(domain string) []*testNode {
	var roots []*testNode
	for _, node := range f.nodes {
		if node.alive && node.domain == domain && node.w.MembersTree.Root {
			roots = append(roots, node)
		}
	}
	return roots
}

// unknown returns how many records of running daemons other running daemons lack, or hold in an
// older revision.
func (f *fleet) unknown() int {
	missing := 0
	for _, node := range f.nodes {
		for _, other := range f.nodes {
			if node == other || !node.alive || !other.alive {
				continue
			}
			self, row := other.w.Self, node.w.Members[other.id]
			if row == nil || row.Lapsed || row.Incarnation != self.Incarnation || row.Seq != self.Seq {
				missing++
			}
		}
	}
	return missing
}

// awaitKnown runs until all daemons know each other, and returns how long that took. It fails if
// it takes longer than the given time.
func (f *fleet) awaitKnown(within time.Duration) time.Duration {
	f.t.Helper()
	began := f.now
	for f.now.Sub(began) < within {
		f.run(tickInterval)
		if len(f.upstreamsDue) == 0 && f.unknown() == 0 {
			return f.now.Sub(began)
		}
	}
	f.t.Errorf("after %v, daemons lack %d records of other daemons", within, f.unknown())
	return within
}

// countStart starts daemons and checks the bounds on a start: on the time until all daemons know
// each other, and on the bytes between failure domains.
func (f *fleet) countStart(what string, nodes []*testNode) {
	f.t.Helper()
	began := f.now
	f.startAll(nodes)
	took := f.awaitKnown(maxKnownAfter)
	f.run(countedTime - f.now.Sub(began))
	f.checkCrossDomain(what, took)
}

// checkCrossDomain checks the bound on the bytes between failure domains since the counts were
// reset.
func (f *fleet) checkCrossDomain(what string, took time.Duration) {
	f.t.Helper()
	bytes, byMethod := f.crossDomainBytes()
	perDaemon := bytes / len(f.nodes)
	f.t.Logf("%d daemons, %s: all known after %v; %d B between failure domains per daemon:%s", len(f.nodes), what, took, perDaemon, byMethod)
	if perDaemon > f.maxBytes {
		f.t.Errorf("%s: %d B of messages between failure domains per daemon, want at most %d", what, perDaemon, f.maxBytes)
	}
}

// stopSome stops a random fraction of the daemons, and returns them.
func (f *fleet) stopSome(fraction float64) []*testNode {
	rng := rand.New(rand.NewPCG(1, uint64(len(f.nodes))))
	var stopped []*testNode
	for _, i := range rng.Perm(len(f.nodes))[:int(fraction*float64(len(f.nodes)))] {
		f.kill(f.nodes[i])
		stopped = append(stopped, f.nodes[i])
	}
	return stopped
}

// TestCrossDomainBytesOfStart guards against starts whose messages between failure domains grow
// with the square of the fleet. When each starting daemon forwarded every change on connections
// to three random daemons, a fleet of 300 sent 36 MB of compressed messages to other failure
// domains before the first call.
func TestCrossDomainBytesOfStart(t *testing.T) {
	for _, n := range []int{30, 90, 180} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			f.countStart("simultaneous start", f.nodes)
			stopped := f.stopSome(0.6)
			f.run(time.Second)
			clear(f.crossDomain)
			f.countStart("restart of 0.6 of the daemons", stopped)
		})
	}
}

// TestRootsOfDomainDie guards against changes that stay in their failure domain, or do not reach it,
// when the daemons that carried them between domains have died: the next ones in the order must
// take over.
func TestRootsOfDomainDie(t *testing.T) {
	for _, c := range []struct {
		name      string
		powerLost bool
		within    time.Duration
	}{
		{"connections closed", false, maxKnownAfter},
		{"power lost", true, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 30)
			f.countStart("simultaneous start", f.nodes)
			clear(f.crossDomain)
			dead := f.rootsOf("d0")
			if len(dead) != table.DefaultParams().Roots {
				t.Fatalf("%d roots of the domain, want %d", len(dead), table.DefaultParams().Roots)
			}
			for _, node := range dead {
				if c.powerLost {
					f.losePower(node)
				} else {
					f.kill(node)
				}
			}
			f.changeAll("1.4.3")
			took := f.awaitKnown(c.within)
			f.changeAll("1.4.4")
			again := f.awaitKnown(maxKnownAfter)
			f.run(countedTime)
			f.checkCrossDomain(fmt.Sprintf("roots died, next change known after %v", again), took)
		})
	}
}

// losePower stops a daemon without closing its connections.
func (f *fleet) losePower(node *testNode) {
	node.alive, node.powerLost = false, true
	for _, p := range f.pipes {
		p.closed = p.closed || p.a == node || p.b == node
	}
}

// TestCutDomainIsKnownAgain guards against a failure domain that stays unknown to the others after
// it was cut off from them. While it is cut off, all records change, and some daemons on both sides
// restart.
func TestCutDomainIsKnownAgain(t *testing.T) {
	for _, c := range []struct {
		name        string
		n           int
		cut, within time.Duration
	}{
		{"short", 90, 10 * time.Second, 5 * time.Second},
		{"until the members have lapsed", 30, 200 * time.Second, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, c.n)
			f.countStart("simultaneous start", f.nodes)
			f.partitions = map[string]bool{"d0|d1": true, "d0|d2": true}
			f.run(c.cut / 2)
			stopped := f.stopSome(0.2)
			f.run(time.Second)
			f.startAll(stopped)
			f.run(c.cut / 2)
			f.changeAll("1.4.3")
			clear(f.crossDomain)
			f.partitions = map[string]bool{}
			took := f.awaitKnown(c.within)
			f.run(countedTime)
			f.checkCrossDomain("cut and connected again", took)
		})
	}
}

// TestStartWithoutLog guards against daemons that find each other only through the log: while it
// is down, the addresses in the settings must be enough. Their failure domains are unknown. Of more
// daemons than a seed takes connections, the last ones are refused and dial again after busyRetry.
func TestStartWithoutLog(t *testing.T) {
	for _, c := range []struct {
		n      int
		within time.Duration
	}{
		{30, maxKnownAfter},
		{60, maxKnownAfter},
		{90, maxKnownAfter + 2*busyRetry},
	} {
		t.Run(fmt.Sprint(c.n), func(t *testing.T) {
			f := newFleet(t, c.n)
			f.startup.down = true
			f.seeds = []string{f.nodes[0].id, f.nodes[c.n-1].id}
			f.startAll(f.nodes)
			took := f.awaitKnown(c.within)
			f.run(countedTime)
			f.checkCrossDomain("simultaneous start without the log", took)
		})
	}
}

// TestStartWithRecordsOfEarlierBuilds guards against daemons that find no others if the log has
// addresses without failure domains, as daemons of earlier builds publish them. If it has no others,
// each daemon first joins a random domain, so that more crosses between domains.
func TestStartWithRecordsOfEarlierBuilds(t *testing.T) {
	for _, c := range []struct {
		name          string
		withoutDomain func(*testNode) bool
		maxBytes      int
	}{
		{"all", func(*testNode) bool { return true }, 2 * maxCrossDomainBytes},
		{"half", func(node *testNode) bool { return node.index%2 == 0 }, maxCrossDomainBytes},
		{"one domain", func(node *testNode) bool { return node.domain == "d1" }, maxCrossDomainBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 90)
			f.startup.withoutDomain = c.withoutDomain
			f.maxBytes = c.maxBytes
			f.countStart("simultaneous start", f.nodes)
			stopped := f.stopSome(0.6)
			f.run(time.Second)
			clear(f.crossDomain)
			f.countStart("restart of 0.6 of the daemons", stopped)
		})
	}
}

// TestSeedOfAnotherDomainThanListed guards against a root that dials the same address again and
// again: the log lists addresses of failure domains under which other daemons run by now, among them
// the root itself.
func TestSeedOfAnotherDomainThanListed(t *testing.T) {
	f := newFleet(t, 6)
	f.startAll(f.nodes)
	f.run(countedTime)
	domains := map[string]string{"vm-gone": "d9"}
	for _, node := range f.nodes {
		domains[node.id] = "d9"
	}
	for _, node := range f.nodes {
		node.inputs = append(node.inputs, SeedsFound{Addrs: slices.Sorted(maps.Keys(domains)), Domains: domains})
	}
	f.nodes = append(f.nodes, &testNode{id: "vm-gone", domain: "d9", index: 6})
	f.byAddr = nil
	dialed := f.dials()
	f.run(10 * time.Second)
	if n := f.dials() - dialed; n > 120 {
		t.Errorf("6 daemons dialed %d times in 10 s, want at most 2 times a second each", n)
	}
}

// dials returns how often daemons have dialed so far.
func (f *fleet) dials() int {
	n := 0
	for _, c := range f.startup.cost {
		n += c.dials
	}
	return n
}
