package system

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

const (
	// numberedInterval is the interval of the announcements of a numberedUpstream.
	numberedInterval = 870 * time.Millisecond
	// numberedLapse is how long its row is kept without an announcement.
	numberedLapse = 6 * time.Second
	// acknowledgeTime is how long after it says that it leaves an upstream takes for its daemon
	// to acknowledge that.
	acknowledgeTime = 400 * time.Millisecond
	// catchUpTime is how long after the start of its daemon an upstream may go without calls.
	catchUpTime = 4 * time.Second
)

// numberedUpstream is an upstream whose announcements bear sequence numbers and may arrive late.
type numberedUpstream struct {
	n        *testNet
	node     *testNode
	id       string
	sequence uint64
	// next is when it announces itself again. It does so until it is silent.
	next   time.Time
	silent bool
}

// newLeavingNet returns three daemons in failure domains of their own, and an upstream beside the
// second, which is no seed of the others.
func newLeavingNet(t *testing.T) (*testNet, *numberedUpstream) {
	t.Helper()
	n := newTestNetFor(t, 3, 1)
	for _, node := range n.nodes {
		node.w.Params.UpstreamLapse = numberedLapse
	}
	n.adjustParams = func(p *table.Params) { p.UpstreamLapse = numberedLapse }
	n.publish("a", "put service s")
	n.converge(5 * time.Second)
	u := &numberedUpstream{n: n, node: n.nodes[1], id: "i-1"}
	u.run(15 * time.Second)
	if !u.served() {
		t.Fatal("the upstream is not served before it leaves")
	}
	return n, u
}

// announcement returns the upstream's next announcement.
func (u *numberedUpstream) announcement(draining bool) Announced {
	u.sequence++
	return Announced{Local: table.Local{
		Upstream: wire.Upstream{ID: u.node.id + "/" + u.id, Service: "s", Slots: 4, Draining: draining},
		Name:     u.node.id + "/" + u.id, Incarnation: u.id, Process: u.id, Addr: "10.0.0.1:80", Sequence: u.sequence,
	}}
}

// send delivers an input to the daemon, if that is running.
func (u *numberedUpstream) send(in Input) {
	if u.node.alive {
		u.node.inputs = append(u.node.inputs, in)
	}
}

// run advances the time. It returns for how many ticks the daemon had the upstream accept calls.
func (u *numberedUpstream) run(d time.Duration) (served int) {
	for end := u.n.now.Add(d); u.n.now.Before(end); {
		if !u.silent && !u.n.now.Before(u.next) {
			u.send(u.announcement(false))
			u.next = u.n.now.Add(numberedInterval)
		}
		u.n.run(tickInterval)
		if u.served() {
			served++
		}
	}
	return served
}

// served reports whether the upstream accepts calls at its daemon.
func (u *numberedUpstream) served() bool {
	if !u.node.alive {
		return false
	}
	s := view.Build(u.node.w, nil).Services["s"]
	if s == nil {
		return false // the daemon has no configuration yet
	}
	for _, up := range s.Upstreams {
		if up.Local && up.ID == u.node.id+"/"+u.id {
			return true
		}
	}
	return false
}

// leavings are the ways in which an upstream says that it leaves.
var leavings = map[string]func(*numberedUpstream){
	"deregistered":    func(u *numberedUpstream) { u.send(Removed{Name: u.node.id + "/" + u.id}) },
	"announced":       func(u *numberedUpstream) { u.send(u.announcement(true)) },
	"stated-in-reply": func(u *numberedUpstream) { u.send(Deregistered{ID: u.node.id + "/" + u.id}) },
}

// restarts are the ways in which a daemon loses what it remembers.
var restarts = map[string]func(*testNet, *testNode){
	"kill": func(n *testNet, node *testNode) {
		n.kill(node)
		n.run(500 * time.Millisecond)
		n.start(node)
	},
	"stop": func(n *testNet, node *testNode) {
		node.inputs = append(node.inputs, Leave{})
		n.run(4500 * time.Millisecond)
		n.kill(node)
		n.run(500 * time.Millisecond)
		n.start(node)
	},
}

// TestLeavingUpstreamGetsNoCallsAfterARestartOfItsDaemon guards against calls to an upstream that
// is about to exit: its daemon acknowledged that, restarted, and took a late announcement from
// before for a new one.
func TestLeavingUpstreamGetsNoCallsAfterARestartOfItsDaemon(t *testing.T) {
	for leaving, leave := range leavings {
		for restart, restarted := range restarts {
			for _, late := range []time.Duration{time.Second, 2500 * time.Millisecond, 6 * time.Second, 10 * time.Second} {
				t.Run(fmt.Sprintf("%s-%s-%v", leaving, restart, late), func(t *testing.T) {
					n, u := newLeavingNet(t)
					held, sentAt := u.announcement(false), n.now
					u.silent = true
					leave(u)
					u.run(acknowledgeTime)
					if u.served() {
						t.Fatal("the upstream gets calls after its daemon has acknowledged that it leaves")
					}
					restarted(n, u.node)
					served := u.run(max(0, sentAt.Add(late).Sub(n.now)))
					u.send(held)
					served += u.run(5 * time.Second)
					if served > 0 {
						t.Errorf("the upstream got calls for %v after its daemon had acknowledged that it leaves", time.Duration(served)*tickInterval)
					}
				})
			}
		}
	}
}

// TestLeavingUpstreamGetsNoCallsAfterItsRowLapsed guards against calls to an upstream that is
// about to exit: its daemon removed its row when announcements were missing, also after a freeze,
// and with it the knowledge that the upstream leaves.
func TestLeavingUpstreamGetsNoCallsAfterItsRowLapsed(t *testing.T) {
	for leaving, leave := range leavings {
		for _, frozen := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s-frozen-%v", leaving, frozen), func(t *testing.T) {
				n, u := newLeavingNet(t)
				held := u.announcement(false)
				u.silent = true
				leave(u)
				u.run(acknowledgeTime)
				u.node.paused = frozen
				n.run(numberedLapse + time.Second)
				u.node.paused = false
				served := u.run(time.Second)
				u.send(held)
				served += u.run(5 * time.Second)
				if served > 0 {
					t.Errorf("the upstream got calls for %v after its daemon had acknowledged that it leaves", time.Duration(served)*tickInterval)
				}
			})
		}
	}
}

// TestLateAnnouncementOfADeadUpstreamShutsNobodyOut guards against a live upstream that gets no
// calls for minutes: a late announcement of the process that had its address before, which the
// daemon does not remember, was taken for that of a newer process.
func TestLateAnnouncementOfADeadUpstreamShutsNobodyOut(t *testing.T) {
	// The daemon forgets the dead process by a restart, or since its row lapses.
	for name, down := range map[string]time.Duration{"daemon-restarts": 2 * time.Second, "row-lapses": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			n, old := newLeavingNet(t)
			held := old.announcement(false)
			old.silent = true
			if name == "daemon-restarts" {
				for _, node := range n.nodes {
					n.kill(node)
				}
			}
			n.run(down)
			for _, node := range n.nodes {
				if !node.alive {
					n.start(node)
				}
			}
			u := &numberedUpstream{n: n, node: old.node, id: "i-2"}
			u.run(3 * time.Second)
			u.send(held)
			u.run(catchUpTime)
			const measured = 10 * time.Second
			if served := time.Duration(u.run(measured)) * tickInterval; served < measured {
				t.Errorf("the live upstream got calls for %v of %v after a late announcement of a dead one", served, measured)
			}
		})
	}
}

// TestRestartedDaemonServesItsReadyUpstreamSoon guards against upstreams without calls after a
// restart of their daemon, or of all daemons at once.
func TestRestartedDaemonServesItsReadyUpstreamSoon(t *testing.T) {
	for restart, restarted := range restarts {
		t.Run(restart, func(t *testing.T) {
			n, u := newLeavingNet(t)
			restarted(n, u.node)
			checkServedSoon(t, u)
		})
	}
	t.Run("all", func(t *testing.T) {
		n, u := newLeavingNet(t)
		for _, node := range n.nodes {
			n.kill(node)
		}
		n.run(500 * time.Millisecond)
		for _, node := range n.nodes {
			n.start(node)
		}
		checkServedSoon(t, u)
	})
}

// checkServedSoon fails the test unless the upstream gets calls within catchUpTime, and then on.
func checkServedSoon(t *testing.T, u *numberedUpstream) {
	t.Helper()
	began := u.n.now
	for !u.served() {
		if u.run(tickInterval); u.n.now.Sub(began) > catchUpTime {
			t.Fatalf("a ready upstream gets no calls %v after the start of its daemon", catchUpTime)
		}
	}
	t.Logf("served %v after the start", u.n.now.Sub(began))
	const measured = 20 * time.Second
	if served := time.Duration(u.run(measured)) * tickInterval; served < measured {
		t.Errorf("a ready upstream got calls for %v of %v", served, measured)
	}
}

// TestLeavingUpstreamGetsNoCallsAfterItsDaemonAndThePeersThatKnowRestart guards against calls to an
// upstream that is about to exit: its daemon and the daemons that it is connected to restart together.
// The others have been running for long and know nothing, and health checks are answered as healthy.
func TestLeavingUpstreamGetsNoCallsAfterItsDaemonAndThePeersThatKnowRestart(t *testing.T) {
	for leaving, leave := range leavings {
		t.Run(leaving, func(t *testing.T) {
			n := newTestNetFor(t, 3, 12)
			n.adjustParams = func(p *table.Params) { p.UpstreamLapse = numberedLapse }
			n.storeDelay = tickInterval
			n.extraDelay = func() time.Duration { return 100 * time.Millisecond }
			n.checkHealth = func(node *testNode, c HealthCheck) (HealthChecked, bool) {
				return HealthChecked{ID: c.ID, Process: "i-1", Healthy: true}, true
			}
			n.appendCommand(config.Command{ID: "a", Changes: []config.Change{{
				Verb: config.Put, Ref: config.Ref{Kind: config.KindService, Name: "s"}, Service: &config.Service{Name: "s", HealthPath: "/health"},
			}}})
			n.converge(5 * time.Second)
			u := &numberedUpstream{n: n, node: n.nodes[1], id: "i-1"}
			u.run(15 * time.Second)
			held := u.announcement(false)
			u.silent = true
			before := u.node.w.Memory.Changed
			leave(u)
			for seq := uint64(0); seq == 0 || !DeparturesHeld(u.node.w, seq, false); {
				u.run(tickInterval)
				if changed := u.node.w.Memory.Changed; changed > before {
					seq = changed
				}
			}
			killed := []*testNode{u.node}
			for _, node := range n.nodes {
				if row := node.w.Members[u.node.id]; node != u.node && row != nil && len(row.Departures) > 0 {
					killed = append(killed, node)
				}
			}
			for _, node := range killed {
				n.kill(node)
			}
			n.run(300 * time.Millisecond)
			for _, node := range killed {
				n.start(node)
			}
			served := u.run(1500 * time.Millisecond)
			u.send(held)
			served += u.run(5 * time.Second)
			if served > 0 {
				t.Errorf("the upstream got calls for %v after its daemon had acknowledged that it leaves", time.Duration(served)*tickInterval)
			}
			t.Logf("%d of %d daemons knew", len(killed), len(n.nodes))
		})
	}
}
