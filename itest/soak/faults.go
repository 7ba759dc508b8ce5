package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/itest/fault"
	"github.com/comfreygate/comfreygate/itest/harness"
)

// slowBy is the delay of each chunk on a slow link, and storeSlowBy of each call
// to a slow store: under and above the second after which daemons give up.
const (
	slowBy      = 80 * time.Millisecond
	storeSlowBy = 700
)

// storm is how many changes follow each other at once.
const storm = 8

// world is a cluster under faults. Only the test's goroutine uses it.
type world struct {
	t     *testing.T
	c     *harness.Cluster
	ups   []*harness.Upstream
	lives *lives
	// rules and isolated are the faults on connections, by VM.
	rules    []fault.Rule
	isolated map[string]int
	cutStore map[string]int
	store    devlog.Faults
	// down says which daemons do not run or are being stopped.
	down    []bool
	changes int
	// version is the newest that was accepted.
	version int64
}

// begin injects a fault and returns what ends it; nil: it could not strike now.
func (w *world) begin(e event) (end func()) {
	v := w.c.VMs[e.VM]
	switch e.Kind {
	case kill, stop, freeze:
		return w.strikeDaemon(e)
	case reset:
		v.Owner.Break()
		v.Peers.Break()
	case silence:
		v.Owner.Silence()
		v.Peers.Silence()
	case slow:
		return w.rule(e.VM, fault.Rule{Delay: slowBy})
	case oneWay:
		return w.rule(e.VM, fault.Rule{DropDown: true})
	case isolate:
		return w.count(w.isolated, v.Domain, w.applyRules)
	case crash, leave:
		return w.strikeUpstream(e)
	case storeDown:
		w.store.Down = true
		w.c.LogFaults(w.store)
		return func() { w.healStore(func(f *devlog.Faults) { f.Down = false }) }
	case storeSlow:
		w.store.DelayMs = storeSlowBy
		w.c.LogFaults(w.store)
		return func() { w.healStore(func(f *devlog.Faults) { f.DelayMs = 0 }) }
	case storeLose:
		w.store.LoseAnswers = 3
		w.c.LogFaults(w.store)
		return func() { w.healStore(func(f *devlog.Faults) { f.LoseAnswers = 0 }) }
	case storeAway:
		return w.count(w.cutStore, v.Domain, w.applyStoreCuts)
	case change:
		w.changeConfig(e.VM)
	}
	return func() {}
}

func (w *world) strikeDaemon(e event) func() {
	if w.down[e.VM] {
		return nil
	}
	w.down[e.VM] = true
	v := w.c.VMs[e.VM]
	switch e.Kind {
	case freeze:
		calm := w.lives.begin(e.VM)
		v.Pause()
		return func() {
			v.Resume()
			w.down[e.VM] = false
			calm()
		}
	case kill:
		calm := w.lives.begin(e.VM)
		v.Kill()
		return func() { w.restart(e.VM); calm() }
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if code := v.Stop(); code != 0 {
			w.t.Errorf("%s: planned stop ended with %d", v.Name, code)
		}
	}()
	return func() {
		<-stopped
		w.restart(e.VM)
	}
}

// restart starts a VM's daemon again and an upstream beside it.
func (w *world) restart(vm int) {
	v := w.c.VMs[vm]
	v.Start()
	w.down[vm] = false
	if w.ups[vm] != nil {
		w.ups[vm].Kill()
		w.ups[vm] = v.AddUpstream("tickets")
	}
}

func (w *world) strikeUpstream(e event) func() {
	u := w.ups[e.VM]
	if u == nil || w.down[e.VM] {
		return nil
	}
	w.ups[e.VM] = nil
	if e.Kind == crash {
		u.Kill()
	} else {
		go u.Stop()
	}
	return func() {
		if !w.down[e.VM] {
			w.ups[e.VM] = w.c.VMs[e.VM].AddUpstream("tickets")
		}
	}
}

func (w *world) rule(vm int, r fault.Rule) func() {
	w.rules[vm] = r
	w.applyRules()
	return func() {
		w.rules[vm] = fault.Rule{}
		w.applyRules()
	}
}

// count adds one to what is cut in a failure domain until the fault ends.
func (w *world) count(cuts map[string]int, domain string, apply func()) func() {
	cuts[domain]++
	apply()
	return func() {
		cuts[domain]--
		apply()
	}
}

func (w *world) applyRules() {
	domains := map[string]string{}
	for _, v := range w.c.VMs {
		domains[v.IP] = v.Domain
	}
	isolated := map[string]bool{}
	for d, n := range w.isolated {
		isolated[d] = n > 0
	}
	for i, v := range w.c.VMs {
		own := w.rules[i]
		decide := func(ip string) fault.Rule {
			r := own
			if from := domains[ip]; from != v.Domain && (isolated[from] || isolated[v.Domain]) {
				r.DropUp, r.DropDown = true, true
			}
			return r
		}
		v.Owner.Set(decide)
		v.Peers.Set(decide)
	}
}

func (w *world) applyStoreCuts() {
	cut := map[string]bool{}
	for d, n := range w.cutStore {
		cut[d] = n > 0
	}
	w.c.CutLog(func(domain string) bool { return cut[domain] })
}

func (w *world) healStore(heal func(*devlog.Faults)) {
	heal(&w.store)
	w.c.LogFaults(w.store)
}

// changeConfig publishes changes one after the other. Some are rejected or stay
// unknown while faults last; the newest that was accepted must come into force.
func (w *world) changeConfig(vm int) {
	if w.down[vm] {
		return
	}
	for range storm {
		w.changes++
		text := fmt.Sprintf("put policy plain urgency normal timeout %dms retries 2 repeatable GET", 4000+w.changes)
		a, err := w.c.VMs[vm].Do(text)
		if err != nil {
			return // out of reach
		}
		w.version = max(w.version, a.Outcome.Value.Version.Or(0))
	}
}
