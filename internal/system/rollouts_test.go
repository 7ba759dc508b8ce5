package system

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform/store"
)

// rolloutService is the service that the tests roll out.
const rolloutService = "s"

// serveRollouts carries out the requests of a tick to the store's rollout records.
func (n *testNet) serveRollouts(node *testNode, out Outbox) {
	ctx := context.Background()
	read := func() (RolloutsRead, uint64) {
		if n.storeUnreachable[node.domain] {
			return RolloutsRead{Err: context.DeadlineExceeded}, 0
		}
		newest, err := n.log.Newest(ctx, store.RolloutTopic)
		r := RolloutsRead{Err: err}
		for _, e := range newest.Entries {
			var rec rollout.Record
			if err := json.Unmarshal(e.Data, &rec); err != nil {
				n.fatalf("%v", err)
			}
			r.Records = append(r.Records, rec)
		}
		return r, newest.End
	}
	if out.ReadRollouts {
		r, _ := read()
		node.inputs = append(node.inputs, r)
	}
	for _, rec := range out.CommitRollouts {
		r, end := read()
		if r.Err == nil && followsAll(rec, r.Records) {
			data, _ := json.Marshal(rec)
			if r.Err = n.log.AppendKeyedAt(ctx, store.RolloutTopic, rec.Service, data, end); r.Err == nil {
				r.Records = []rollout.Record{rec}
				n.committed = append(n.committed, rec)
			}
		}
		node.inputs = append(node.inputs, r)
	}
	for _, rec := range out.PublishRollouts {
		if !n.storeUnreachable[node.domain] {
			n.published = append(n.published, rec)
			node.inputs = append(node.inputs, RolloutPublished{Record: rec})
		}
	}
}

func followsAll(rec rollout.Record, held []rollout.Record) bool {
	for _, h := range held {
		if h.Service == rec.Service && !rec.Follows(h) {
			return false
		}
	}
	return true
}

// rolloutNet is a testNet with traffic, in which a service is rolled out.
type rolloutNet struct {
	n     *testNet
	rng   *rand.Rand
	views map[*testNode]*view.View
	// failureRate is the fraction of calls that the new version fails, from
	// failingFrom on.
	failureRate float64
	failingFrom time.Time
	order       rollout.Order
	orderedAt   time.Time
	// calls counts the calls to the service since the order and exposed those of them to
	// the new version, both until the rollout's duration has passed. staleCalls counts
	// the calls to the old version after the rollout completed.
	calls, exposed, staleCalls int
	// newVersionCalls counts all calls to the new version since the order.
	newVersionCalls int
	// routes is the number of routes to the service.
	routes int
	// newVersionUp is set while upstreams of the new version announce themselves.
	newVersionUp bool
	// nextAnnounce is when the upstreams next announce themselves.
	nextAnnounce time.Time
}

const (
	// callsPerTick is how many calls enter at each daemon per tick interval.
	callsPerTick = 1
	// baselineFailureRate is the fraction of calls that fail with any version.
	baselineFailureRate = 0.01
)

// newRolloutNet returns a network whose daemons each have an upstream of version v1.
func newRolloutNet(t *testing.T, number uint64, domains, perDomain int) *rolloutNet {
	r := &rolloutNet{n: newTestNetFor(t, domains, perDomain), rng: rand.New(rand.NewPCG(number, number)), views: map[*testNode]*view.View{}, routes: 1}
	r.n.publish("seed", baseConfig)
	r.announce()
	r.n.converge(20 * time.Second)
	r.run(5 * time.Second)
	return r
}

// announce announces the upstreams of all daemons.
func (r *rolloutNet) announce() {
	r.nextAnnounce = r.n.now.Add(time.Second)
	for _, node := range r.n.nodes {
		versions := []string{"v1"}
		if r.newVersionUp {
			versions = append(versions, "v2")
		}
		for _, v := range versions {
			id := node.id + "/" + v
			node.inputs = append(node.inputs, Announced{Local: table.Local{
				Upstream: wire.Upstream{ID: id, Service: rolloutService, Version: v, Slots: 4}, Name: id, Incarnation: id, Addr: "127.0.0.1:1" + id,
			}})
		}
	}
}

// orderRollout orders a rollout to v2 and announces the upstreams of v2. The roots read the
// order.
func (r *rolloutNet) orderRollout(d time.Duration) {
	r.orderedAt = r.n.now
	r.order = rollout.Order{ID: r.order.ID + 1, Service: rolloutService, Target: "v2", Duration: d}
	r.newVersionUp = true
	r.announce()
}

// run advances the time, with traffic.
func (r *rolloutNet) run(d time.Duration) {
	for end := r.n.now.Add(d); r.n.now.Before(end); {
		if !r.n.now.Before(r.nextAnnounce) {
			r.announce()
		}
		for _, node := range r.n.nodes {
			if node.alive && node.w.MembersTree.Root && !r.n.storeUnreachable[node.domain] && r.order.ID > 0 {
				node.inputs = append(node.inputs, OrdersRead{Orders: []rollout.Order{r.order}})
			}
		}
		r.n.run(tickInterval)
		for _, node := range r.n.nodes {
			if node.alive {
				r.traffic(node)
			}
		}
	}
}

// traffic runs the calls that enter at a daemon in a tick, as the call path does.
func (r *rolloutNet) traffic(node *testNode) {
	if r.views[node] == nil || node.viewOutdated {
		r.views[node] = view.Build(node.w, r.views[node])
		node.viewOutdated = false
	}
	v := r.views[node]
	s := v.Services[rolloutService]
	if s == nil || !v.Ready {
		return // the daemon has just started
	}
	for range callsPerTick {
		list := s.Upstreams
		if s.Split != nil {
			if trial := s.Split.Trial(r.n.now); trial != nil {
				list = trial.Upstreams
			}
		}
		if len(list) == 0 {
			continue
		}
		u := list[r.rng.IntN(len(list))]
		r.count(node, u)
		failureRate := baselineFailureRate
		if u.Version == "v2" && !r.failingFrom.IsZero() && !r.n.now.Before(r.failingFrom) {
			failureRate = r.failureRate
		}
		if s.Split != nil {
			s.Split.Note(r.n.now, view.CallResult{Route: fmt.Sprint("route-", r.rng.IntN(r.routes)), Upstream: u, Failed: r.rng.Float64() < failureRate, Took: time.Millisecond})
		}
	}
}

func (r *rolloutNet) count(node *testNode, u view.Upstream) {
	if r.order.ID == 0 {
		return
	}
	if u.Version == "v2" {
		r.newVersionCalls++
	}
	if r.n.now.Before(r.orderedAt.Add(r.order.Duration)) {
		r.calls++
		if u.Version == "v2" {
			r.exposed++
		}
	}
	if ro := node.w.Rollouts[rolloutService]; ro != nil && ro.Phase == rollout.Completed && u.Version == "v1" {
		r.staleCalls++
	}
}

// finalPhase returns the phase of the rollout, and fails unless all daemons agree on it.
func (r *rolloutNet) finalPhase(t *testing.T) rollout.Phase {
	t.Helper()
	var phase rollout.Phase
	for i, node := range r.n.nodes {
		ro := node.w.Rollouts[rolloutService]
		if ro == nil {
			t.Fatalf("%s has no record of the rollout", node.id)
		}
		if i > 0 && ro.Phase != phase {
			t.Fatalf("%s is in phase %s, other daemons in %s", node.id, ro.Phase, phase)
		}
		phase = ro.Phase
	}
	return phase
}

// exposureLimit returns how many calls a bad version may get.
func (r *rolloutNet) exposureLimit() int { return r.calls/10 + 50 }

func TestGoodVersionIsCompletedInTime(t *testing.T) {
	is := is.New(t)
	r := newRolloutNet(t, 1, 3, 5)
	r.orderRollout(12 * time.Second)
	r.run(12 * time.Second)
	is.Equal(r.finalPhase(t), rollout.Completed)
	is.Equal(r.staleCalls, 0)
	is.Equal(r.n.published[len(r.n.published)-1].Phase, rollout.Completed)
	is.True(len(r.n.committed) == 3) // each phase is committed once
}

// TestBadVersionIsExposedNoMoreThanAllowed rolls out versions that fail from the start, or
// begin to fail later: each must be reverted before it gets more calls than allowed.
func TestBadVersionIsExposedNoMoreThanAllowed(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		r := newRolloutNet(t, seed, 3, 5)
		r.orderRollout(12 * time.Second)
		r.failureRate, r.failingFrom = 0.3+0.1*float64(seed), r.orderedAt.Add(time.Duration(seed)*500*time.Millisecond)
		r.run(12 * time.Second)
		is.Equal(r.finalPhase(t), rollout.Reverted)
		t.Logf("seed %d: %d of %d calls went to the bad version, limit %d; %s", seed, r.exposed, r.calls, r.exposureLimit(), r.n.nodes[0].w.Rollouts[rolloutService].Why)
		is.True(r.exposed <= r.exposureLimit())
		before := r.newVersionCalls
		r.run(5 * time.Second)
		is.Equal(r.newVersionCalls, before) // none after the revert
	}
}

// TestRolledBackIsPublishedAfterTheLastCall guards against calls to a version that operators read
// to be rolled back, and whose upstreams they may stop. Messages between daemons are slow, so
// that the last daemon hears of the revert well after the store.
func TestRolledBackIsPublishedAfterTheLastCall(t *testing.T) {
	for seed := range uint64(6) {
		r := newRolloutNet(t, seed, 3, 5)
		r.n.extraDelay = func() time.Duration { return time.Duration(r.rng.IntN(200)) * time.Millisecond }
		r.orderRollout(12 * time.Second)
		r.failureRate, r.failingFrom = 0.5, r.orderedAt
		for len(r.n.published) == 0 || r.n.published[len(r.n.published)-1].Phase != rollout.Reverted {
			if r.n.now.After(r.orderedAt.Add(r.order.Duration)) {
				t.Fatalf("seed %d: the bad version is not published as rolled back in time", seed)
			}
			r.run(tickInterval)
		}
		before := r.exposed
		r.run(time.Second)
		if late := r.exposed - before; late > 0 {
			t.Errorf("seed %d: %d calls to the version after it was published as rolled back, want none", seed, late)
		}
	}
}

// TestNewVersionWithoutAnOrderIsServed announces upstreams of another version without a
// rollout order, as when an operator simply replaces upstreams: the new ones must get calls
// once an order would have arrived.
func TestNewVersionWithoutAnOrderIsServed(t *testing.T) {
	is := is.New(t)
	r := newRolloutNet(t, 1, 2, 3)
	r.newVersionUp = true
	r.announce()
	split := func() bool { return r.views[r.n.nodes[0]].Services[rolloutService].Split != nil }
	r.run(time.Second)
	is.True(split()) // an order may still arrive
	r.run(testParams().InForce)
	is.True(!split())
	is.Equal(len(r.views[r.n.nodes[0]].Services[rolloutService].Upstreams), 12)
}

// TestVersionAtAnotherDaemonIsOnProbationAtOnce guards against a new version that is served like
// the others until a daemon next checks the versions: upstreams of it appear at one daemon, at
// different times after that check, and the others must serve it on probation from their
// first view that has it.
func TestVersionAtAnotherDaemonIsOnProbationAtOnce(t *testing.T) {
	const offset = 400 * time.Millisecond
	for i := range 6 {
		r := newRolloutNet(t, 1, 2, 3)
		r.run(time.Duration(i) * offset)
		first := r.n.nodes[0]
		unsplit := 0
		for end := r.n.now.Add(testParams().InForce); r.n.now.Before(end); {
			first.inputs = append(first.inputs, Announced{Local: table.Local{
				Upstream: wire.Upstream{ID: "new", Service: rolloutService, Version: "v2", Slots: 4}, Name: "new", Incarnation: "new", Addr: "127.0.0.1:2",
			}})
			r.run(tickInterval)
			for _, node := range r.n.nodes {
				s := r.views[node].Services[rolloutService]
				if s.Split == nil && slices.ContainsFunc(s.Upstreams, func(u view.Upstream) bool { return u.Version == "v2" }) {
					unsplit++
				}
			}
		}
		if unsplit > 0 {
			t.Errorf("appeared after %v: %d views serve the new version like the others, want none", time.Duration(i)*offset, unsplit)
		}
	}
}

// TestOrderForAbsentVersionIsReverted orders a version that no upstream runs: the rollout
// must be reverted and the old version must keep serving.
func TestOrderForAbsentVersionIsReverted(t *testing.T) {
	is := is.New(t)
	r := newRolloutNet(t, 1, 2, 3)
	r.orderRollout(6 * time.Second)
	r.newVersionUp = false
	for _, node := range r.n.nodes {
		node.inputs = nil // the announcements of v2 are lost
	}
	r.run(6 * time.Second)
	is.Equal(r.finalPhase(t), rollout.Reverted)
	is.Equal(r.exposed, 0)
}

// TestSecondOrderBarsTheFirstVersion orders another version during a rollout: the version
// of the first order must get no more calls.
func TestSecondOrderBarsTheFirstVersion(t *testing.T) {
	is := is.New(t)
	r := newRolloutNet(t, 1, 2, 3)
	r.orderRollout(12 * time.Second)
	r.run(2 * time.Second)
	r.order = rollout.Order{ID: r.order.ID + 1, Service: rolloutService, Target: "v3", Duration: 12 * time.Second}
	r.run(2 * time.Second)
	for _, node := range r.n.nodes {
		ro := node.w.Rollouts[rolloutService]
		is.Equal(ro.Target, "v3")
		is.Equal(ro.Barred, []string{"v2"})
		for _, u := range r.views[node].Services[rolloutService].Upstreams {
			is.Equal(u.Version, "v1")
		}
	}
}

// TestMalformedRolloutMessagesAreIgnored sends states and tallies that no daemon would
// send: they must not change the rollout.
func TestMalformedRolloutMessagesAreIgnored(t *testing.T) {
	is := is.New(t)
	r := newRolloutNet(t, 1, 1, 3)
	r.orderRollout(12 * time.Second)
	r.run(time.Second)
	node := r.n.nodes[0]
	before := *node.w.Rollouts[rolloutService]
	var link table.LinkID
	for id := range node.w.Links {
		link = id
	}
	good := stateOf(&before, r.n.now)
	older, noPhase, negative, noVersion := good, good, good, good
	older.ID, older.Phase = 0, rollout.Completed
	noPhase.ID, noPhase.Phase = 99, 7
	negative.ID, negative.AgeMs = 99, -1
	noVersion.ID, noVersion.Target = 99, ""
	for _, m := range []wire.Message{
		wire.Rollouts{States: []wire.RolloutState{older, noPhase, negative, noVersion}},
		wire.Tally{Service: rolloutService, OrderID: before.ID, Domain: "d0", AggregatedBy: "x", Rows: []rollout.Row{{Count: rollout.Count{N: -5}}}},
		wire.Tally{Service: rolloutService, OrderID: before.ID, Domain: "d0", AggregatedBy: "x", Rows: []rollout.Row{{Cell: rollout.Cell{Target: true}, Count: rollout.Count{N: 5, Failed: 6}}}},
		wire.Tally{Service: "another", OrderID: 1}, wire.Tally{Service: rolloutService, OrderID: 77},
	} {
		Tick(node.w, r.n.now, []Input{Received{Link: link, Message: m}})
	}
	after := node.w.Rollouts[rolloutService]
	is.Equal(after.Record, before.Record)
	is.Equal(after.StopReason, "")
	for _, d := range after.Domains {
		is.True(d.AggregatedBy != "x")
	}
}

// TestRolloutsUnderFaults rolls out good and bad versions while daemons are killed, failure
// domains are partitioned, or the store fails. A bad version must neither complete nor get
// more calls than allowed, all daemons must agree on the final phase, and the committed
// phases must only move forward.
func TestRolloutsUnderFaults(t *testing.T) {
	faults := []string{"none", "kill-deciders", "cut", "store-down", "store-loses", "all-restart"}
	for seed := range uint64(4 * len(faults)) {
		fault, bad := faults[seed%uint64(len(faults))], seed/uint64(len(faults))%2 == 1
		t.Run(fmt.Sprintf("%s-%t-%d", fault, bad, seed), func(t *testing.T) { testRolloutUnderFault(t, seed, fault, bad) })
	}
}

func testRolloutUnderFault(t *testing.T, seed uint64, fault string, bad bool) {
	r := newRolloutNet(t, seed, 3, 5)
	r.n.checkFloor = false
	r.orderRollout(12 * time.Second)
	if bad {
		r.failureRate, r.failingFrom = 0.5, r.orderedAt
	}
	r.run(time.Duration(500+r.rng.IntN(8000)) * time.Millisecond)
	n := r.n
	switch fault {
	case "kill-deciders":
		for _, node := range n.nodes {
			if node.w.MembersTree.Root && node.w.MembersTree.Rank == 0 {
				n.kill(node)
			}
		}
		r.run(1500 * time.Millisecond)
		for _, node := range n.nodes {
			if !node.alive {
				n.start(node)
			}
		}
		r.announce()
	case "cut":
		n.partitions["d0|d1"], n.partitions["d0|d2"] = true, true
		n.storeUnreachable["d0"] = true
		r.run(4 * time.Second)
		n.partitions, n.storeUnreachable = map[string]bool{}, map[string]bool{}
	case "store-down":
		n.log.SetFaults(devlog.Faults{Down: true})
		r.run(3 * time.Second)
		n.log.SetFaults(devlog.Faults{})
	case "store-loses":
		n.log.SetFaults(devlog.Faults{LoseAnswers: 3})
	case "all-restart":
		for _, node := range n.nodes {
			n.kill(node)
		}
		n.run(time.Second)
		for _, node := range n.nodes {
			n.start(node)
		}
		r.announce()
	}
	r.run(20 * time.Second)
	phase := r.finalPhase(t)
	if bad && phase != rollout.Reverted {
		t.Errorf("phase of the bad version: got %s, want reverted", phase)
	}
	if bad && r.exposed > r.exposureLimit() {
		t.Errorf("%d of %d calls went to the bad version, more than allowed", r.exposed, r.calls)
	}
	if !bad && phase != rollout.Completed {
		t.Errorf("phase of the good version: got %s, want completed: %s", phase, n.nodes[0].w.Rollouts[rolloutService].Why)
	}
	for i := 1; i < len(n.committed); i++ {
		if !n.committed[i].Follows(n.committed[i-1]) {
			t.Errorf("phase %s was committed after %s", n.committed[i].Phase, n.committed[i-1].Phase)
		}
	}
}

// TestRolloutCostsFewBytes guards against rollouts for which a daemon sends more than the
// control traffic allowed to it, 22 KB/s. It measures the bytes sent before compression, for
// a service with more routes than are counted separately.
func TestRolloutCostsFewBytes(t *testing.T) {
	const maxBytesPerSecond, duration = 22_000, 6 * time.Second
	for _, size := range []struct{ domains, perDomain int }{{3, 5}, {3, 23}, {7, 19}} {
		r := newRolloutNet(t, 1, size.domains, size.perDomain)
		r.routes = 10
		r.orderRollout(2 * duration)
		r.n.sentBytes = map[string]int{}
		r.run(duration)
		sum, busiest := 0, 0
		for _, n := range r.n.sentBytes {
			sum += n
			busiest = max(busiest, n)
		}
		perSecond := func(n int) int { return int(float64(n) / duration.Seconds()) }
		t.Logf("%d daemons: %d bytes/s in the mean, %d by the busiest", len(r.n.nodes), perSecond(sum/len(r.n.nodes)), perSecond(busiest))
		if perSecond(busiest) > maxBytesPerSecond {
			t.Errorf("%d daemons: the busiest sends %d bytes/s, more than allowed", len(r.n.nodes), perSecond(busiest))
		}
	}
}
