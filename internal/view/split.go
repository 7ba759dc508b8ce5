package view

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/table"
)

// Split divides a service's calls between the version that is rolled out and the others.
// The service's own list holds the upstreams for the calls that Trial does not take.
type Split struct {
	target      string
	plan        rollout.Plan
	since       time.Time
	movingSince time.Time
	evidence    *rollout.Evidence
	// canaries are the IDs of the upstreams on which the new version is tried. windows
	// holds, for each of them, the canaries that get calls at the same time, beginning
	// with that one.
	canaries []string
	windows  []*Service
	// others is the number of upstreams of other versions. fallback holds them while
	// calls move to the new version.
	others   int
	fallback *Service
	// counter counts the calls, from a random start, to spread them over the versions.
	counter *atomic.Uint64
}

// fallbackFraction is the fraction of the time allowed for moving calls during which a call
// that finds no capacity at the new version may still go to another version.
const fallbackFraction = 0.5

// Trial returns the upstreams of the new version for the next call, or nil if the call
// belongs to the share of the other versions.
func (s *Split) Trial(now time.Time) *Service {
	if len(s.windows) == 0 {
		return nil
	}
	elapsed := now.Sub(s.since)
	active := s.windows[s.plan.FirstActive(max(0, elapsed), len(s.windows))]
	_, fraction := math.Modf(float64(s.counter.Add(1)) * goldenRatioFraction)
	if fraction >= s.plan.Share(elapsed, len(active.Upstreams), s.others) {
		return nil
	}
	return active
}

// Fallback returns the upstreams of the other versions while calls that find no capacity at
// the new version may go there, else nil.
func (s *Split) Fallback(now time.Time) *Service {
	if s.fallback == nil || now.Sub(s.movingSince) > time.Duration(fallbackFraction*float64(s.plan.MoveTimeout())) {
		return nil
	}
	return s.fallback
}

// CallResult describes a call that an upstream has run.
type CallResult struct {
	Route    string
	Upstream Upstream
	Failed   bool
	// Took is how long the upstream took, as measured by its owner; zero if unknown.
	Took time.Duration
}

// Note adds a call to the evidence about the new version.
func (s *Split) Note(now time.Time, r CallResult) {
	if s.evidence == nil {
		return
	}
	call := rollout.Call{
		Route: r.Route, Target: r.Upstream.Version == s.target, Moved: !s.movingSince.IsZero(), Failed: r.Failed, Took: r.Took,
	}
	if call.Target && slices.Contains(s.canaries, r.Upstream.ID) {
		call.Upstream = r.Upstream.ID
	}
	if !s.plan.WarmedUp(now.Sub(s.since)) {
		call.Took = 0
	}
	s.evidence.Note(call)
}

// splitServices divides the upstreams of services that have a rollout or a version on
// probation. The call counters of the view before are reused.
func (v *View) splitServices(w *table.World, before *View) {
	for name, s := range v.Services {
		r := w.Rollouts[name]
		if r != nil {
			v.applyRollout(w, s, r)
		}
		if version, ok := w.Probation[name]; ok && (r == nil || !r.Live()) {
			s.Split = v.splitTrial(w, s, probation(w, name, version))
		}
		if before == nil || s.Split == nil {
			continue
		}
		if old := before.Services[name]; old != nil && old.Split != nil {
			s.Split.counter = old.Split.counter
		}
	}
}

// HasSplit reports whether the calls of any service are split between versions.
func (v *View) HasSplit() bool {
	for _, s := range v.Services {
		if s.Split != nil {
			return true
		}
	}
	return false
}

// probationFraction is the fraction of a plan's duration that the probation of a version
// covers: only the plan's first step, in which the version gets a small share of the calls.
const probationFraction = 0.4

// probation returns a rollout for a version that has just appeared without an order. It lets
// the version be tried for as long as an order for it may take to arrive.
func probation(w *table.World, service, version string) *table.Rollout {
	duration := time.Duration(float64(w.Params.InForce) / probationFraction)
	return &table.Rollout{
		Record: rollout.Record{Order: rollout.Order{Service: service, Target: version, Duration: duration}},
		Since:  w.Versions[service][version],
	}
}

// applyRollout divides a service's upstreams according to the phase of its rollout.
func (v *View) applyRollout(w *table.World, s *Service, r *table.Rollout) {
	s.remove(func(u Upstream) bool { return slices.Contains(r.Barred, u.Version) })
	isTarget := func(u Upstream) bool { return u.Version == r.Target }
	switch {
	case r.Phase == rollout.Completed && !r.Settled:
		if slices.ContainsFunc(s.Upstreams, isTarget) {
			s.remove(func(u Upstream) bool { return !isTarget(u) })
		}
	case r.Live() && r.StopReason != "":
		s.remove(isTarget)
	case r.Phase == rollout.Trying:
		s.Split = v.splitTrial(w, s, r)
	case r.Phase == rollout.Moving:
		s.Split = v.splitMove(w, s, r)
	}
}

// remove removes the upstreams that match.
func (s *Service) remove(match func(Upstream) bool) {
	s.Upstreams = slices.DeleteFunc(s.Upstreams, match)
}

// subset returns a service with the given subset of the upstreams, under a name of its own.
func (s *Service) subset(name string, upstreams []Upstream) *Service {
	sub := &Service{Service: s.Service, Upstreams: upstreams}
	sub.Name = s.Name + "\x00" + name
	return sub
}

func newSplit(w *table.World, r *table.Rollout) *Split {
	sp := &Split{
		target: r.Target, plan: w.Plan(r.Duration), since: r.Since, evidence: r.Evidence, counter: new(atomic.Uint64),
	}
	sp.counter.Store(rand.Uint64N(maxInitialCounter))
	return sp
}

// splitTrial leaves the upstreams of other versions to the service and puts the canaries
// into the split. It returns nil if there are no other versions: the new one then gets all
// calls.
func (v *View) splitTrial(w *table.World, s *Service, r *table.Rollout) *Split {
	if !slices.ContainsFunc(s.Upstreams, func(u Upstream) bool { return u.Version != r.Target }) {
		return nil
	}
	sp := newSplit(w, r)
	byID := map[string]Upstream{}
	var ids []string
	for _, u := range s.Upstreams {
		if u.Version == r.Target {
			byID[u.ID] = u
			ids = append(ids, u.ID)
		}
	}
	s.remove(func(u Upstream) bool { return u.Version == r.Target })
	sp.others = len(s.Upstreams)
	sp.canaries = sp.plan.ChooseCanaries(ids, sp.others)
	var ring []Upstream
	for _, id := range slices.Concat(sp.canaries, sp.canaries) {
		ring = append(ring, byID[id])
	}
	n := sp.plan.ActiveCanaries(len(sp.canaries), sp.others)
	for i := range sp.canaries {
		sp.windows = append(sp.windows, s.subset(r.Target+"\x00"+strconv.Itoa(i), ring[i:i+n]))
	}
	return sp
}

// splitMove leaves the upstreams of the new version to the service and puts the others into
// the split as the fallback.
func (v *View) splitMove(w *table.World, s *Service, r *table.Rollout) *Split {
	sp := newSplit(w, r)
	sp.movingSince = r.PhaseSince
	var ids []string
	var target, others []Upstream
	for _, u := range s.Upstreams {
		if u.Version != r.Target {
			others = append(others, u)
			continue
		}
		target, ids = append(target, u), append(ids, u.ID)
	}
	sp.others = len(others)
	sp.canaries = sp.plan.ChooseCanaries(ids, sp.others)
	if len(target) > 0 {
		s.Upstreams = target
		sp.fallback = s.subset("others", others)
	}
	return sp
}
