package system

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/table"
)

// documentStore holds the configurations that an operator has accepted, and the reads of
// daemons that wait for a later one.
type documentStore struct {
	accepted []acceptedDocument
	reads    map[*testNode]*documentRead
	// deaf is set while the store does not wake those who wait.
	deaf bool
	// disturbed is when the store was last out of order for anybody.
	disturbed time.Time
}

type acceptedDocument struct {
	at  time.Time
	doc func() config.Document
}

// documentRead is a daemon's place in the store, and its read, if one waits.
type documentRead struct {
	life  int
	from  int
	began time.Time
	asked time.Duration
	// asleep is set if the store has failed to wake it.
	asleep bool
	// after is when the next read may begin.
	after time.Time
}

const (
	// readTimeout and readPause are how daemons bear with a store that does not answer.
	readTimeout = 2 * time.Second
	readPause   = 500 * time.Millisecond
)

// serve begins a read for a daemon that wants one, and answers one that is due.
func (s *documentStore) serve(n *testNet, node *testNode, out Outbox) {
	r := s.reads[node]
	if r == nil || r.life != node.lives {
		r = &documentRead{life: node.lives}
		s.reads[node] = r
	}
	if r.began.IsZero() {
		if out.ReadLog && !n.now.Before(r.after) {
			r.began, r.asked = n.now, n.boot(node)
		}
		return
	}
	waited := n.now.Sub(r.began)
	answer := DocumentRead{Asked: r.asked}
	switch {
	case n.noLog[node.domain]:
		if waited < readTimeout {
			return
		}
		answer.Err = errors.New("no answer")
		r.after = n.now.Add(readPause)
	case r.from < len(s.accepted) && (!r.asleep || waited >= out.ReadWait):
		r.from = len(s.accepted)
		answer.Document = s.accepted[r.from-1].doc()
	case waited < out.ReadWait:
		return
	}
	r.began, r.asleep = time.Time{}, false
	node.inputs = append(node.inputs, answer)
}

// documentNet drives histories in which configurations come as whole documents.
type documentNet struct {
	*testNet
	// disturbed is when a daemon itself was last out of touch.
	disturbed map[*testNode]time.Time
}

func newDocumentNet(fatalf func(string, ...any), domains, perDomain int) *documentNet {
	d := &documentNet{testNet: newTestNet(fatalf, domains, perDomain), disturbed: map[*testNode]time.Time{}}
	d.documents = &documentStore{reads: map[*testNode]*documentRead{}}
	d.params = func(p *table.Params) {
		inForce, seeds := p.InForce, p.Seeds
		*p = table.DefaultParams()
		p.Documents, p.InForce, p.Seeds = true, inForce, seeds
		p.Window, p.Heartbeat, p.SilentAfter, p.Grace = 50*time.Millisecond, 500*time.Millisecond, 1500*time.Millisecond, 2*time.Second
	}
	for _, node := range d.nodes {
		d.start(node)
	}
	return d
}

// accept lets the store accept a version. Odd ones have a route whose share has no weight,
// and one that names a service that is not listed.
func (d *documentNet) accept(odd bool) {
	version := uint64(10 * (len(d.documents.accepted) + 1))
	d.documents.accepted = append(d.documents.accepted, acceptedDocument{at: d.now, doc: func() config.Document {
		doc := documentOf(version, 3+int(version/10)%5)
		if odd {
			doc.Content.Routes["odd"] = config.Route{
				Name: "odd", Path: "/odd/", Policy: "p", Open: true,
				Shares: []config.Share{{Service: "s", Weight: 100}, {Service: "not-listed", Weight: 0}},
			}
		}
		return doc
	}})
	for _, r := range d.documents.reads {
		r.asleep = r.asleep || d.documents.deaf
	}
}

// lose ends a daemon without a word to its peers, as a loss of power does.
func (d *documentNet) lose(node *testNode) {
	node.alive, node.lost = false, true
	for _, p := range d.pipes {
		if p.a == node || p.b == node {
			p.closed = true
		}
	}
}

// touch is for how long a daemon and the store must have been left alone before bounds hold.
const touch = 3 * time.Second

// pass lets time pass and checks at every step that each version is in force in time at each
// daemon in touch.
func (d *documentNet) pass(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.run(step)
		for _, node := range d.nodes {
			if !node.alive || node.paused || d.noLog[node.domain] || d.cutOff(node) {
				d.disturbed[node] = d.now
			}
		}
		if d.documents.deaf || len(d.noLog) > 0 {
			d.documents.disturbed = d.now
		}
		for _, node := range d.nodes {
			d.checkInForce(node)
		}
	}
}

func (d *documentNet) cutOff(node *testNode) bool {
	for _, other := range d.nodes {
		if d.cut(node, other) {
			return true
		}
	}
	return false
}

func (d *documentNet) checkInForce(node *testNode) {
	calm := node.w.Started
	for _, at := range []time.Time{d.disturbed[node], d.documents.disturbed} {
		if at.After(calm) {
			calm = at
		}
	}
	calm = calm.Add(touch)
	if d.now.Before(calm) {
		return
	}
	for i, a := range d.documents.accepted {
		due := a.at
		if calm.After(due) {
			due = calm
		}
		if held := node.w.Config.State.Version; held < uint64(10*(i+1)) && d.now.Sub(due) > node.w.Params.InForce {
			d.fatalf("%s holds version %d, %v after version %d was accepted (alarms %v, root %v, parent %q)",
				node.id, held, d.now.Sub(a.at), 10*(i+1), node.w.Alarms, node.w.MembersTree.Root, node.w.MembersTree.Parent)
		}
	}
}

// TestDocumentsAreInForceUnderAnyHistory guards against versions that the store has accepted
// and that stay out of force at daemons in touch: readers end, lose power, freeze and are cut
// off, the store is away or wakes nobody, documents come in storms and are odd.
func TestDocumentsAreInForceUnderAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newDocumentNet(rt.Fatalf, 3, rapid.IntRange(2, 8).Draw(rt, "daemons"))
		d.accept(false)
		d.pass(6 * time.Second)
		for range rapid.IntRange(3, 25).Draw(rt, "ops") {
			node := d.nodes[rapid.IntRange(0, len(d.nodes)-1).Draw(rt, "node")]
			switch rapid.SampledFrom([]string{"accept", "accept", "odd", "storm", "kill", "lose", "blackout", "start", "pause", "wake", "cut", "heal", "store", "deaf", "calm"}).Draw(rt, "op") {
			case "accept":
				d.accept(false)
			case "odd":
				d.accept(true)
			case "storm":
				for range 8 {
					d.accept(rapid.Bool().Draw(rt, "odd"))
					d.pass(5 * step)
				}
			case "kill":
				if node.alive {
					d.kill(node)
				}
			case "lose":
				d.lose(node)
			case "blackout":
				for _, other := range d.nodes {
					if other != node && other.domain == node.domain {
						d.lose(other)
					}
				}
			case "start":
				if !node.alive {
					d.start(node)
				}
			case "pause":
				node.paused = true
			case "wake":
				node.paused = false
			case "cut":
				d.apart[pairKey(node, d.nodes[rapid.IntRange(0, len(d.nodes)-1).Draw(rt, "other")])] = true
			case "heal":
				d.apart = map[string]bool{}
			case "store":
				d.noLog[node.domain] = true
			case "deaf":
				d.documents.deaf = true
			case "calm":
				d.noLog, d.documents.deaf = map[string]bool{}, false
			}
			d.pass(time.Duration(rapid.IntRange(0, 60).Draw(rt, "wait")) * 5 * step)
		}
		d.apart, d.noLog, d.documents.deaf = map[string]bool{}, map[string]bool{}, false
		d.pass(2 * touch)
	})
}
