package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform/store"
)

const (
	// configReadWait and quarantineReadWait are how long reads wait at the store for a new
	// record, as in package agent.
	configReadWait     = 5 * time.Second
	quarantineReadWait = 10 * time.Second
)

// polledStore serves the reads of daemons as package agent does: one read of the configuration
// and one of the quarantine at a time, each of which waits for a new record. It counts them by
// kind.
type polledStore struct {
	log   *devlog.Log
	reads map[string]int
	// latency is the time of a read that does not wait.
	latency           time.Duration
	config            map[*testNode]*polledRead
	quarantine        map[*testNode]*polledRead
	followsQuarantine map[*testNode]bool
	// listed are the addresses on the log.
	listed []string
}

// polledRead is a read in progress.
type polledRead struct {
	from      uint64
	startedAt time.Duration
	began     time.Time
	wait      time.Duration
}

func newPolledStore(latency time.Duration) *polledStore {
	return &polledStore{
		log: devlog.New(), reads: map[string]int{}, latency: latency,
		config: map[*testNode]*polledRead{}, quarantine: map[*testNode]*polledRead{}, followsQuarantine: map[*testNode]bool{},
	}
}

// serve carries out the requests of a tick.
func (s *polledStore) serve(n *testNet, node *testNode, out Outbox) {
	if out.ReadLog && !n.now.Before(out.ReadAfter) && s.config[node] == nil {
		s.reads["configuration"]++
		r := &polledRead{from: out.ReadFrom, startedAt: n.bootTime(node), began: n.now, wait: configReadWait}
		if out.ReadWithoutWait {
			r.wait = 0
		}
		s.config[node] = r
	}
	if out.ReadQuarantine && s.quarantine[node] == nil {
		s.reads["quarantine"]++
		r := &polledRead{began: n.now}
		if s.followsQuarantine[node] {
			r.wait = quarantineReadWait
		}
		s.quarantine[node], s.followsQuarantine[node] = r, true
	}
	if out.PublishSelf {
		s.listed = append(s.listed, node.id)
	}
	if out.FindSeeds {
		s.reads["addresses"]++
		node.inputs = append(node.inputs, SelfListed{Others: len(s.listed)})
		if k := len(s.listed); k > 0 {
			node.inputs = append(node.inputs, SeedsFound{Addrs: s.listed[max(0, k-64):]})
		}
	}
	s.endReads(n, node)
}

// endReads returns the results of the reads of a daemon that have ended.
func (s *polledStore) endReads(n *testNet, node *testNode) {
	if r := s.config[node]; r != nil && n.now.Sub(r.began) >= s.latency {
		// The context is never cancelled, and no fault is injected.
		batch, _ := s.log.Read(context.Background(), store.Query{Topic: store.ConfigTopic, From: r.from})
		if len(batch.Entries) > 0 || n.now.Sub(r.began) >= s.latency+r.wait {
			delete(s.config, node)
			node.inputs = append(node.inputs, LogRead{From: r.from, Batch: batch, StartedAt: r.startedAt})
		}
	}
	if r := s.quarantine[node]; r != nil && n.now.Sub(r.began) >= s.latency+r.wait {
		delete(s.quarantine, node)
		node.inputs = append(node.inputs, QuarantineRead{Complete: r.wait == 0})
	}
}

func (s *polledStore) total() int {
	sum := 0
	for _, n := range s.reads {
		sum += n
	}
	return sum
}

// startSlowFleet starts n daemons in seven failure domains at the same time, each of which runs
// a tick only every slowness tick intervals and receives its messages as much later. It
// returns the store, which holds a configuration, and the time after which the configuration
// is in force on all daemons and all know each other.
func startSlowFleet(t *testing.T, n, slowness int) (*polledStore, time.Duration) {
	const (
		domains = 7
		// records is larger than what one read returns.
		records = 1200
		limit   = 2 * time.Minute
	)
	delay := time.Duration(slowness-1) * tickInterval
	rng := rand.New(rand.NewPCG(1, uint64(slowness)))
	net := &testNet{
		fatalf: func(f string, args ...any) { t.Fatalf(f, args...) },
		now:    time.Unix(1_700_000_000, 0), partitions: map[string]bool{}, storeUnreachable: map[string]bool{}, hashAt: map[string]string{},
		polled: newPolledStore(time.Duration(slowness) * tickInterval),
	}
	if delay > 0 {
		net.extraDelay = func() time.Duration { return time.Duration(rng.Int64N(int64(delay))) }
	}
	net.log = net.polled.log
	for i := range records {
		net.publish(fmt.Sprint("r", i), fmt.Sprintf("put service s%d", i%37))
	}
	for i := range n {
		id := fmt.Sprintf("vm-%03d", i)
		node := &testNode{id: id, domain: fmt.Sprintf("d%d", i%domains), index: i, alive: true}
		p := table.DefaultParams()
		p.Grace = 500 * time.Millisecond
		if i > 0 {
			p.Seeds = []string{"vm-000", fmt.Sprintf("vm-%03d", i/2)}
		}
		self := wire.Member{ID: id, Domain: node.domain, Peer: id, Owner: id, Incarnation: uint64(i + 1)}
		node.w = table.New(self, p, noSuspects(), net.now, uint64(i+1))
		net.nodes = append(net.nodes, node)
	}
	began := net.now
	for step := 0; net.now.Sub(began) < limit; step++ {
		done := true
		for i, node := range net.nodes {
			node.paused = (step+i)%slowness != 0
			done = done && len(node.w.Members) == n-1 && node.w.Self.Heartbeat.Applied == records
		}
		if done {
			return net.polled, net.now.Sub(began)
		}
		net.run(tickInterval)
	}
	t.Fatalf("configuration not in force on all of %d daemons after %v", n, limit)
	return nil, 0
}

// TestSlowStartReadsLogAsRarely guards against a start of the whole fleet that reads the log
// more often the longer it takes, as on a busy machine. While daemons did not know all members
// yet, nearly all of them read the configuration and the quarantine like roots: 691 reads by
// 120 daemons in a start that took 8.3 s.
func TestSlowStartReadsLogAsRarely(t *testing.T) {
	const (
		daemons           = 120
		maxReadsPerDaemon = 5
	)
	var usual, took time.Duration
	for _, slowness := range []int{1, 24} {
		var s *polledStore
		s, took = startSlowFleet(t, daemons, slowness)
		t.Logf("ticks every %v: start took %v, %d reads: %v", time.Duration(slowness)*tickInterval, took, s.total(), s.reads)
		if usual == 0 {
			usual = took
		}
		if s.total() > maxReadsPerDaemon*daemons {
			t.Errorf("start that took %v caused %d reads of the log, want at most %d per daemon", took, s.total(), maxReadsPerDaemon)
		}
	}
	if took < 3*usual {
		t.Errorf("slow start took %v, want at least 3 times as long as the usual one, which took %v", took, usual)
	}
}
