package soak

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/itest/fault"
	"github.com/comfreygate/comfreygate/itest/harness"
)

var (
	seed    = flag.Uint64("seed", 0, "play this seed alone")
	seeds   = flag.Int("seeds", 0, "play so many fresh seeds")
	minutes = flag.Float64("minutes", 0, "play fresh seeds for so long")
	seconds = flag.Int("seconds", 15, "how long faults and load last in each")
	vms     = flag.Int("vms", 6, "daemons in each")
)

// ciSeeds are the seeds that CI runs.
var ciSeeds = []uint64{1, 2}

// failedSeeds are seeds that failed once and are run again as regression tests. Each has
// a comment on the cause of its failure.
var failedSeeds = []uint64{}

const baseConfig = `publish service tickets;
publish policy plain urgency normal timeout 4s retries 2 repeatable GET;
publish caller clerk;
publish route tickets path /tickets to tickets policy plain callers clerk;
publish policy bulk urgency normal timeout 1s retries 2 repeatable GET large-answers yes;
publish route downloads path /downloads to tickets policy bulk callers clerk`

// TestSoak runs the seeds that the flags select, or those of CI and of earlier failures.
func TestSoak(t *testing.T) {
	switch {
	case *seed != 0:
		runSeed(t, *seed)
	case *seeds > 0 || *minutes > 0:
		until := time.Now().Add(time.Duration(*minutes * float64(time.Minute)))
		first := uint64(time.Now().UnixNano())
		for i := 0; i < *seeds || time.Now().Before(until); i++ {
			runSeed(t, first+uint64(i))
		}
	default:
		for _, s := range slices.Concat(ciSeeds, failedSeeds) {
			runSeed(t, s)
		}
	}
}

func runSeed(t *testing.T, seed uint64) {
	t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
		length := time.Duration(*seconds) * time.Second
		s := newSoakRun(t, *vms, linkOf(seed))
		prefix := fmt.Sprint("s", seed)
		load := startCallers(4, s.c.VMs, s.allEntries(), func(n int64) harness.Call { return shortCall(prefix, n) })
		downloads := s.startDownloads(prefix)
		poison := startPoison(s.c, seed)
		began := time.Now()
		events := newPlan(seed, *vms, length)
		injected := s.injectFaults(events, began)
		time.Sleep(time.Until(began.Add(length)))
		poison.stopAndWait()
		s.checkRecovery()
		s.checkPoisonQuarantined(poison)
		samples := slices.Concat(load.stopAndCollect(), s.collectDownloads(downloads))
		report(t, seed, began, injected, samples)
		checkGuarantees(t, s.c, samples, s.disruptions)
	})
}

// newSoakRun starts the given number of VMs in three failure domains, with an upstream on
// two VMs of three. linkMbps is the speed of the VMs' links; zero: no limit.
func newSoakRun(t *testing.T, vms int, linkMbps float64) *soakRun {
	s := &soakRun{
		t: t, c: harness.New(t), disruptions: newDisruptions(), domainPartitions: map[string]int{}, storePartitions: map[string]int{},
		upstreams: make([]*harness.Upstream, vms), daemonDown: make([]bool, vms), rules: make([]fault.Rule, vms),
	}
	s.c.LinkMbps = linkMbps
	n := 0
	for i := range vms {
		v := s.c.AddVM(fmt.Sprint("vm-", i), []string{"ikeja", "lekki", "yaba"}[i%3])
		if i%6 < 4 {
			s.upstreams[i] = v.AddUpstream("tickets")
			n++
		}
	}
	s.acceptedVersion = s.c.VMs[0].MustExecute(baseConfig)
	s.c.AwaitVersion(s.acceptedVersion, s.c.VMs...)
	s.c.AwaitMembers(vms, s.c.VMs...)
	s.c.AwaitUpstreams(n, s.c.VMs...)
	return s
}

// allEntries returns the indices of all VMs.
func (s *soakRun) allEntries() []int {
	entries := make([]int, len(s.c.VMs))
	for i := range entries {
		entries[i] = i
	}
	return entries
}

// injectFaults injects and ends the faults at their times, and returns those that were
// injected.
func (s *soakRun) injectFaults(events []faultEvent, began time.Time) []faultEvent {
	type ending struct {
		at  time.Duration
		end func()
	}
	var endings []ending
	var injected []faultEvent
	for i := 0; i < len(events) || len(endings) > 0; {
		slices.SortStableFunc(endings, func(a, b ending) int { return int(a.at - b.at) })
		if len(endings) > 0 && (i == len(events) || endings[0].at <= events[i].At) {
			time.Sleep(time.Until(began.Add(endings[0].at)))
			endings[0].end()
			endings = endings[1:]
			continue
		}
		e := events[i]
		i++
		time.Sleep(time.Until(began.Add(e.At)))
		if end := s.inject(e); end != nil {
			endings = append(endings, ending{e.Until, end})
			injected = append(injected, e)
		}
	}
	return injected
}

// recoveredAfterCalls is how many calls in a row each VM must answer after all faults have
// ended.
const recoveredAfterCalls = 20

// checkRecovery checks that every daemon reaches the newest accepted version and serves its
// callers again.
func (s *soakRun) checkRecovery() {
	s.t.Helper()
	s.c.AwaitVersion(s.acceptedVersion, s.c.VMs...)
	for _, v := range s.c.VMs {
		inRow, n := 0, 0
		harness.Eventually(s.t, v.Name+" serves calls after all faults", func() error {
			n++
			a := v.Send(harness.NewCallerClient(), harness.Call{
				Method: "GET", Path: "/tickets/x", ID: fmt.Sprintf("%s-after-%d", v.Name, n), Caller: "clerk",
			})
			if a.Err == nil && a.Outcome == "answered" {
				inRow++
			} else {
				inRow = 0
			}
			if inRow < recoveredAfterCalls {
				return fmt.Errorf("%d calls in a row were answered; the last call: outcome %s, reason %s, error %v", inRow, a.Outcome, a.Reason, a.Err)
			}
			return nil
		})
	}
}

// report logs the outcomes and the faults, and writes a plot to the test's artifacts.
func report(t *testing.T, seed uint64, began time.Time, events []faultEvent, samples []sample) {
	t.Logf("seed %d: all calls: %v; %v", seed, tally(samples), events)
	file := filepath.Join(t.ArtifactDir(), fmt.Sprintf("seed-%d.svg", seed))
	if err := os.WriteFile(file, plot(began, events, samples), 0o600); err != nil {
		t.Error(err)
	}
}
