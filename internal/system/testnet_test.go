package system

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform/store"
)

// tickInterval is the virtual time between ticks of a testNet.
const tickInterval = 20 * time.Millisecond

// testNet simulates a network of daemons in virtual time, so that a test can drive any
// history of crashes, restarts, partitions and store outages.
type testNet struct {
	fatalf func(format string, args ...any)
	now    time.Time
	log    *devlog.Log
	nodes  []*testNode
	byAddr map[string]*testNode
	pipes  []*pipe
	// pendingDialFailures are the dials that have yet to fail, in the order of their
	// time.
	pendingDialFailures []failedDial
	// pipeByLink holds each connection under the link ID of either end.
	pipeByLink map[table.LinkID]*pipe
	lastID     table.LinkID
	// partitions holds the pairs of failure domains that cannot reach each other, see
	// domainPair; storeUnreachable the domains that cannot reach the store.
	partitions       map[string]bool
	storeUnreachable map[string]bool
	// cutOff holds the daemons that reach only those of their own failure domain.
	cutOff map[*testNode]bool
	// hashAt holds the hash of the state that daemons held at each position of the log.
	hashAt map[string]string
	// checkFloor makes checkInvariants fail if a restarted daemon serves a version
	// older than before. It is off in tests that restart a daemon where it cannot reach
	// the daemons that know its version.
	checkFloor bool
	// quarantineStore holds the store's records of quarantined requests.
	// quarantineVersion counts all writes to it, quarantineWrites those since a test
	// last reset that count.
	quarantineStore   map[suspect.Digest][]byte
	quarantineVersion int
	quarantineWrites  int
	// committed are the rollout records that the store accepted, published those whose
	// phase operators could read.
	committed, published []rollout.Record
	// revocationBound is the time after which a revoked key must admit no calls. It
	// applies to daemons that start from now on.
	revocationBound time.Duration
	// extraDelay returns the delay of a message beyond one tick interval; nil means
	// none.
	extraDelay func() time.Duration
	// startup records the costs of a cold start, in tests that set it.
	startup *startupCosts
	// adjustParams, if set, changes the parameters of daemons that start from now on.
	adjustParams func(*table.Params)
	// documents is the store of configuration documents. If nil, daemons read the log.
	documents *documentStore
	// polled, if set, serves the daemons' reads of the log with the waits of package agent.
	polled *polledStore
	// sentBytes, if set, counts the bytes of the messages on suspects and rollouts that
	// each daemon sent, by daemon ID.
	sentBytes map[string]int
	// checkHealth, if set, answers the health checks of a daemon; false: there is no answer.
	checkHealth func(*testNode, HealthCheck) (HealthChecked, bool)
	// departureStore holds the store's records of departures, by daemon ID.
	departureStore map[string][]wire.Departure
	// storeDelay is how long a write of departures takes. One of a daemon that ends before is
	// lost.
	storeDelay      time.Duration
	departureWrites []departureWrite
	// crossDomain, if set, counts the messages on connections between failure domains, by method.
	crossDomain map[string]messageCost
}

type testNode struct {
	id, domain string
	index      int
	linkMbps   float64
	w          *table.World
	alive      bool
	inputs     []Input
	// incarnation counts the starts of the daemon.
	incarnation int
	// highestApplied is the highest version ever in force, across restarts.
	highestApplied uint64
	// powerLost is set on daemons that stopped as by a loss of power: their connections
	// are not closed, and dials to them get no answer.
	powerLost bool
	// paused daemons run no ticks. Their inputs are queued.
	paused bool
	// viewOutdated is set when a tick has requested a new view for the call path.
	viewOutdated bool
	// lastQuarantineRead identifies the incarnation and the version of the store's
	// quarantine at the last read.
	lastQuarantineRead string
}

// pipe is a simulated connection. Messages arrive in order, after a delay.
type pipe struct {
	a, b         *testNode
	linkA, linkB table.LinkID
	queue        []delivery
	closed       bool
}

type delivery struct {
	at   time.Time
	to   *testNode
	link table.LinkID
	msg  wire.Message
}

// departureWrite is a write of departures to the store that is in progress.
type departureWrite struct {
	at          time.Time
	node        *testNode
	incarnation int
	record      DepartureRecord
}

// failedDial is a dial to an address at which nothing answers.
type failedDial struct {
	at   time.Time
	to   *testNode
	addr string
}

// dialTimeout is how long a dial takes to fail if nothing answers at the address.
const dialTimeout = 2 * time.Second

func testParams() table.Params {
	p := table.DefaultParams()
	p.Window = 40 * time.Millisecond
	p.Heartbeat = 200 * time.Millisecond
	p.SilentAfter = time.Second
	p.Renew = time.Second
	p.Lapse = 4 * time.Second
	p.Grace = 600 * time.Millisecond
	p.Probe = 2 * time.Second
	p.Fanout = 2
	p.Checkpoint = 3 * time.Second
	p.InForce = 2500 * time.Millisecond
	return p
}

// newTestNet returns a network of running daemons, which reports failures to fatalf.
func newTestNet(fatalf func(string, ...any), domains, perDomain int) *testNet {
	n := &testNet{
		fatalf: fatalf, now: time.Unix(1_700_000_000, 0), log: devlog.New(),
		partitions: map[string]bool{}, storeUnreachable: map[string]bool{}, hashAt: map[string]string{}, checkFloor: true,
		quarantineStore: map[suspect.Digest][]byte{}, departureStore: map[string][]wire.Departure{},
	}
	for d := range domains {
		for i := range perDomain {
			n.nodes = append(n.nodes, &testNode{id: fmt.Sprintf("d%d-%d", d, i), domain: fmt.Sprintf("d%d", d)})
		}
	}
	for i, node := range n.nodes {
		node.index = i
	}
	for _, node := range n.nodes {
		n.start(node)
	}
	return n
}

// start starts a daemon with empty tables.
func (n *testNet) start(node *testNode) {
	node.incarnation++
	node.alive, node.powerLost = true, false
	node.inputs = nil
	p := testParams()
	p.Revoke = n.revocationBound
	if n.adjustParams != nil {
		n.adjustParams(&p)
	}
	p.Seeds = []string{n.nodes[0].id, n.nodes[len(n.nodes)-1].id}
	self := wire.Member{
		ID: node.id, Domain: node.domain, LinkMbps: node.linkMbps, Peer: node.id, Owner: node.id, Admin: node.id,
		Incarnation: uint64(n.now.UnixNano()) + uint64(node.incarnation),
	}
	node.w = table.New(self, p, suspect.NewTable(func() time.Time { return n.now }), n.now, uint64(len(node.id)*1000+node.incarnation*31+node.index))
}

// kill stops a daemon and closes its connections, so that its peers notice at their next
// tick.
func (n *testNet) kill(node *testNode) {
	node.alive = false
	for _, p := range n.pipes {
		if !p.closed && (p.a == node || p.b == node) {
			n.closePipe(p, node)
		}
	}
}

// closePipe closes a connection on behalf of one end and reports that to the other.
func (n *testNet) closePipe(p *pipe, by *testNode) {
	p.closed = true
	other, link := p.b, p.linkB
	if by == p.b {
		other, link = p.a, p.linkA
	}
	if other.alive && !n.isPartitioned(p.a, p.b) {
		other.inputs = append(other.inputs, Closed{Link: link, Reason: "test"})
	}
}

func (n *testNet) isPartitioned(a, b *testNode) bool {
	return a.domain != b.domain && (n.partitions[domainPair(a, b)] || n.cutOff[a] || n.cutOff[b])
}

// domainPair returns the key of a pair of failure domains in testNet.partitions.
func domainPair(a, b *testNode) string {
	return min(a.domain, b.domain) + "|" + max(a.domain, b.domain)
}

// run advances the time, runs the ticks of all daemons, and checks the invariants at each.
func (n *testNet) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(tickInterval)
		n.deliver()
		for _, node := range n.nodes {
			if node.alive && !node.paused {
				n.tick(node)
			}
		}
	}
}

// bootTime returns the reading of the boot-time clock of a daemon's VM, which differs
// between VMs.
func (n *testNet) bootTime(node *testNode) time.Duration {
	return n.now.Sub(time.Unix(1_699_990_000, 0)) + time.Duration(node.index)*time.Hour
}

// arrivalTime returns when a message sent now arrives. It never arrives before messages
// that were sent on the connection earlier.
func (n *testNet) arrivalTime(p *pipe) time.Time {
	at := n.now.Add(tickInterval)
	if n.extraDelay != nil {
		at = at.Add(n.extraDelay())
	}
	if len(p.queue) > 0 && p.queue[len(p.queue)-1].at.After(at) {
		return p.queue[len(p.queue)-1].at
	}
	return at
}

// deliver queues the messages and the dial failures that are due as inputs of their daemons.
func (n *testNet) deliver() {
	for _, p := range n.pipes {
		for len(p.queue) > 0 && !p.queue[0].at.After(n.now) {
			m := p.queue[0]
			p.queue = p.queue[1:]
			if !p.closed && m.to.alive && !n.isPartitioned(p.a, p.b) {
				m.to.inputs = append(m.to.inputs, Received{Link: m.link, Message: m.msg})
			}
		}
	}
	n.pipes = slices.DeleteFunc(n.pipes, func(p *pipe) bool { return p.closed })
	for len(n.pendingDialFailures) > 0 && !n.pendingDialFailures[0].at.After(n.now) {
		n.pendingDialFailures[0].to.inputs = append(n.pendingDialFailures[0].to.inputs, DialFailed{Addr: n.pendingDialFailures[0].addr, Reason: "test"})
		n.pendingDialFailures = n.pendingDialFailures[1:]
	}
}

// tick runs one tick of a daemon and carries out the actions that the tick returns.
func (n *testNet) tick(node *testNode) {
	in := node.inputs
	node.inputs = nil
	node.w.Boot = n.bootTime(node)
	out := Tick(node.w, n.now, in)
	if n.startup != nil {
		n.startup.record(n, node, out)
	}
	n.checkInvariants(node, out)
	for _, s := range out.Sends {
		n.send(node, s)
	}
	for _, id := range out.Closes {
		if p := n.pipeByLink[id]; p != nil && !p.closed {
			n.closePipe(p, node)
		}
	}
	for _, d := range out.Dials {
		n.dial(node, d)
	}
	switch {
	case n.documents != nil:
		n.documents.serve(n, node, out)
	case n.polled != nil:
		n.polled.serve(n, node, out)
	case n.log != nil:
		n.serveLog(node, out)
	}
	n.serveQuarantine(node, out)
	n.serveRollouts(node, out)
	n.serveHealthChecks(node, out)
	n.serveDepartures(node, out)
}

// serveDepartures carries out the requests of a tick to the store's records of departures.
func (n *testNet) serveDepartures(node *testNode, out Outbox) {
	reachable := !n.storeUnreachable[node.domain]
	if r := out.StoreDepartures; r != nil && !reachable {
		node.inputs = append(node.inputs, DeparturesStored{Seq: r.Seq, Failed: true})
	} else if r != nil {
		n.departureWrites = append(n.departureWrites, departureWrite{n.now.Add(n.storeDelay), node, node.incarnation, *r})
	}
	n.departureWrites = slices.DeleteFunc(n.departureWrites, func(d departureWrite) bool {
		if n.now.Before(d.at) {
			return false
		}
		if d.node.alive && d.node.incarnation == d.incarnation {
			n.departureStore[d.node.id] = d.record.List
			d.node.inputs = append(d.node.inputs, DeparturesStored{Seq: d.record.Seq})
		}
		return true
	})
	if out.ReadDepartures {
		read := DeparturesRead{Failed: !reachable}
		if reachable {
			read.List = n.departureStore[node.id]
		}
		node.inputs = append(node.inputs, read)
	}
}

// serveHealthChecks answers the health checks that a tick has requested.
func (n *testNet) serveHealthChecks(node *testNode, out Outbox) {
	if n.checkHealth == nil {
		return
	}
	for _, c := range out.HealthChecks {
		if answer, ok := n.checkHealth(node, c); ok {
			node.inputs = append(node.inputs, answer)
		}
	}
}

func (n *testNet) send(node *testNode, s Send) {
	if n.sentBytes != nil {
		switch s.Message.(type) {
		case wire.Suspects, wire.Rollouts, wire.Tally:
			b, _ := json.Marshal(s.Message)
			n.sentBytes[node.id] += len(b)
		}
	}
	p := n.pipeByLink[s.Link]
	n.countCrossDomain(p, s.Message)
	switch {
	case p == nil || p.closed:
	case p.a == node && p.linkA == s.Link:
		p.queue = append(p.queue, delivery{n.arrivalTime(p), p.b, p.linkB, s.Message})
	case p.b == node && p.linkB == s.Link:
		p.queue = append(p.queue, delivery{n.arrivalTime(p), p.a, p.linkA, s.Message})
	}
}

func (n *testNet) dial(node *testNode, d Dial) {
	target := n.node(d.Addr)
	if target.powerLost {
		n.pendingDialFailures = append(n.pendingDialFailures, failedDial{n.now.Add(dialTimeout), node, d.Addr})
		return
	}
	if !target.alive || n.isPartitioned(node, target) {
		node.inputs = append(node.inputs, DialFailed{Addr: d.Addr, Reason: "test"})
		return
	}
	n.lastID += 2
	p := &pipe{a: node, b: target, linkA: n.lastID, linkB: n.lastID + 1}
	n.pipes = append(n.pipes, p)
	if n.pipeByLink == nil {
		n.pipeByLink = map[table.LinkID]*pipe{}
	}
	n.pipeByLink[p.linkA], n.pipeByLink[p.linkB] = p, p
	node.inputs = append(node.inputs, Opened{Link: p.linkA, Dialed: true, Probe: d.Probe, Addr: d.Addr})
	target.inputs = append(target.inputs, Opened{Link: p.linkB})
}

// node returns a daemon by its address.
func (n *testNet) node(addr string) *testNode {
	if n.byAddr == nil {
		n.byAddr = map[string]*testNode{}
		for _, node := range n.nodes {
			n.byAddr[node.id] = node
		}
	}
	return n.byAddr[addr]
}

// serveLog carries out the requests of a tick to the log.
func (n *testNet) serveLog(node *testNode, out Outbox) {
	unreachable := n.storeUnreachable[node.domain]
	if out.ReadLog && !n.now.Before(out.ReadAfter) {
		batch, err := n.log.Read(context.Background(), store.Query{Topic: store.ConfigTopic, From: out.ReadFrom})
		if unreachable {
			batch, err = store.Batch{}, context.DeadlineExceeded
		}
		node.inputs = append(node.inputs, LogRead{From: out.ReadFrom, Batch: batch, Err: err, StartedAt: n.bootTime(node)})
	}
	if out.Append != nil && !unreachable {
		// The system under test must cope with failed appends.
		_, _ = n.log.Append(context.Background(), store.ConfigTopic, out.Append)
	}
}

// checkInvariants checks what must hold at every tick: equal positions of the log hold
// equal content, no daemon's version decreases, and each view is consistent.
func (n *testNet) checkInvariants(node *testNode, out Outbox) {
	s := node.w.Config.State
	position := fmt.Sprintf("%d/%d", s.Base, s.Position)
	if want, ok := n.hashAt[position]; ok && want != s.Hash {
		n.fatalf("%s: hash of the state at position %s differs from that of another daemon", node.id, position)
	}
	n.hashAt[position] = s.Hash
	if node.w.Ready {
		applied := node.w.Self.Heartbeat.Applied
		if n.checkFloor && applied < node.highestApplied {
			n.fatalf("%s: version went back from %d to %d (incarnation %d)", node.id, node.highestApplied, applied, node.incarnation)
		}
		node.highestApplied = max(node.highestApplied, applied)
	}
	node.viewOutdated = node.viewOutdated || out.Refresh
	if out.Refresh {
		if err := view.Build(node.w, nil).Consistent(); err != nil {
			n.fatalf("%s: view is inconsistent: %v", node.id, err)
		}
	}
}
