package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// leastRate is the least part of the calls of the other versions that is taken to
	// fail or to be slow: a new version is not reverted for one bad answer.
	leastRate = 0.02
	// priorCalls is how many calls at leastRate the evidence of the other versions
	// begins with.
	priorCalls = 20
	// worseBy and worseTimes say what a bad version does: its rate is that of the others
	// plus the one, or times the other, whichever is more.
	worseBy    = 0.08
	worseTimes = 2.0
	// waveRoom is added to the others' part where all calls go to the new version: a
	// wave of failures that concerns all upstreams cannot be told from it, but for its
	// height.
	waveRoom = 0.4
	// certainty is the logarithm of how many times as likely the evidence must be if the
	// version is bad: by Wald's bound a good one is reverted once in that many trials of
	// a route.
	certainty = 9.2
	// shows is the same for each upstream that is left without the worst ones.
	shows = 1.75
)

// Judge says why a new version is worse than the others, or nothing, while so many of its
// upstreams are tried. For each route it compares failures and slow answers by a
// sequential probability ratio test (Wald, 1945), which may be looked at after every call;
// and it must show without those of the upstreams tried that do worst, since single ones
// fail for reasons of their own.
func Judge(t Tally, tried int) string {
	for group := range groupsOf(t) {
		for _, sort := range sorts {
			if why := worse(t, group, sort, tried); why != "" {
				return why
			}
		}
	}
	return ""
}

// sort is a sort of bad answer.
type sort struct {
	name string
	of   func(Count) (bad, all int)
}

var sorts = []sort{
	{"failed", func(c Count) (int, int) { return c.Failed, c.N }},
	{"slow", func(c Count) (int, int) { return c.Slow, c.Timed }},
}

// group is what is judged together: a route, or all of them, where a version that is bad on
// each shows sooner.
type group struct {
	route uint32
	all   bool
	moved bool
}

func groupsOf(t Tally) map[group]bool {
	groups := map[group]bool{}
	for cell := range t {
		if cell.Target {
			groups[group{route: cell.Route, moved: cell.Moved}] = true
			groups[group{all: true, moved: cell.Moved}] = true
		}
	}
	return groups
}

// target reports whether a cell of the new version is in the group, others whether one
// of the others is what it is compared with.
func (g group) target(c Cell) bool { return c.Target && g.on(c) && c.Moved == g.moved }
func (g group) others(c Cell) bool { return !c.Target && g.on(c) }
func (g group) on(c Cell) bool     { return g.all || c.Route == g.route }

func (t Tally) sum(in func(Cell) bool) Count {
	var sum Count
	for cell, n := range t {
		if in(cell) {
			sum = sum.plus(n)
		}
	}
	return sum
}

// worse tests one sort of bad answer in a group.
func worse(t Tally, g group, s sort, tried int) string {
	bad, all := s.of(t.sum(g.target))
	oldBad, oldAll := s.of(t.sum(g.others))
	usual := (float64(oldBad) + leastRate*priorCalls) / (float64(oldAll) + priorCalls)
	compared := usual
	if g.moved {
		compared += waveRoom
	}
	test := newRatio(compared)
	if test.of(bad, all) < certainty || withoutWorst(t, g, s, test, tried) < shows*float64(tried-worst(tried)) {
		return ""
	}
	return fmt.Sprintf("%d of %d answers %s, %.3f of the other versions'", bad, all, s.name, usual)
}

// ratio is the logarithm of how much more likely a bad and a good answer are from a bad
// version.
type ratio struct{ bad, good float64 }

func newRatio(usual float64) ratio {
	usual = min(max(usual, leastRate), 1-worseBy-leastRate)
	suspect := min(max(usual+worseBy, worseTimes*usual), 1-leastRate)
	return ratio{bad: math.Log(suspect / usual), good: math.Log((1 - suspect) / (1 - usual))}
}

func (r ratio) of(bad, all int) float64 {
	return float64(bad)*r.bad + float64(all-bad)*r.good
}

// worst is how many of the upstreams tried are left out: fewer than half.
func worst(tried int) int { return max(0, tried-1) / 2 }

// withoutWorst is the test of a group without the worst of the upstreams tried.
func withoutWorst(t Tally, g group, s sort, test ratio, tried int) float64 {
	each := map[uint32]Count{}
	for cell, n := range t {
		if cell.Upstream != 0 && g.target(cell) {
			each[cell.Upstream] = each[cell.Upstream].plus(n)
		}
	}
	var by []float64
	for _, n := range each {
		by = append(by, test.of(s.of(n)))
	}
	slices.Sort(by)
	sum := 0.0
	for _, x := range by[:max(0, len(by)-worst(tried))] {
		sum += x
	}
	return sum
}
