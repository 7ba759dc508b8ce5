package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/itest/fault"
	"github.com/comfreygate/comfreygate/itest/harness"
)

// linkDelay is the delay of each chunk on a slow link, and storeDelayMs that of each call
// to a slow store. Daemons give up after 1 s: one such delay stays below that, several in
// succession can exceed it.
const (
	linkDelay    = 80 * time.Millisecond
	storeDelayMs = 700
)

// changesPerBurst is how many configuration changes are made in immediate succession.
const changesPerBurst = 8

// soakRun is a cluster with the faults injected into it. Only the test's goroutine uses it.
type soakRun struct {
	t           *testing.T
	c           *harness.Cluster
	upstreams   []*harness.Upstream
	disruptions *disruptions
	// rules holds the faults on connections by VM. domainPartitions and storePartitions
	// count, by failure domain, the faults that currently partition the domain from the
	// other domains and from the store.
	rules            []fault.Rule
	domainPartitions map[string]int
	storePartitions  map[string]int
	storeFaults      devlog.Faults
	// daemonDown marks the VMs whose daemon is frozen, not running or being stopped.
	daemonDown  []bool
	changeCount int
	// acceptedVersion is the newest version that was accepted.
	acceptedVersion int64
}

// inject injects a fault and returns a function that ends it, or nil if the fault does not
// apply to the VM's present state.
func (s *soakRun) inject(e faultEvent) (end func()) {
	v := s.c.VMs[e.VM]
	switch e.Kind {
	case kill, stop, freeze:
		return s.injectDaemonFault(e)
	case reset:
		v.Owner.CloseConnections()
		v.Peers.CloseConnections()
	case silence:
		v.Owner.SilenceConnections()
		v.Peers.SilenceConnections()
	case slow:
		return s.setRule(e.VM, fault.Rule{Delay: linkDelay})
	case oneWay:
		return s.setRule(e.VM, fault.Rule{DropDown: true})
	case isolate:
		return s.addPartition(s.domainPartitions, v.Domain, s.applyRules)
	case crash, leave:
		return s.injectUpstreamFault(e)
	case storeDown:
		s.storeFaults.Down = true
		s.c.SetLogFaults(s.storeFaults)
		return func() { s.clearStoreFault(func(f *devlog.Faults) { f.Down = false }) }
	case storeSlow:
		s.storeFaults.DelayMs = storeDelayMs
		s.c.SetLogFaults(s.storeFaults)
		return func() { s.clearStoreFault(func(f *devlog.Faults) { f.DelayMs = 0 }) }
	case storeLoseAnswers:
		s.storeFaults.LoseAnswers = 3
		s.c.SetLogFaults(s.storeFaults)
		return func() { s.clearStoreFault(func(f *devlog.Faults) { f.LoseAnswers = 0 }) }
	case storeUnreachable:
		return s.addPartition(s.storePartitions, v.Domain, s.applyStorePartitions)
	case change:
		s.changeConfig(e.VM)
	}
	return func() {}
}

func (s *soakRun) injectDaemonFault(e faultEvent) func() {
	if s.daemonDown[e.VM] {
		return nil
	}
	s.daemonDown[e.VM] = true
	v := s.c.VMs[e.VM]
	switch e.Kind {
	case freeze:
		endDisruption := s.disruptions.begin(e.VM)
		v.Pause()
		return func() {
			v.Resume()
			s.daemonDown[e.VM] = false
			endDisruption()
		}
	case kill:
		endDisruption := s.disruptions.begin(e.VM)
		v.Kill()
		return func() { s.restart(e.VM); endDisruption() }
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if code := v.Stop(); code != 0 {
			s.t.Errorf("%s: graceful stop returned exit code %d, want 0", v.Name, code)
		}
	}()
	return func() {
		<-stopped
		s.restart(e.VM)
	}
}

// restart starts a VM's daemon again, and replaces the upstream on the VM if it has one.
func (s *soakRun) restart(vm int) {
	v := s.c.VMs[vm]
	v.Start()
	s.daemonDown[vm] = false
	if s.upstreams[vm] != nil {
		s.upstreams[vm].Kill()
		s.upstreams[vm] = v.AddUpstream("tickets")
	}
}

func (s *soakRun) injectUpstreamFault(e faultEvent) func() {
	u := s.upstreams[e.VM]
	if u == nil || s.daemonDown[e.VM] {
		return nil
	}
	s.upstreams[e.VM] = nil
	if e.Kind == crash {
		u.Kill()
	} else {
		go u.Stop()
	}
	return func() {
		if !s.daemonDown[e.VM] {
			s.upstreams[e.VM] = s.c.VMs[e.VM].AddUpstream("tickets")
		}
	}
}

func (s *soakRun) setRule(vm int, r fault.Rule) func() {
	s.rules[vm] = r
	s.applyRules()
	return func() {
		s.rules[vm] = fault.Rule{}
		s.applyRules()
	}
}

// addPartition counts a partition of the failure domain until the returned function is
// called. Partitions of one domain may overlap.
func (s *soakRun) addPartition(partitions map[string]int, domain string, apply func()) func() {
	partitions[domain]++
	apply()
	return func() {
		partitions[domain]--
		apply()
	}
}

func (s *soakRun) applyRules() {
	domains := map[string]string{}
	for _, v := range s.c.VMs {
		domains[v.IP] = v.Domain
	}
	isolated := map[string]bool{}
	for d, n := range s.domainPartitions {
		isolated[d] = n > 0
	}
	for i, v := range s.c.VMs {
		vmRule := s.rules[i]
		ruleFor := func(ip string) fault.Rule {
			r := vmRule
			if from := domains[ip]; from != v.Domain && (isolated[from] || isolated[v.Domain]) {
				r.DropUp, r.DropDown = true, true
			}
			return r
		}
		v.Owner.SetRules(ruleFor)
		v.Peers.SetRules(ruleFor)
	}
}

func (s *soakRun) applyStorePartitions() {
	partitioned := map[string]bool{}
	for d, n := range s.storePartitions {
		partitioned[d] = n > 0
	}
	s.c.PartitionLog(func(domain string) bool { return partitioned[domain] })
}

func (s *soakRun) clearStoreFault(reset func(*devlog.Faults)) {
	reset(&s.storeFaults)
	s.c.SetLogFaults(s.storeFaults)
}

// changeConfig publishes changes one after the other. During faults some are rejected or
// have an unknown outcome; the newest accepted version must come into force everywhere.
func (s *soakRun) changeConfig(vm int) {
	if s.daemonDown[vm] {
		return
	}
	for range changesPerBurst {
		s.changeCount++
		text := fmt.Sprintf("put policy plain urgency normal timeout %dms retries 2 repeatable GET", 4000+s.changeCount)
		a, err := s.c.VMs[vm].Execute(text)
		if err != nil {
			return // daemon unreachable
		}
		s.acceptedVersion = max(s.acceptedVersion, a.Outcome.Value.Version.Or(0))
	}
}
