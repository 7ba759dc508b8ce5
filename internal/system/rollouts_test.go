package system

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// serveRollouts is the store as daemons use it for roll-outs.
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
	for _, rec := range out.AgreeRollouts {
		r, end := read()
		if r.Err == nil && followsAll(rec, r.Records) {
			data, _ := json.Marshal(rec)
			if r.Err = n.log.AppendKeyedAt(ctx, store.RolloutTopic, rec.Service, data, end); r.Err == nil {
				r.Records = []rollout.Record{rec}
				n.agreed = append(n.agreed, rec)
			}
		}
		node.inputs = append(node.inputs, r)
	}
	for _, rec := range out.TellRollouts {
		if !n.storeUnreachable[node.domain] {
			n.published = append(n.published, rec)
			node.inputs = append(node.inputs, RolloutTold{Record: rec})
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

// rolloutNet is a roll-out in a net with traffic.
type rolloutNet struct {
	n     *testNet
	rng   *rand.Rand
	views map[*testNode]*view.View
	// failureRate is the part of the new version's answers that fail, from the time badFrom on.
	failureRate float64
	failingFrom time.Time
	order       rollout.Order
	orderedAt   time.Time
	// calls counts those to the service since the order, exposed those to the new
	// version, and staleCalls those to the other version after the roll-out was completed.
	calls, exposed, staleCalls int
	// routes is how many lead to the service.
	routes int
	// newVersionUp is set once upstreams of it are there.
	newVersionUp bool
	nextAnnounce time.Time
}

const (
	// callsPerTick is how many calls enter at each daemon in a step of 20 ms.
	callsPerTick = 1
	// baselineFailureRate is the part of all answers that fails anyway.
	baselineFailureRate = 0.01
)

// newRolloutNet returns a net whose daemons each have an upstream of version v1.
func newRolloutNet(t *testing.T, number uint64, domains, perDomain int) *rolloutNet {
	r := &rolloutNet{n: newTestNetFor(t, domains, perDomain), rng: rand.New(rand.NewPCG(number, number)), views: map[*testNode]*view.View{}, routes: 1}
	r.n.publish("seed", baseConfig)
	r.announce()
	r.n.converge(20 * time.Second)
	r.run(5 * time.Second)
	return r
}

// announce renews the upstreams of all daemons.
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
				Upstream: wire.Upstream{ID: id, Service: rolloutService, Version: v, Slots: 4}, Name: id, Life: id, Addr: "127.0.0.1:1" + id,
			}})
		}
	}
}

// orderRollout orders the roll-out: every root reads it, a little later the upstreams are there.
func (r *rolloutNet) orderRollout(d time.Duration) {
	r.orderedAt = r.n.now
	r.order = rollout.Order{ID: r.order.ID + 1, Service: rolloutService, Target: "v2", Duration: d}
	r.newVersionUp = true
	r.announce()
}

// run lets time pass, with traffic.
func (r *rolloutNet) run(d time.Duration) {
	for end := r.n.now.Add(d); r.n.now.Before(end); {
		if !r.n.now.Before(r.nextAnnounce) {
			r.announce()
		}
		for _, node := range r.n.nodes {
			if node.alive && node.w.MembersTree.Root && !r.n.storeUnreachable[node.domain] && r.order.ID > 0 {
				node.inputs = append(node.inputs, Ordered{Orders: []rollout.Order{r.order}})
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

// traffic lets calls enter at a daemon, as its call path carries them.
func (r *rolloutNet) traffic(node *testNode) {
	if r.views[node] == nil || node.viewOutdated {
		r.views[node] = view.Build(node.w, r.views[node])
		node.viewOutdated = false
	}
	v := r.views[node]
	s := v.Services[rolloutService]
	if s == nil || !v.Ready {
		return // it has just started
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
		fails := baselineFailureRate
		if u.Version == "v2" && !r.failingFrom.IsZero() && !r.n.now.Before(r.failingFrom) {
			fails = r.failureRate
		}
		if s.Split != nil {
			s.Split.Note(r.n.now, view.Ran{Route: fmt.Sprint("route-", r.rng.IntN(r.routes)), Upstream: u, Failed: r.rng.Float64() < fails, Took: time.Millisecond})
		}
	}
}

func (r *rolloutNet) count(node *testNode, u view.Upstream) {
	if r.order.ID == 0 {
		return
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

// finalPhase returns how the roll-out has finalPhase on all daemons, or says which differs.
func (r *rolloutNet) finalPhase(t *testing.T) rollout.Phase {
	t.Helper()
	var phase rollout.Phase
	for i, node := range r.n.nodes {
		ro := node.w.Rollouts[rolloutService]
		if ro == nil {
			t.Fatalf("%s knows no roll-out", node.id)
		}
		if i > 0 && ro.Phase != phase {
			t.Fatalf("%s: %s, others %s", node.id, ro.Phase, phase)
		}
		phase = ro.Phase
	}
	return phase
}

// exposureLimit is how many calls a bad version may get.
func (r *rolloutNet) exposureLimit() int { return r.calls/10 + 50 }

func TestGoodVersionIsCompletedInTime(t *testing.T) {
	is := is.New(t)
	r := newRolloutNet(t, 1, 3, 5)
	r.orderRollout(12 * time.Second)
	r.run(12 * time.Second)
	is.Equal(r.finalPhase(t), rollout.Completed)
	is.Equal(r.staleCalls, 0)
	is.Equal(r.n.published[len(r.n.published)-1].Phase, rollout.Completed)
	is.True(len(r.n.agreed) == 3) // each phase once
}

// TestBadVersionIsExposedNoMoreThanAllowed plays versions that are bad from the start and
// from later on.
func TestBadVersionIsExposedNoMoreThanAllowed(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		r := newRolloutNet(t, seed, 3, 5)
		r.orderRollout(12 * time.Second)
		r.failureRate, r.failingFrom = 0.3+0.1*float64(seed), r.orderedAt.Add(time.Duration(seed)*500*time.Millisecond)
		r.run(12 * time.Second)
		is.Equal(r.finalPhase(t), rollout.Reverted)
		t.Logf("seed %d: %d of %d calls went to the bad version, %d allowed; %s", seed, r.exposed, r.calls, r.exposureLimit(), r.n.nodes[0].w.Rollouts[rolloutService].Why)
		is.True(r.exposed <= r.exposureLimit())
		before := r.exposed
		r.run(5 * time.Second)
		is.Equal(r.exposed, before) // and none ever after
	}
}

// TestNewVersionWithoutAnOrderIsServed lets upstreams of another version appear, as in a
// plain replacement.
func TestNewVersionWithoutAnOrderIsServed(t *testing.T) {
	is := is.New(t)
	r := newRolloutNet(t, 1, 2, 3)
	r.newVersionUp = true
	r.announce()
	split := func() bool { return r.views[r.n.nodes[0]].Services[rolloutService].Split != nil }
	r.run(time.Second)
	is.True(split()) // an order may be on its way
	r.run(testParams().InForce)
	is.True(!split())
	is.Equal(len(r.views[r.n.nodes[0]].Services[rolloutService].Upstreams), 12)
}

// TestOrderForAVersionThatNobodyRuns is reverted, and calls are served as before.
func TestOrderForAVersionThatNobodyRuns(t *testing.T) {
	is := is.New(t)
	r := newRolloutNet(t, 1, 2, 3)
	r.orderRollout(6 * time.Second)
	r.newVersionUp = false
	for _, node := range r.n.nodes {
		node.inputs = nil // as if they had never come
	}
	r.run(6 * time.Second)
	is.Equal(r.finalPhase(t), rollout.Reverted)
	is.Equal(r.exposed, 0)
}

// TestSecondOrderBarsTheFirstVersion gives an order while another runs.
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

// TestMalformedNewsOfRolloutsChangeNothing sends what no daemon would.
func TestMalformedNewsOfRolloutsChangeNothing(t *testing.T) {
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
		wire.Tally{Service: rolloutService, Order: before.ID, Domain: "d0", By: "x", Rows: []rollout.Row{{Count: rollout.Count{N: -5}}}},
		wire.Tally{Service: rolloutService, Order: before.ID, Domain: "d0", By: "x", Rows: []rollout.Row{{Cell: rollout.Cell{Target: true}, Count: rollout.Count{N: 5, Failed: 6}}}},
		wire.Tally{Service: "another", Order: 1}, wire.Tally{Service: rolloutService, Order: 77},
	} {
		Tick(node.w, r.n.now, []Input{Received{Link: link, Message: m}})
	}
	after := node.w.Rollouts[rolloutService]
	is.Equal(after.Record, before.Record)
	is.Equal(after.Stop, "")
	for _, d := range after.Domains {
		is.True(d.By != "x")
	}
}

// TestRolloutsUnderFaults plays roll-outs of good and bad versions while daemons are
// killed, failure domains are cut off, and the store is down: a bad version is never
// completed nor gets more than its part, all daemons end with the same, and phases only go
// forward.
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
		t.Errorf("a bad version is %s", phase)
	}
	if bad && r.exposed > r.exposureLimit() {
		t.Errorf("%d of %d calls went to a bad version", r.exposed, r.calls)
	}
	if !bad && phase != rollout.Completed {
		t.Errorf("a good version is %s: %s", phase, n.nodes[0].w.Rollouts[rolloutService].Why)
	}
	for i := 1; i < len(n.agreed); i++ {
		if !n.agreed[i].Follows(n.agreed[i-1]) {
			t.Errorf("%s was agreed after %s", n.agreed[i].Phase, n.agreed[i-1].Phase)
		}
	}
}

// TestRolloutCostsFewBytes measures what daemons send for a roll-out of a service with more
// routes than are counted apart, before compression, beside the 22 KB a second that control
// may take.
func TestRolloutCostsFewBytes(t *testing.T) {
	const most, lasts = 22_000, 6 * time.Second
	for _, size := range []struct{ domains, perDomain int }{{3, 5}, {3, 23}, {7, 19}} {
		r := newRolloutNet(t, 1, size.domains, size.perDomain)
		r.routes = 10
		r.orderRollout(2 * lasts)
		r.n.sentBytes = map[string]int{}
		r.run(lasts)
		sum, busiest := 0, 0
		for _, n := range r.n.sentBytes {
			sum += n
			busiest = max(busiest, n)
		}
		perSecond := func(n int) int { return int(float64(n) / lasts.Seconds()) }
		t.Logf("%d daemons: %d bytes a second in the mean, %d the busiest", len(r.n.nodes), perSecond(sum/len(r.n.nodes)), perSecond(busiest))
		if perSecond(busiest) > most {
			t.Errorf("%d daemons: %d bytes a second", len(r.n.nodes), perSecond(busiest))
		}
	}
}
