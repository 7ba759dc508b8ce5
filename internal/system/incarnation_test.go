package system

import (
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// TestDaemonWhoseClockWasSetBackIsBelieved guards against a daemon whose records the others ignore until
// its clock has caught up: its earlier incarnation was started while its clock was ahead.
func TestDaemonWhoseClockWasSetBackIsBelieved(t *testing.T) {
	n, u := newLeavingNet(t)
	n.kill(u.node)
	n.run(time.Second)
	n.start(u.node)
	u.node.w.Self.Incarnation -= uint64(time.Hour)
	u.run(catchUpTime)
	for _, other := range n.nodes {
		if other == u.node {
			continue
		}
		row := other.w.Members[u.node.id]
		if row.Incarnation != u.node.w.Self.Incarnation || len(row.Upstreams) != 1 {
			t.Errorf("%s holds incarnation %d of %s with %d upstreams, want %d with 1", other.id, row.Incarnation, u.node.id, len(row.Upstreams), u.node.w.Self.Incarnation)
		}
	}
}

// TestSecondDaemonOfAVMIsReported guards against two daemons that run as one VM and replace each other's
// records without end.
func TestSecondDaemonOfAVMIsReported(t *testing.T) {
	n, u := newLeavingNet(t)
	own := u.node.w.Self.Incarnation
	for i := range uint64(3) {
		u.node.inputs = append(u.node.inputs, Received{Link: anyLink(u.node.w), Message: wire.Members{Records: []wire.Member{{ID: u.node.id, Incarnation: own + 1 + i}}}})
		n.run(time.Second)
	}
	if u.node.w.Self.Incarnation != own {
		t.Error("a daemon that has been running for long takes a later incarnation")
	}
	if u.node.w.Alarms[AlarmDuplicate] == "" {
		t.Error("no alarm is raised")
	}
}

// anyLink returns a connection of the daemon.
func anyLink(w *table.World) table.LinkID { return sortedKeys(w.Links)[0] }
