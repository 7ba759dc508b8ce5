package system

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/platform/store"
)

// testRevocationBound is the time after which a revoked key must admit no calls.
const testRevocationBound = 4 * time.Second

// acceptedChange is a change that the log has accepted.
type acceptedChange struct {
	position uint64
	at       time.Time
}

// revocations is a testNet that publishes revocations of keys, and checks that no daemon
// admits a call with a revoked key after the bound.
type revocations struct {
	*testNet
	changes []acceptedChange
}

// publishRevocation replaces the keys of the workspace, which revokes the former ones.
func (r *revocations) publishRevocation() {
	name := fmt.Sprint("keys", len(r.changes))
	ws := config.Workspace{Name: "ws", KeyHashes: []string{config.KeyHash(name)}}
	data, err := config.Record{Command: &config.Command{ID: name, Changes: []config.Change{{
		Verb: config.Put, Ref: config.Ref{Kind: config.KindWorkspace, Name: ws.Name}, Workspace: &ws,
	}}}}.Encode()
	if err != nil {
		r.fatalf("%v", err)
	}
	if offset, err := r.log.Append(context.Background(), store.ConfigTopic, data); err == nil {
		r.changes = append(r.changes, acceptedChange{position: offset + 1, at: r.now})
	}
}

// runAndCheck advances the time and checks each daemon at each tick. Paused daemons are
// checked too: when they resume, they process the messages that were sent meanwhile.
func (r *revocations) runAndCheck(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.run(tickInterval)
		for _, node := range r.nodes {
			if !node.alive || !node.w.Fresh.Timestamp.Fresh(r.bootTime(node), testRevocationBound) {
				continue
			}
			for _, c := range r.changes {
				if r.now.Sub(c.at) > testRevocationBound && node.w.Config.State.Position < c.position {
					r.fatalf("%s admits keys %v after they were revoked", node.id, r.now.Sub(c.at))
				}
			}
		}
	}
}

// TestRevokedKeysAdmitNoCalls guards against daemons that admit calls with a revoked key
// for longer than the bound. It generates histories of partitions, outages of the log,
// restarts, pauses, slow messages and changes of keys.
func TestRevokedKeysAdmitNoCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &revocations{testNet: newTestNet(rt.Fatalf, 3, 3)}
		r.testNet.revocationBound = testRevocationBound
		for _, node := range r.nodes {
			r.kill(node)
			r.start(node)
		}
		r.publish("seed", baseConfig)
		r.converge(20 * time.Second)
		maxDelayTicks := rapid.IntRange(0, 30).Draw(rt, "slow")
		r.extraDelay = func() time.Duration {
			return time.Duration(r.now.UnixNano()/int64(tickInterval)%int64(maxDelayTicks+1)) * tickInterval
		}
		for range rapid.IntRange(3, 25).Draw(rt, "ops") {
			node := r.nodes[rapid.IntRange(0, len(r.nodes)-1).Draw(rt, "node")]
			switch rapid.SampledFrom([]string{"revoke", "revoke", "kill", "start", "pause", "wake", "cut", "heal", "log", "store"}).Draw(rt, "op") {
			case "revoke":
				r.publishRevocation()
			case "kill":
				if node.alive && r.othersAlive(node) > 0 {
					r.kill(node)
				}
			case "start":
				if !node.alive && len(r.partitions) == 0 {
					r.start(node)
				}
			case "pause":
				node.paused = true
			case "wake":
				node.paused = false
			case "cut":
				r.partitions[domainPair(node, r.nodes[rapid.IntRange(0, len(r.nodes)-1).Draw(rt, "other")])] = true
			case "heal":
				r.partitions = map[string]bool{}
			case "log":
				r.storeUnreachable[node.domain] = !r.storeUnreachable[node.domain]
			case "store":
				r.log.SetFaults(devlog.Faults{Down: rapid.Bool().Draw(rt, "down")})
			}
			r.runAndCheck(time.Duration(rapid.IntRange(0, 60).Draw(rt, "wait")) * 5 * tickInterval)
		}
	})
}

// TestFreshnessPropagatesThroughNeighbours makes the store unreachable for some failure
// domains and then for all. The daemons must stay fresh while any neighbour reaches the
// store, become stale when none does, and be fresh again soon after one does.
func TestFreshnessPropagatesThroughNeighbours(t *testing.T) {
	is := is.New(t)
	n := newTestNetFor(t, 3, 6)
	n.revocationBound = testRevocationBound
	for _, node := range n.nodes {
		n.kill(node)
		n.start(node)
	}
	n.publish("seed", baseConfig)
	n.converge(20 * time.Second)
	oldestAge := func() (age time.Duration) {
		for _, node := range n.nodes {
			age = max(age, node.w.Fresh.Timestamp.Age(n.bootTime(node)))
		}
		return age
	}
	n.run(2 * time.Second)
	is.True(oldestAge() < testRevocationBound/4)
	n.storeUnreachable["d0"], n.storeUnreachable["d1"] = true, true
	n.run(2 * testRevocationBound)
	is.True(oldestAge() < testRevocationBound/4) // d2 confirms the freshness for all
	n.storeUnreachable["d2"] = true
	n.run(testRevocationBound)
	for _, node := range n.nodes {
		is.True(!node.w.Fresh.Timestamp.Fresh(n.bootTime(node), testRevocationBound))
		is.True(!node.w.Fresh.Known)
	}
	n.storeUnreachable["d1"] = false
	n.run(time.Second)
	is.True(oldestAge() < testRevocationBound/4)
}

// TestUnusableDocumentsDoNotRenewFreshness reads documents that cannot be used. They may
// revoke keys, so the document held is no longer known to be the newest.
func TestUnusableDocumentsDoNotRenewFreshness(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	bad := documentOf(9, 3)
	delete(bad.Content.Policies, "p")
	startedAt := time.Second
	ageAfter := func(r DocumentRead) time.Duration {
		startedAt += time.Second
		r.StartedAt = startedAt
		Tick(w, at, []Input{r})
		return startedAt - time.Duration(w.Fresh.Timestamp)
	}
	is.Equal(ageAfter(DocumentRead{Document: documentOf(5, 3)}), time.Duration(0))
	is.Equal(ageAfter(DocumentRead{}), time.Duration(0)) // nothing new
	is.Equal(ageAfter(DocumentRead{Err: errors.New("store did not answer")}), time.Second)
	is.Equal(ageAfter(DocumentRead{Document: bad}), 2*time.Second)
	is.Equal(ageAfter(DocumentRead{}), 3*time.Second) // nothing newer than the bad one
	is.Equal(ageAfter(DocumentRead{Err: &config.InvalidError{Err: errors.New("cut short")}}), 4*time.Second)
	is.Equal(ageAfter(DocumentRead{}), 5*time.Second)
	is.Equal(ageAfter(DocumentRead{Document: documentOf(11, 3)}), time.Duration(0))
}
