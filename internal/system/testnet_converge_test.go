package system

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/lang"
	"github.com/comfreygate/comfreygate/platform/store"
)

// publish appends a command in the configuration language to the log, as a daemon would.
func (n *testNet) publish(id, text string) {
	st, err := lang.Parse(text)
	if err != nil {
		n.fatalf("%s: %v", text, err)
	}
	n.appendCommand(config.Command{ID: id, Changes: st.Changes, IfVersion: st.IfVersion})
}

// appendCommand appends a command to the log.
func (n *testNet) appendCommand(c config.Command) {
	data, err := config.Record{Command: &c}.Encode()
	if err != nil {
		n.fatalf("%v", err)
	}
	_, _ = n.log.Append(context.Background(), store.ConfigTopic, data)
}

// converge ends all faults, starts all stopped daemons, and fails unless all daemons hold
// the newest state and know each other within the given time.
func (n *testNet) converge(within time.Duration) {
	n.partitions = map[string]bool{}
	n.storeUnreachable = map[string]bool{}
	n.log.SetFaults(devlog.Faults{})
	for _, node := range n.nodes {
		if !node.alive {
			n.start(node)
		}
	}
	problem := ""
	for end := n.now.Add(within); n.now.Before(end); {
		n.run(100 * time.Millisecond)
		if problem = n.unconverged(); problem == "" {
			return
		}
	}
	n.fatalf("daemons did not converge: %s", problem)
}

// unconverged returns why the daemons have not converged, or "" if they have.
func (n *testNet) unconverged() string {
	batch, err := n.log.Read(context.Background(), store.Query{Topic: store.ConfigTopic})
	if err != nil {
		return err.Error()
	}
	for _, node := range n.nodes {
		w := node.w
		switch {
		case w.Config.State.Position != batch.End:
			return fmt.Sprintf("%s holds position %d of %d, alarms %v", node.id, w.Config.State.Position, batch.End, w.Alarms)
		case !w.Ready || w.Self.Heartbeat.Applied != w.Config.State.Version:
			return node.id + " is not ready, or serves an older version than it holds"
		}
		for _, other := range n.nodes {
			if row := w.Members[other.id]; other != node && (row == nil || row.Lapsed) {
				return node.id + " has no live record of " + other.id
			}
		}
	}
	return ""
}

// newTestNetFor returns a network of running daemons, which reports failures to t.
func newTestNetFor(t *testing.T, domains, perDomain int) *testNet {
	return newTestNet(func(f string, args ...any) { t.Helper(); t.Fatalf(f, args...) }, domains, perDomain)
}
