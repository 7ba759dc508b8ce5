package system

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// startupCosts simulates the store during a cold start of all daemons, and counts what the
// start costs each daemon.
type startupCosts struct {
	cost map[string]*startCost
	// published holds the IDs of the daemons whose addresses the store has appended.
	published []string
	// document is what the store holds.
	document config.Document
	// lastAppendDone is when the last of the appends is done.
	lastAppendDone time.Time
	appends        []addressAppend
	// down is set while the store answers no request.
	down bool
	// withoutDomain reports whether a daemon publishes its address as daemons of earlier builds
	// do, without its failure domain. If nil, none does.
	withoutDomain func(*testNode) bool
}

// addressAppend is an append of a daemon's addresses. The store carries out one at a time.
type addressAppend struct {
	at   time.Time
	node *testNode
}

// startCost is the cost of a cold start for one daemon.
type startCost struct {
	records, pulls, messages, dials int
	// finds and reads are requests to the store: for addresses, and for the
	// configuration.
	finds, reads int
	nextRead     time.Time
}

// costOf returns the cost counted for a daemon.
func (s *startupCosts) costOf(node *testNode) *startCost {
	c := s.cost[node.id]
	if c == nil {
		c = &startCost{}
		s.cost[node.id] = c
	}
	return c
}

// record counts the costs of a tick of a daemon, and answers its requests to the store.
func (s *startupCosts) record(n *testNet, node *testNode, out Outbox) {
	c := s.costOf(node)
	c.messages += len(out.Sends)
	c.dials += len(out.Dials)
	for _, m := range out.Sends {
		switch v := m.Message.(type) {
		case wire.Members:
			c.records += len(v.Records)
		case wire.MembersPull:
			c.pulls++
		}
	}
	if s.down {
		if out.ReadLog && !n.now.Before(c.nextRead) {
			c.nextRead = n.now.Add(readRetryDelay)
			node.inputs = append(node.inputs, DocumentRead{Err: errors.New("store did not answer")})
		}
		return
	}
	if out.PublishSelf {
		s.lastAppendDone = latestTime(s.lastAppendDone, n.now).Add(4 * time.Millisecond)
		s.appends = append(s.appends, addressAppend{s.lastAppendDone, node})
	}
	for len(s.appends) > 0 && !s.appends[0].at.After(n.now) {
		id := s.appends[0].node.id
		s.published = append(slices.DeleteFunc(s.published, func(listed string) bool { return listed == id }), id)
		s.appends = s.appends[1:]
	}
	if out.ReadLog && !n.now.Before(c.nextRead) {
		c.reads++
		c.nextRead = n.now.Add(out.ReadWait)
		node.inputs = append(node.inputs, DocumentRead{Document: s.document})
	}
	if out.FindSeeds {
		c.finds++
		node.inputs = append(node.inputs, SelfListed{Listed: slices.Contains(s.published, node.id), Others: len(s.published)})
		if k := len(s.published); k > 0 {
			found := SeedsFound{Addrs: s.published[max(0, k-64):], Domains: map[string]string{}}
			for _, id := range found.Addrs {
				if s.withoutDomain == nil || !s.withoutDomain(n.node(id)) {
					found.Domains[id] = n.node(id).domain
				}
			}
			node.inputs = append(node.inputs, found)
		}
	}
}

// startFleet starts n daemons in five failure domains at the same time, with the settings of
// the production platform, and returns the costs and the time until all daemons know each
// other.
func startFleet(t testing.TB, n int) (*startupCosts, time.Duration) {
	const domains = 5
	net := &testNet{
		fatalf: func(f string, args ...any) { t.Fatalf(f, args...) },
		now:    time.Unix(1_700_000_000, 0), log: nil, partitions: map[string]bool{}, storeUnreachable: map[string]bool{}, hashAt: map[string]string{},
		startup: &startupCosts{document: documentOf(5, 20), cost: map[string]*startCost{}},
	}
	for i := range n {
		net.nodes = append(net.nodes, &testNode{id: fmt.Sprintf("vm-%04d", i), domain: fmt.Sprintf("d%d", i%domains), index: i, alive: true})
	}
	for i, node := range net.nodes {
		p := table.DefaultParams()
		p.Documents = true
		p.Window, p.Heartbeat, p.SilentAfter, p.Grace = 50*time.Millisecond, 500*time.Millisecond, 1500*time.Millisecond, 2*time.Second
		self := wire.Member{ID: node.id, Domain: node.domain, Peer: node.id, Owner: node.id, LinkMbps: []float64{10, 50, 1000}[i%3], Incarnation: uint64(i + 1)}
		node.w = table.New(self, p, noSuspects(), net.now, uint64(i+1))
	}
	began := net.now
	for net.now.Sub(began) < 30*time.Second {
		net.run(100 * time.Millisecond)
		known := 0
		for _, node := range net.nodes {
			if len(node.w.Members) == n-1 {
				known++
			}
		}
		if known == n {
			return net.startup, net.now.Sub(began)
		}
	}
	t.Fatalf("%d daemons do not all know each other after 30 s", n)
	return nil, 0
}

// TestColdStartCostPerDaemon guards against cold starts whose cost per daemon grows too
// fast with the size of the fleet. It starts fleets of n and of 4n daemons. The number of
// records that a daemon forwards, which are most of the cost, may grow like n log n, as for
// any broadcast over a tree; the number of its requests to other daemons and to the store no
// faster than log n. When each comparison of tables sent everything that might differ, the
// cost grew like n to the power of 1.4.
func TestColdStartCostPerDaemon(t *testing.T) {
	const small, large = 60, 4 * 60
	logRatio := math.Log(large) / math.Log(small)
	smallCosts, _ := startFleet(t, small)
	largeCosts, took := startFleet(t, large)
	t.Logf("%d daemons all know each other after %v", large, took)
	for _, c := range []struct {
		name      string
		of        func(startCost) int
		maxGrowth float64
	}{
		{"records forwarded", func(c startCost) int { return c.records }, large / small * logRatio},
		{"comparisons of tables", func(c startCost) int { return c.pulls }, logRatio},
		{"connections opened", func(c startCost) int { return c.dials }, logRatio},
		{"messages", func(c startCost) int { return c.messages }, logRatio},
		{"requests to the store", func(c startCost) int { return c.finds + c.reads }, logRatio},
	} {
		a, b := smallCosts.mean(c.of), largeCosts.mean(c.of)
		t.Logf("%s: %.1f and %.1f, %.2f times (limit %.2f)", c.name, a, b, b/a, c.maxGrowth)
		if b > a*c.maxGrowth {
			t.Errorf("%s per daemon grow too fast: %.1f with %d daemons, %.1f with %d", c.name, a, small, b, large)
		}
	}
	if listed := len(largeCosts.published); listed > 3*listedThreshold {
		t.Errorf("%d of %d daemons published their addresses in the store, want fewer", listed, large)
	}
}

// mean returns the mean of a cost over all daemons.
func (s *startupCosts) mean(of func(startCost) int) float64 {
	total := 0
	for _, c := range s.cost {
		total += of(*c)
	}
	return float64(total) / float64(len(s.cost))
}
