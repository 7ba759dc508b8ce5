package system

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// noSuspects returns an empty table of suspects.
func noSuspects() *suspect.Table {
	return suspect.NewTable(func() time.Time { return time.Unix(1000, 0) })
}

// quarantine records three crashes at a daemon, each with the request as a suspect.
func quarantine(node *testNode, d suspect.Digest) {
	for i := range suspect.QuarantineThreshold {
		node.w.Suspects.RecordCrash(d, suspect.CrashID(100*uint64(d)+uint64(i)))
	}
}

// countQuarantining returns how many running daemons have a request in quarantine.
func (n *testNet) countQuarantining(d suspect.Digest) int {
	count := 0
	for _, node := range n.nodes {
		if node.alive && node.w.Suspects.CrashCount(d) >= suspect.QuarantineThreshold {
			count++
		}
	}
	return count
}

// TestQuarantineReachesAllAndSurvivesRestarts puts a request in quarantine at one daemon.
// All others must get the record at once, restarted daemons must get it from the others,
// and after a restart of all daemons they must get it from the store.
func TestQuarantineReachesAllAndSurvivesRestarts(t *testing.T) {
	is := is.New(t)
	n := newTestNetFor(t, 3, 4)
	n.publish("seed", baseConfig)
	n.converge(20 * time.Second)
	quarantine(n.nodes[7], 1)
	n.run(12 * tickInterval) // a tick and a message for each of five hops
	is.Equal(n.countQuarantining(1), len(n.nodes))
	for _, node := range n.nodes {
		n.kill(node)
		n.run(tickInterval)
		n.start(node)
		n.run(3 * time.Second)
		is.Equal(n.countQuarantining(1), len(n.nodes))
	}
	for _, node := range n.nodes {
		n.kill(node)
	}
	for _, node := range n.nodes {
		n.start(node)
	}
	is.Equal(n.countQuarantining(1), 0)
	n.run(3 * time.Second)
	is.Equal(n.countQuarantining(1), len(n.nodes))
}

// TestSuspectsReachAllDaemonsInFewHops guards against suspects that take longer to reach the
// last daemon as the fleet grows: each hop costs a tick and a message, whatever else the
// machine of the test is doing.
func TestSuspectsReachAllDaemonsInFewHops(t *testing.T) {
	is := is.New(t)
	const domains, perDomain, hops = 7, 14, 5
	n := newTestNetFor(t, domains, perDomain)
	n.publish("seed", baseConfig)
	n.converge(20 * time.Second)
	n.run(8 * time.Second) // until connections that were only used at the start are closed
	for round := range 5 {
		d := suspect.Digest(1 + round)
		n.nodes[7*round+3].w.Suspects.RecordCrash(d, 1)
		n.run(2 * (hops + 1) * tickInterval)
		for _, node := range n.nodes {
			is.Equal(node.w.Suspects.CrashCount(d), 1)
		}
	}
}

// TestQuarantineCrossesPartitionsThroughTheStore partitions each failure domain from the
// others. The record must reach all domains through the store. A domain that cannot reach
// the store either must get the record once it reaches the store or the others again.
func TestQuarantineCrossesPartitionsThroughTheStore(t *testing.T) {
	is := is.New(t)
	n := newTestNetFor(t, 3, 4)
	n.publish("seed", baseConfig)
	n.converge(20 * time.Second)
	for _, pair := range []string{"d0|d1", "d0|d2", "d1|d2"} {
		n.partitions[pair] = true
	}
	n.run(3 * time.Second)
	quarantine(n.nodes[1], 1)
	n.run(time.Second)
	is.Equal(n.countQuarantining(1), len(n.nodes))
	n.storeUnreachable["d2"] = true
	n.run(3 * time.Second)
	quarantine(n.nodes[1], 2)
	n.run(time.Second)
	is.Equal(n.countQuarantining(2), 8)
	n.storeUnreachable["d2"] = false
	n.run(4 * time.Second)
	is.Equal(n.countQuarantining(2), len(n.nodes))
	// An answer at one daemon clears the request everywhere, also in the store.
	n.partitions = map[string]bool{}
	n.run(4 * time.Second)
	n.nodes[11].w.Suspects.Answered(2)
	n.run(4 * time.Second)
	is.Equal(n.countQuarantining(2), 0)
	is.Equal(n.countQuarantining(1), len(n.nodes))
	quarantined := 0
	for _, r := range n.storedQuarantine() {
		if r.Quarantined() {
			quarantined++
		}
	}
	is.Equal(quarantined, 1)
}

// TestExpiredQuarantineIsDeletedFromStore guards against records that stay in the store
// after they have expired.
func TestExpiredQuarantineIsDeletedFromStore(t *testing.T) {
	is := is.New(t)
	n := newTestNetFor(t, 2, 3)
	n.publish("seed", baseConfig)
	n.converge(20 * time.Second)
	n.writeQuarantine(suspect.Record{Digest: 9, Crashes: []suspect.CrashID{1, 2, 3}, At: n.now.Add(-suspect.Retention).UnixMilli() + 5000})
	n.run(time.Second)
	is.Equal(n.countQuarantining(9), len(n.nodes))
	n.run(8 * time.Second)
	is.Equal(len(n.storedQuarantine()), 0)
}

// TestExpiredQuarantineIsDeletedInOrder guards against deletions in the order of a map, which
// differs between two runs of the same seed.
func TestExpiredQuarantineIsDeletedInOrder(t *testing.T) {
	is := is.New(t)
	n := newTestNetFor(t, 1, 2)
	n.publish("seed", baseConfig)
	n.converge(20 * time.Second)
	i := slices.IndexFunc(n.nodes, func(node *testNode) bool { return readsQuarantine(node.w, n.now) })
	is.True(i >= 0) // one daemon reads the store
	w := n.nodes[i].w
	w.Quarantine = table.Quarantine{Read: true, Stored: map[suspect.Digest]suspect.Record{}, Due: map[suspect.Digest]time.Time{}}
	for d := suspect.Digest(1); d <= 20; d++ {
		w.Quarantine.Stored[d] = suspect.Record{Digest: d, At: n.now.Add(-2 * suspect.Retention).UnixMilli()}
		w.Quarantine.Due[d] = n.now
	}
	var out Outbox
	syncQuarantine(w, n.now, &out)
	is.Equal(len(out.DeleteQuarantine), 20)
	is.True(slices.IsSorted(out.DeleteQuarantine))
}

// TestOneReaderWritesEachRecord guards against needless calls to the store, which are
// expensive: of all daemons that read the store, only one may write a record.
func TestOneReaderWritesEachRecord(t *testing.T) {
	is := is.New(t)
	n := newTestNetFor(t, 4, 4)
	n.publish("seed", baseConfig)
	n.converge(20 * time.Second)
	n.quarantineWrites = 0
	quarantine(n.nodes[5], 1)
	n.run(5 * time.Second)
	is.Equal(n.countQuarantining(1), len(n.nodes))
	is.Equal(n.quarantineWrites, 1)
}

// TestEarlierReleasesGetNoSuspects guards against sending daemons of earlier releases a
// message that they do not know: they close the connection on which it arrives.
func TestEarlierReleasesGetNoSuspects(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	w.Suspects.RecordCrash(1, 1)
	out := Tick(w, at, []Input{
		Opened{Link: 1}, Opened{Link: 2},
		Received{Link: 1, Message: wire.Hello{ID: "early", Domain: "d", Incarnation: 1}},
		Received{Link: 2, Message: wire.Hello{ID: "late", Domain: "d", Incarnation: 1, Suspects: "0"}},
	})
	w.Suspects.RecordCrash(2, 1)
	out.Sends = append(out.Sends, Tick(w, at, []Input{SuspectsChanged{}}).Sends...)
	got := map[table.LinkID]int{}
	for _, s := range out.Sends {
		if m, ok := s.Message.(wire.Suspects); ok {
			got[s.Link] += len(m.Records)
		}
	}
	is.Equal(got[1], 0)
	is.True(got[2] >= 2)
}

// TestCrashPropagatesWithinBudget measures the cost of distributing one crash with 16
// suspects, of which 15 are cleared afterwards, to 95 and to 931 VMs. A daemon may send
// 22 KB/s of control traffic: the busiest daemon must send no more than that for the
// crash, and all daemons must have the record within 10 tick intervals.
func TestCrashPropagatesWithinBudget(t *testing.T) {
	const maxBytes = 22 << 10
	for _, f := range []struct{ domains, perDomain int }{{5, 19}, {7, 133}} {
		if testing.Short() && f.perDomain > 100 {
			continue
		}
		n := newLargeNet(t, f.domains, f.perDomain)
		n.run(8 * time.Second)
		n.sentBytes = map[string]int{}
		node := n.nodes[len(n.nodes)/2]
		for d := range 16 {
			node.w.Suspects.RecordCrash(suspect.Digest(d+1), 77)
		}
		ticks := 0
		for ; ticks < 50 && n.countSuspecting(16) < len(n.nodes); ticks++ {
			n.run(tickInterval)
		}
		for d := range 15 {
			n.nodes[d].w.Suspects.Answered(suspect.Digest(d + 1))
		}
		n.run(time.Second)
		busiest, sum := 0, 0
		for _, b := range n.sentBytes {
			busiest = max(busiest, b)
			sum += b
		}
		t.Logf("%d VMs: known to all in %d ticks; bytes before compression: busiest %d, mean %d", len(n.nodes), ticks, busiest, sum/len(n.nodes))
		if ticks > 10 || busiest > maxBytes {
			t.Errorf("%d VMs: known to all in %d ticks, busiest sends %d bytes: over a limit", len(n.nodes), ticks, busiest)
		}
	}
}

// countSuspecting returns how many daemons have a record of a crash with the request as a
// suspect.
func (n *testNet) countSuspecting(d suspect.Digest) int {
	count := 0
	for _, node := range n.nodes {
		if node.w.Suspects.CrashCount(d) > 0 {
			count++
		}
	}
	return count
}

// newLargeNet returns a network whose daemons already know each other. It uses the default
// parameters, which are those for the largest fleet that the system is designed for.
func newLargeNet(t *testing.T, domains, perDomain int) *testNet {
	t.Helper()
	n := newTestNetFor(t, domains, perDomain)
	for _, node := range n.nodes {
		p := table.DefaultParams()
		node.w.Params = p
		for _, other := range n.nodes {
			if other != node {
				m := other.w.Self
				node.w.Members[m.ID] = &table.Member{Member: m, RenewedAt: n.now}
				node.w.ClaimAddress(m)
			}
		}
		node.w.MembersChanged()
	}
	return n
}

// storedQuarantine returns the records in the store.
func (n *testNet) storedQuarantine() []suspect.Record {
	var out []suspect.Record
	for _, data := range n.quarantineStore {
		var r suspect.Record
		if err := json.Unmarshal(data, &r); err != nil {
			n.fatalf("%v", err)
		}
		out = append(out, r)
	}
	return out
}

// writeQuarantine writes a record to the store.
func (n *testNet) writeQuarantine(r suspect.Record) {
	b, err := json.Marshal(r)
	if err != nil {
		n.fatalf("%v", err)
	}
	n.quarantineStore[r.Digest] = b
	n.quarantineVersion++
	n.quarantineWrites++
}

// serveQuarantine carries out the requests of a tick to the store's quarantine records.
func (n *testNet) serveQuarantine(node *testNode, out Outbox) {
	if n.storeUnreachable[node.domain] {
		return
	}
	for _, r := range out.StoreQuarantine {
		n.writeQuarantine(r)
	}
	for _, d := range out.DeleteQuarantine {
		delete(n.quarantineStore, d)
	}
	if out.ReadQuarantine && node.lastQuarantineRead != fmt.Sprint(node.incarnation, n.quarantineVersion) {
		node.lastQuarantineRead = fmt.Sprint(node.incarnation, n.quarantineVersion)
		node.inputs = append(node.inputs, QuarantineRead{Records: n.storedQuarantine(), Complete: true})
	}
}
