package view

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// worldWithVersions returns tables with the given numbers of upstreams of versions v1 (old)
// and v2 (target) of one service.
func worldWithVersions(now time.Time, old, target int) *table.World {
	w := table.New(wire.Member{ID: "vm", Owner: "here"}, table.DefaultParams(), suspect.NewTable(time.Now), now, 1)
	w.Config.State.Content.Services["s"] = config.Service{Name: "s"}
	for i := range old + target {
		version := "v1"
		if i >= old {
			version = "v2"
		}
		id := fmt.Sprint("m", i)
		w.Members[id] = &table.Member{Member: wire.Member{
			ID: id, Owner: id, Upstreams: []wire.Upstream{{ID: id + "/u", Service: "s", Version: version, Slots: 4}},
		}}
	}
	return w
}

// addRollout adds a rollout of v2 in the given phase to the tables.
func addRollout(w *table.World, now time.Time, phase rollout.Phase) *table.Rollout {
	order := rollout.Order{ID: 1, Service: "s", Target: "v2", Duration: 10 * time.Second}
	r := &table.Rollout{Record: order.Begin(rollout.Record{}, now).WithPhase(phase, ""), Since: now, PhaseSince: now, Evidence: rollout.NewEvidence()}
	w.Rollouts["s"] = r
	return r
}

func countVersions(list []Upstream) map[string]int {
	n := map[string]int{}
	for _, u := range list {
		n[u.Version]++
	}
	return n
}

func TestTrialGetsItsShareOfCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := worldWithVersions(now, 20, 20)
	addRollout(w, now, rollout.Trying)
	s := Build(w, nil).Services["s"]
	is.Equal(countVersions(s.Upstreams), map[string]int{"v1": 20})
	const calls = 10_000
	trialCalls, seen := 0, map[string]bool{}
	for range calls {
		if trial := s.Split.Trial(now); trial != nil {
			trialCalls++
			is.Equal(countVersions(trial.Upstreams)["v1"], 0)
			for _, u := range trial.Upstreams {
				seen[u.ID] = true
			}
		}
	}
	want := w.Plan(10*time.Second).Share(0, len(seen), 20)
	t.Logf("%d of %d calls, to %d upstreams", trialCalls, calls, len(seen))
	is.True(math.Abs(float64(trialCalls)/calls-want) < 0.002)
	is.True(len(seen) <= rollout.Canaries)
}

func TestPhaseSelectsVersions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		phase rollout.Phase
		stop  string
		want  map[string]int
	}{
		{rollout.Trying, "bad", map[string]int{"v1": 3}},
		{rollout.Moving, "", map[string]int{"v2": 2}},
		{rollout.Moving, "bad", map[string]int{"v1": 3}},
		{rollout.Completed, "", map[string]int{"v2": 2}},
		{rollout.Reverted, "", map[string]int{"v1": 3}},
	} {
		w := worldWithVersions(now, 3, 2)
		addRollout(w, now, c.phase).StopReason = c.stop
		is.Equal(countVersions(Build(w, nil).Services["s"].Upstreams), c.want)
	}
	w := worldWithVersions(now, 3, 2)
	addRollout(w, now, rollout.Completed).Settled = true
	is.Equal(countVersions(Build(w, nil).Services["s"].Upstreams), map[string]int{"v1": 3, "v2": 2})
}

func TestFallbackEndsWhileCallsMove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := worldWithVersions(now, 3, 2)
	addRollout(w, now, rollout.Moving)
	split := Build(w, nil).Services["s"].Split
	is.Equal(countVersions(split.Fallback(now).Upstreams), map[string]int{"v1": 3})
	is.True(split.Fallback(now.Add(w.Plan(10*time.Second).MoveTimeout())) == nil)
}

// TestOnlyVersionServesAllCalls covers a rollout of a version that is the only one: all
// upstreams run it already, or those of the old version have stopped. Without another
// version to take the rest, no call may be kept from the new one.
func TestOnlyVersionServesAllCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := worldWithVersions(now, 0, 4)
	addRollout(w, now, rollout.Trying)
	s := Build(w, nil).Services["s"]
	is.True(s.Split == nil)
	is.Equal(len(s.Upstreams), 4)
}
