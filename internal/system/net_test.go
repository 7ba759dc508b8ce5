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

// step is the virtual time between ticks of a testNet.
const step = 20 * time.Millisecond

// testNet connects the tables of several daemons in virtual time, so that a
// test can drive any history of losses, restarts and cuts.
type testNet struct {
	fatalf func(format string, args ...any)
	now    time.Time
	log    *devlog.Log
	nodes  []*testNode
	byAddr map[string]*testNode
	pipes  []*pipe
	// late are dials that will have failed, the first first.
	late []failedDial
	// ends finds a connection by either of its names.
	ends   map[table.LinkID]*pipe
	lastID table.LinkID
	apart  map[string]bool
	noLog  map[string]bool
	// content is the hash held at each place of the log, by any daemon.
	content map[string]string
	// checkFloor is off in tests that restart a daemon out of reach of those
	// who knew its version.
	checkFloor bool
	// store holds the records of quarantined requests; written counts the changes to it,
	// kept those that a test has not made itself or set back.
	store   map[suspect.Digest][]byte
	written int
	kept    int
	// agreed are the phases of roll-outs that were agreed, told those that operators
	// could read.
	agreed, told []rollout.Record
	// revoke is the bound on keys that were taken away, for daemons that start from now on.
	revoke time.Duration
	// lag returns how much longer than a step a message takes; nil: no longer.
	lag func() time.Duration
	// starting is set in tests that watch what a start costs.
	starting *startWatch
	// params changes those of daemons that start from now on, if it is set.
	params func(*table.Params)
	// documents is the store of configurations that come whole, where they do.
	documents *documentStore
	// bytes counts what each daemon sent of suspects and roll-outs, if it is set.
	bytes map[string]int
}

type testNode struct {
	id, domain string
	index      int
	linkMbps   float64
	w          *table.World
	alive      bool
	inputs     []Input
	lives      int
	// highest is the highest version ever reported in force, over restarts.
	highest uint64
	// lost daemons have ended without a word, as by a loss of power.
	lost bool
	// paused daemons run no ticks; what comes for them waits.
	paused bool
	// refreshed is set when the call path was to get a new view.
	refreshed bool
	// read names the last read of quarantined requests.
	read string
}

// pipe is a connection; messages arrive in order, later.
type pipe struct {
	a, b     *testNode
	ida, idb table.LinkID
	queue    []delivery
	closed   bool
}

type delivery struct {
	at   time.Time
	to   *testNode
	link table.LinkID
	msg  wire.Message
}

// failedDial tells a daemon that nothing answers at an address.
type failedDial struct {
	at   time.Time
	to   *testNode
	addr string
}

// deadDial is how long it takes to find that nothing answers at an address.
const deadDial = 2 * time.Second

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

func newTestNet(fatalf func(string, ...any), domains, perDomain int) *testNet {
	n := &testNet{
		fatalf: fatalf, now: time.Unix(1_700_000_000, 0), log: devlog.New(),
		apart: map[string]bool{}, noLog: map[string]bool{}, content: map[string]string{}, checkFloor: true,
		store: map[suspect.Digest][]byte{},
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

func (n *testNet) start(node *testNode) {
	node.lives++
	node.alive, node.lost = true, false
	node.inputs = nil
	p := testParams()
	p.Revoke = n.revoke
	if n.params != nil {
		n.params(&p)
	}
	p.Seeds = []string{n.nodes[0].id, n.nodes[len(n.nodes)-1].id}
	self := wire.Member{
		ID: node.id, Domain: node.domain, LinkMbps: node.linkMbps, Peer: node.id, Owner: node.id, Admin: node.id,
		Incarnation: uint64(n.now.UnixNano()) + uint64(node.lives),
	}
	node.w = table.New(self, p, suspect.NewTable(func() time.Time { return n.now }), n.now, uint64(len(node.id)*1000+node.lives*31+node.index))
}

// kill ends a daemon at once; its peers notice a little later.
func (n *testNet) kill(node *testNode) {
	node.alive = false
	for _, p := range n.pipes {
		if !p.closed && (p.a == node || p.b == node) {
			n.hangUp(p, node)
		}
	}
}

func (n *testNet) hangUp(p *pipe, by *testNode) {
	p.closed = true
	other, link := p.b, p.idb
	if by == p.b {
		other, link = p.a, p.ida
	}
	if other.alive && !n.cut(p.a, p.b) {
		other.inputs = append(other.inputs, Closed{Link: link, Reason: "test"})
	}
}

func (n *testNet) cut(a, b *testNode) bool { return a.domain != b.domain && n.apart[pairKey(a, b)] }

func pairKey(a, b *testNode) string { return min(a.domain, b.domain) + "|" + max(a.domain, b.domain) }

// run lets time pass and checks the promises at every step.
func (n *testNet) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		n.deliver()
		for _, node := range n.nodes {
			if node.alive && !node.paused {
				n.tick(node)
			}
		}
	}
}

// boot returns the boot time of a daemon's VM, which is no other's.
func (n *testNet) boot(node *testNode) time.Duration {
	return n.now.Sub(time.Unix(1_699_990_000, 0)) + time.Duration(node.index)*time.Hour
}

// arrival returns when a message sent now arrives over a pipe, in order.
func (n *testNet) arrival(p *pipe) time.Time {
	at := n.now.Add(step)
	if n.lag != nil {
		at = at.Add(n.lag())
	}
	if len(p.queue) > 0 && p.queue[len(p.queue)-1].at.After(at) {
		return p.queue[len(p.queue)-1].at
	}
	return at
}

func (n *testNet) deliver() {
	for _, p := range n.pipes {
		for len(p.queue) > 0 && !p.queue[0].at.After(n.now) {
			m := p.queue[0]
			p.queue = p.queue[1:]
			if !p.closed && m.to.alive && !n.cut(p.a, p.b) {
				m.to.inputs = append(m.to.inputs, Received{Link: m.link, Message: m.msg})
			}
		}
	}
	n.pipes = slices.DeleteFunc(n.pipes, func(p *pipe) bool { return p.closed })
	for len(n.late) > 0 && !n.late[0].at.After(n.now) {
		n.late[0].to.inputs = append(n.late[0].to.inputs, DialFailed{Addr: n.late[0].addr, Reason: "test"})
		n.late = n.late[1:]
	}
}

func (n *testNet) tick(node *testNode) {
	in := node.inputs
	node.inputs = nil
	node.w.Boot = n.boot(node)
	out := Tick(node.w, n.now, in)
	if n.starting != nil {
		n.starting.after(n, node, out)
	}
	n.check(node, out)
	for _, s := range out.Sends {
		n.send(node, s)
	}
	for _, id := range out.Closes {
		if p := n.ends[id]; p != nil && !p.closed {
			n.hangUp(p, node)
		}
	}
	for _, d := range out.Dials {
		n.dial(node, d)
	}
	switch {
	case n.documents != nil:
		n.documents.serve(n, node, out)
	case n.log != nil:
		n.useLog(node, out)
	}
	n.useQuarantine(node, out)
	n.useRollouts(node, out)
}

func (n *testNet) send(node *testNode, s Send) {
	if n.bytes != nil {
		switch s.Message.(type) {
		case wire.Suspects, wire.Rollouts, wire.Tally:
			b, _ := json.Marshal(s.Message)
			n.bytes[node.id] += len(b)
		}
	}
	switch p := n.ends[s.Link]; {
	case p == nil || p.closed:
	case p.a == node && p.ida == s.Link:
		p.queue = append(p.queue, delivery{n.arrival(p), p.b, p.idb, s.Message})
	case p.b == node && p.idb == s.Link:
		p.queue = append(p.queue, delivery{n.arrival(p), p.a, p.ida, s.Message})
	}
}

func (n *testNet) dial(node *testNode, d Dial) {
	target := n.node(d.Addr)
	if target.lost {
		n.late = append(n.late, failedDial{n.now.Add(deadDial), node, d.Addr})
		return
	}
	if !target.alive || n.cut(node, target) {
		node.inputs = append(node.inputs, DialFailed{Addr: d.Addr, Reason: "test"})
		return
	}
	n.lastID += 2
	p := &pipe{a: node, b: target, ida: n.lastID, idb: n.lastID + 1}
	n.pipes = append(n.pipes, p)
	if n.ends == nil {
		n.ends = map[table.LinkID]*pipe{}
	}
	n.ends[p.ida], n.ends[p.idb] = p, p
	node.inputs = append(node.inputs, Opened{Link: p.ida, Dialed: true, Probe: d.Probe, Addr: d.Addr})
	target.inputs = append(target.inputs, Opened{Link: p.idb})
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

func (n *testNet) useLog(node *testNode, out Outbox) {
	down := n.noLog[node.domain]
	if out.ReadLog && !n.now.Before(out.ReadAfter) {
		batch, err := n.log.Read(context.Background(), store.Query{Topic: store.ConfigTopic, From: out.ReadFrom})
		if down {
			batch, err = store.Batch{}, context.DeadlineExceeded
		}
		node.inputs = append(node.inputs, LogRead{From: out.ReadFrom, Batch: batch, Err: err, Asked: n.boot(node)})
	}
	if out.Append != nil && !down {
		// A failed append is what the tick has to live with.
		_, _ = n.log.Append(context.Background(), store.ConfigTopic, out.Append)
	}
}

// check holds the promises that must be true at every moment.
func (n *testNet) check(node *testNode, out Outbox) {
	s := node.w.Config.State
	place := fmt.Sprintf("%d/%d", s.Base, s.Position)
	if known, ok := n.content[place]; ok && known != s.Hash {
		n.fatalf("%s holds other content at %s than another daemon", node.id, place)
	}
	n.content[place] = s.Hash
	if node.w.Ready {
		applied := node.w.Self.Beat.Applied
		if n.checkFloor && applied < node.highest {
			n.fatalf("%s went back from version %d to %d (life %d)", node.id, node.highest, applied, node.lives)
		}
		node.highest = max(node.highest, applied)
	}
	node.refreshed = node.refreshed || out.Refresh
	if out.Refresh {
		if err := view.Build(node.w, nil).Consistent(); err != nil {
			n.fatalf("%s: %v", node.id, err)
		}
	}
}
