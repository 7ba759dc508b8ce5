package system

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/table"
)

// falseSource is the one source that may be false in a leavingHistory.
type falseSource string

const (
	noneFalse falseSource = "none"
	// peersCutOff: the failure domain of the upstream is cut off from the others at times.
	peersCutOff falseSource = "peers cut off"
	// healthLies: health checks are answered as healthy by upstreams that leave, and as not
	// healthy by some that do not.
	healthLies falseSource = "health lies"
	// healthMissing: health checks get no answer.
	healthMissing falseSource = "health missing"
	// storeDown: the store is out of reach of the upstream's daemon.
	storeDown falseSource = "store down"
	// storeForgets: the store has come back from a copy from before each departure.
	storeForgets falseSource = "store forgets"
	// manyLate: up to three announcements of an upstream are late, not one.
	manyLate falseSource = "many late"
)

// leavingHistory is a generated history of the upstreams on one VM, which follow each other at one
// address, and of the daemons.
type leavingHistory struct {
	t        *rapid.T
	n        *testNet
	node     *testNode
	false    falseSource
	upstream *historyUpstream
	// left are the upstreams whose leaving was acknowledged.
	left []*historyUpstream
	late []lateInput
	// backAt is when daemons that have been stopped start, wakeAt when a frozen one wakes, and
	// healAt when the cut ends.
	backAt map[*testNode]time.Time
	wakeAt time.Time
	// peerWakeAt is when a frozen peer wakes.
	peerWakeAt time.Time
	healAt     time.Time
	count      int
	// killAllOnAck is set if all daemons are killed as soon as a leaving is acknowledged.
	killAllOnAck bool
}

// secondHolderTime is how long an acknowledgement waits for a second holder of the departure.
const secondHolderTime = 300 * time.Millisecond

// historyUpstream is one process of an upstream.
type historyUpstream struct {
	numberedUpstream
	startAt  time.Time
	lateLeft int
	// leave repeats what the upstream says of its leaving until that is acknowledged; nil: it
	// stays.
	leave    func(*numberedUpstream)
	waiting  bool
	waitFrom time.Time
	waitSeq  uint64
	waitInc  int
	acked    bool
	exitAt   time.Time
	dead     bool
	lyingIll bool
}

// lateInput is an announcement that arrives late.
type lateInput struct {
	at time.Time
	in Announced
}

func (h *leavingHistory) after(name string, least, most time.Duration) time.Time {
	ms := rapid.IntRange(int(least.Milliseconds()), int(most.Milliseconds())).Draw(h.t, name)
	return h.n.now.Add(time.Duration(ms) * time.Millisecond)
}

// startUpstream starts the next process at the VM's address.
func (h *leavingHistory) startUpstream(at time.Time) {
	h.count++
	u := &historyUpstream{startAt: at, lateLeft: 1}
	if h.false == manyLate {
		u.lateLeft = 3
	}
	u.numberedUpstream = numberedUpstream{n: h.n, node: h.node, id: fmt.Sprintf("i-%d", h.count), next: at}
	u.lyingIll = h.false == healthLies && rapid.Bool().Draw(h.t, "says ill")
	h.upstream = u
}

// health answers a health check as the process at the address does.
func (h *leavingHistory) health(_ *testNode, c HealthCheck) (HealthChecked, bool) {
	u := h.upstream
	if h.false == healthMissing || u.dead || h.n.now.Before(u.startAt) {
		return HealthChecked{}, false
	}
	healthy := u.leave == nil
	if h.false == healthLies {
		healthy = u.leave != nil || !u.lyingIll
	}
	return HealthChecked{ID: c.ID, Process: u.id, Healthy: healthy}, true
}

// step draws something that happens.
func (h *leavingHistory) step() {
	u := h.upstream
	steps := []string{"none", "none", "leave", "leave", "crash", "kill", "stop", "freeze", "freeze-peer", "kill-all", "power"}
	if h.false == peersCutOff {
		steps = append(steps, "cut", "cut")
	}
	switch s := rapid.SampledFrom(steps).Draw(h.t, "step"); s {
	case "leave":
		if u.leave == nil && !u.dead && h.n.now.After(u.startAt) {
			u.leave = leavings[rapid.SampledFrom([]string{"deregistered", "announced"}).Draw(h.t, "leaving")]
			u.next = h.n.now
		}
	case "crash":
		h.endUpstream()
	case "power":
		h.endUpstream()
		h.stopDaemon(h.node)
	case "kill":
		h.stopDaemon(h.node)
	case "stop":
		if h.node.alive && !h.node.paused {
			h.node.inputs = append(h.node.inputs, Leave{})
		}
		h.run(h.after("drain", time.Second, 4*time.Second).Sub(h.n.now))
		h.stopDaemon(h.node)
	case "freeze":
		h.node.paused = h.node.alive
		h.wakeAt = h.after("wake", time.Second, 8*time.Second)
	case "freeze-peer":
		peer := h.n.nodes[2*rapid.IntRange(0, 1).Draw(h.t, "peer")]
		peer.paused = peer.alive
		h.peerWakeAt = h.after("peer wakes", time.Second, 8*time.Second)
	case "kill-all":
		h.stopAll()
	case "cut":
		for _, other := range h.n.nodes {
			if other.domain != h.node.domain {
				h.n.partitions[domainPair(h.node, other)] = true
			}
		}
		h.healAt = h.after("heal", time.Second, 6*time.Second)
	}
}

// endUpstream ends the process without a word and starts the next one later.
func (h *leavingHistory) endUpstream() {
	if !h.upstream.dead {
		h.upstream.dead = true
		h.startUpstream(h.after("next upstream", 300*time.Millisecond, 8*time.Second))
	}
}

// stopAll kills all daemons but frozen peers, which know nothing of what was said meanwhile.
func (h *leavingHistory) stopAll() {
	for _, node := range h.n.nodes {
		if node == h.node || !node.paused {
			h.stopDaemon(node)
		}
	}
}

func (h *leavingHistory) stopDaemon(node *testNode) {
	if node.alive {
		node.paused = false
		h.n.kill(node)
		h.backAt[node] = h.after("back", 300*time.Millisecond, 2*time.Second)
	}
}

// run advances the time.
func (h *leavingHistory) run(d time.Duration) {
	for end := h.n.now.Add(d); h.n.now.Before(end); {
		for _, node := range h.n.nodes {
			if at, ok := h.backAt[node]; ok && !h.n.now.Before(at) {
				delete(h.backAt, node)
				h.n.start(node)
			}
		}
		if !h.n.now.Before(h.wakeAt) {
			h.node.paused = false
		}
		if !h.n.now.Before(h.peerWakeAt) {
			h.n.nodes[0].paused, h.n.nodes[2].paused = false, false
		}
		if !h.n.now.Before(h.healAt) {
			h.n.partitions = map[string]bool{}
		}
		h.announce()
		h.deliverLate()
		h.n.run(tickInterval)
		h.check()
	}
}

// announce sends what the upstream says when it is due, and some announcements late.
func (h *leavingHistory) announce() {
	u := h.upstream
	if u.dead || h.n.now.Before(u.startAt) {
		return
	}
	if !u.exitAt.IsZero() && !h.n.now.Before(u.exitAt) {
		h.endUpstream()
		return
	}
	if h.n.now.Before(u.next) {
		return
	}
	u.next = h.n.now.Add(numberedInterval)
	switch {
	case u.leave != nil:
		if !u.acked {
			u.leave(&u.numberedUpstream)
			u.waiting, u.waitFrom, u.waitInc, u.waitSeq = h.node.alive, h.n.now, h.node.incarnation, 0
		}
	case u.lateLeft > 0 && rapid.IntRange(0, 3).Draw(h.t, "late") == 0:
		u.lateLeft--
		h.late = append(h.late, lateInput{h.after("late by", 300*time.Millisecond, 9900*time.Millisecond), u.announcement(false)})
	default:
		u.send(u.announcement(false))
	}
}

func (h *leavingHistory) deliverLate() {
	kept := h.late[:0]
	for _, l := range h.late {
		if h.n.now.Before(l.at) {
			kept = append(kept, l)
		} else if h.node.alive {
			h.node.inputs = append(h.node.inputs, l.in)
		}
	}
	h.late = kept
}

// check acknowledges what the upstream has said as the daemon would, and fails the test if an
// upstream whose leaving was acknowledged accepts calls.
func (h *leavingHistory) check() {
	u := h.upstream
	if u.waiting && (!h.node.alive || h.node.incarnation != u.waitInc) {
		u.waiting = false // the daemon has ended before it answered
	}
	if u.waiting && !h.node.paused {
		if u.waitSeq == 0 {
			u.waitSeq = h.node.w.Memory.Changed
		}
		if DeparturesHeld(h.node.w, u.waitSeq, h.n.now.Sub(u.waitFrom) >= secondHolderTime) {
			u.waiting, u.acked = false, true
			u.exitAt = h.after("exit", 2*time.Second, 8*time.Second)
			h.left = append(h.left, u)
			if h.killAllOnAck {
				h.stopAll()
			}
		}
	}
	if h.false == storeForgets {
		clear(h.n.departureStore)
	}
	for _, l := range h.left {
		if l.served() {
			h.t.Fatalf("%s gets calls after its leaving was acknowledged (false: %s)", l.id, h.false)
		}
	}
}

// TestNoUpstreamGetsCallsOnceItsLeavingIsAcknowledged guards against calls to an upstream that is
// about to exit, in generated histories: upstreams that leave, crash and follow each other at one
// address, announcements that arrive late, daemons that restart, freeze or lose power, alone and
// all at once. One of the sources that a restarted daemon asks may be false. Once all
// is calm, the upstream that is there must be served.
func TestNoUpstreamGetsCallsOnceItsLeavingIsAcknowledged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newTestNet(rt.Fatalf, 3, 1)
		n.checkFloor = false // all daemons may restart at once
		h := &leavingHistory{t: rt, n: n, node: n.nodes[1], backAt: map[*testNode]time.Time{}}
		h.false = rapid.SampledFrom([]falseSource{noneFalse, peersCutOff, healthLies, healthMissing, storeDown, storeForgets, manyLate}).Draw(rt, "false")
		h.killAllOnAck = rapid.Bool().Draw(rt, "kill all on acknowledgement")
		n.checkHealth = h.health
		n.storeDelay = rapid.SampledFrom([]time.Duration{60 * time.Millisecond, 2 * secondHolderTime}).Draw(rt, "store delay")
		n.storeUnreachable[h.node.domain] = h.false == storeDown
		n.adjustParams = func(p *table.Params) { p.UpstreamLapse = numberedLapse }
		for _, node := range n.nodes {
			n.start(node)
		}
		n.appendCommand(config.Command{ID: "a", Changes: []config.Change{{
			Verb: config.Put, Ref: config.Ref{Kind: config.KindService, Name: "s"}, Service: &config.Service{Name: "s", HealthPath: "/health"},
		}}})
		h.startUpstream(n.now)
		h.run(15 * time.Second)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			h.step()
			h.run(h.after("pause", 40*time.Millisecond, 6*time.Second).Sub(n.now))
		}
		h.run(25 * time.Second)
		if u := h.upstream; u.leave == nil && !u.served() {
			rt.Fatalf("%s gets no calls 25 s after the last failure (false: %s)", u.id, h.false)
		}
	})
}
