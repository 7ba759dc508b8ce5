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

// Split divides a service's calls between a version that is rolled out and the others. The
// service's own list holds those that take the rest.
type Split struct {
	target   string
	plan     rollout.Plan
	since    time.Time
	moving   time.Time
	evidence *rollout.Evidence
	// tried are the IDs of the upstreams tried, windows those that are at one time, by
	// the first of them.
	tried   []string
	windows []*Service
	// others is how many upstreams are not of the version; fallback holds them while
	// calls move.
	others   int
	fallback *Service
	turn     *atomic.Uint64
}

// fallbackPart is the part of the time given to move in which a call that finds no room at
// the new version may still go to another.
const fallbackPart = 0.5

// Trial returns the upstreams of the new version that the next call goes to, if it is one
// of the part that goes there.
func (s *Split) Trial(now time.Time) *Service {
	if len(s.windows) == 0 {
		return nil
	}
	elapsed := now.Sub(s.since)
	first := s.windows[s.plan.Turn(max(0, elapsed), len(s.windows))]
	_, at := math.Modf(float64(s.turn.Add(1)) * turnStep)
	if at >= s.plan.Share(elapsed, len(first.Upstreams), s.others) {
		return nil
	}
	return first
}

// Fallback returns the upstreams of other versions, as long as calls that find no room at
// the new one may go there; else nil.
func (s *Split) Fallback(now time.Time) *Service {
	if s.fallback == nil || now.Sub(s.moving) > time.Duration(fallbackPart*float64(s.plan.CompleteAfter())) {
		return nil
	}
	return s.fallback
}

// Ran is a call that an upstream has run.
type Ran struct {
	Route    string
	Upstream Upstream
	Failed   bool
	// Took is how long the upstream took, as its owner has measured it; zero: not told.
	Took time.Duration
}

// Note counts a call as evidence.
func (s *Split) Note(now time.Time, r Ran) {
	if s.evidence == nil {
		return
	}
	seen := rollout.Seen{
		Route: r.Route, Target: r.Upstream.Version == s.target, Moved: !s.moving.IsZero(), Failed: r.Failed, Took: r.Took,
	}
	if seen.Target && slices.Contains(s.tried, r.Upstream.ID) {
		seen.Upstream = r.Upstream.ID
	}
	if !s.plan.Warm(now.Sub(s.since)) {
		seen.Took = 0
	}
	s.evidence.Note(seen)
}

// splitServices takes the upstreams apart of services that are rolled out.
func (v *View) splitServices(w *table.World, before *View) {
	for name, s := range v.Services {
		r := w.Rollouts[name]
		if r != nil {
			v.follow(w, s, r)
		}
		if version, ok := w.Probation[name]; ok && (r == nil || !r.Live()) {
			s.Split = v.try(w, s, probation(w, name, version))
		}
		if before == nil || s.Split == nil {
			continue
		}
		if old := before.Services[name]; old != nil && old.Split != nil {
			s.Split.turn = old.Split.turn
		}
	}
}

// RollsOut reports whether a version of any service is being rolled out.
func (v *View) RollsOut() bool {
	for _, s := range v.Services {
		if s.Split != nil {
			return true
		}
	}
	return false
}

// probationPart is the part of a plan's time that a version on probation goes through: it
// is tried thinly, and no more.
const probationPart = 0.4

// probation returns what a version is tried by that has just appeared.
func probation(w *table.World, service, version string) *table.Rollout {
	lasts := time.Duration(float64(w.Params.InForce) / probationPart)
	return &table.Rollout{
		Record: rollout.Record{Order: rollout.Order{Service: service, Target: version, Duration: lasts}},
		Since:  w.Versions[service][version],
	}
}

// follow divides a service as its roll-out says.
func (v *View) follow(w *table.World, s *Service, r *table.Rollout) {
	s.drop(func(u Upstream) bool { return slices.Contains(r.Barred, u.Version) })
	isTarget := func(u Upstream) bool { return u.Version == r.Target }
	switch {
	case r.Phase == rollout.Completed && !r.Settled:
		if slices.ContainsFunc(s.Upstreams, isTarget) {
			s.drop(func(u Upstream) bool { return !isTarget(u) })
		}
	case r.Live() && r.Stop != "":
		s.drop(isTarget)
	case r.Phase == rollout.Trying:
		s.Split = v.try(w, s, r)
	case r.Phase == rollout.Moving:
		s.Split = v.move(w, s, r)
	}
}

// drop leaves upstreams out.
func (s *Service) drop(out func(Upstream) bool) {
	s.Upstreams = slices.DeleteFunc(s.Upstreams, out)
}

// lane returns a part of a service's upstreams. Its name tells it from other parts.
func (s *Service) lane(name string, list []Upstream) *Service {
	part := &Service{Service: s.Service, Upstreams: list}
	part.Name = s.Name + "\x00" + name
	return part
}

func newSplit(w *table.World, r *table.Rollout) *Split {
	sp := &Split{
		target: r.Target, plan: w.Plan(r.Duration), since: r.Since, evidence: r.Evidence, turn: new(atomic.Uint64),
	}
	sp.turn.Store(rand.Uint64N(maxTurn))
	return sp
}

// try leaves the others to the service and gives the split those that are tried. Nil: there
// are no others, and the version serves all.
func (v *View) try(w *table.World, s *Service, r *table.Rollout) *Split {
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
	s.drop(func(u Upstream) bool { return u.Version == r.Target })
	sp.others = len(s.Upstreams)
	sp.tried = sp.plan.Choose(ids, sp.others)
	var ring []Upstream
	for _, id := range slices.Concat(sp.tried, sp.tried) {
		ring = append(ring, byID[id])
	}
	n := sp.plan.AtOnce(len(sp.tried), sp.others)
	for i := range sp.tried {
		sp.windows = append(sp.windows, s.lane(r.Target+"\x00"+strconv.Itoa(i), ring[i:i+n]))
	}
	return sp
}

// move leaves the new version to the service and gives the split the others to fall back
// on.
func (v *View) move(w *table.World, s *Service, r *table.Rollout) *Split {
	sp := newSplit(w, r)
	sp.moving = r.PhaseSince
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
	sp.tried = sp.plan.Choose(ids, sp.others)
	if len(target) > 0 {
		s.Upstreams = target
		sp.fallback = s.lane("others", others)
	}
	return sp
}
