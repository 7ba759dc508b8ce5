package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// minBadRate is the least rate of failed or slow answers assumed of the other
	// versions, so that a new version is not reverted for one bad answer.
	minBadRate = 0.02
	// priorCalls is the number of calls, with bad answers at minBadRate, that the counts
	// of the other versions begin with.
	priorCalls = 20
	// badMargin and badFactor define a bad version: its rate of bad answers is that of
	// the other versions plus badMargin or times badFactor, whichever is more.
	badMargin = 0.08
	badFactor = 2.0
	// movedMargin is added to the rate of the other versions once all calls go to the new
	// version. There are then no others to compare with at the same time, and a burst of
	// failures that affects all upstreams differs from a bad version only in size.
	movedMargin = 0.4
	// evidenceThreshold is the log likelihood ratio of a bad to a good version from which
	// on a version is reverted. By Wald's bound a good version is reverted in at most one
	// of exp(evidenceThreshold) trials of a route.
	evidenceThreshold = 9.2
	// upstreamThreshold is the log likelihood ratio that is also required per canary that
	// remains after the worst ones are excluded.
	upstreamThreshold = 1.75
)

// Judge returns why a new version is worse than the others, or "" if that is not shown.
// canaries is the number of upstreams on which the version is tried. For each route Judge
// compares failures and slow answers by a sequential probability ratio test (Wald, 1945),
// which may be evaluated after every call. The evidence must also hold without the worst of
// the canaries, since single upstreams fail for reasons of their own.
func Judge(t Tally, canaries int) string {
	for g := range groupsOf(t) {
		for _, kind := range badAnswers {
			if why := whyWorse(t, g, kind, canaries); why != "" {
				return why
			}
		}
	}
	return ""
}

// badAnswer is a kind of bad answer.
type badAnswer struct {
	name   string
	counts func(Count) (bad, all int)
}

var badAnswers = []badAnswer{
	{"failed", func(c Count) (int, int) { return c.Failed, c.N }},
	{"slow", func(c Count) (int, int) { return c.Slow, c.Timed }},
}

// group is a set of calls that are judged together: those of one route, or those of all
// routes, where a version that is bad on each of them is detected sooner.
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

// matchesTarget reports whether a cell holds calls of the group to the new version.
func (g group) matchesTarget(c Cell) bool { return c.Target && g.matchesRoute(c) && c.Moved == g.moved }

// matchesOthers reports whether a cell holds calls to other versions that the group is
// compared with.
func (g group) matchesOthers(c Cell) bool { return !c.Target && g.matchesRoute(c) }

func (g group) matchesRoute(c Cell) bool { return g.all || c.Route == g.route }

func (t Tally) sum(match func(Cell) bool) Count {
	var sum Count
	for cell, n := range t {
		if match(cell) {
			sum = sum.add(n)
		}
	}
	return sum
}

// whyWorse tests the rate of one kind of bad answer in a group. It returns "" unless the new
// version is worse.
func whyWorse(t Tally, g group, kind badAnswer, canaries int) string {
	newBad, newAll := kind.counts(t.sum(g.matchesTarget))
	oldBad, oldAll := kind.counts(t.sum(g.matchesOthers))
	otherRate := (float64(oldBad) + minBadRate*priorCalls) / (float64(oldAll) + priorCalls)
	baseRate := otherRate
	if g.moved {
		baseRate += movedMargin
	}
	ratio := newLogRatio(baseRate)
	if ratio.total(newBad, newAll) < evidenceThreshold || totalWithoutWorst(t, g, kind, ratio, canaries) < upstreamThreshold*float64(canaries-excludedUpstreams(canaries)) {
		return ""
	}
	return fmt.Sprintf("%d of %d answers %s, %.3f of the other versions'", newBad, newAll, kind.name, otherRate)
}

// logRatio holds the log likelihood ratios of a bad to a good version for one bad answer and
// for one good answer.
type logRatio struct{ bad, good float64 }

func newLogRatio(baseRate float64) logRatio {
	baseRate = min(max(baseRate, minBadRate), 1-badMargin-minBadRate)
	badRate := min(max(baseRate+badMargin, badFactor*baseRate), 1-minBadRate)
	return logRatio{bad: math.Log(badRate / baseRate), good: math.Log((1 - badRate) / (1 - baseRate))}
}

func (r logRatio) total(bad, all int) float64 {
	return float64(bad)*r.bad + float64(all-bad)*r.good
}

// excludedUpstreams returns how many of the canaries are excluded as the worst: fewer than
// half.
func excludedUpstreams(canaries int) int { return max(0, canaries-1) / 2 }

// totalWithoutWorst returns the log likelihood ratio of a group without the worst of the
// canaries.
func totalWithoutWorst(t Tally, g group, kind badAnswer, ratio logRatio, canaries int) float64 {
	perUpstream := map[uint32]Count{}
	for cell, n := range t {
		if cell.Upstream != 0 && g.matchesTarget(cell) {
			perUpstream[cell.Upstream] = perUpstream[cell.Upstream].add(n)
		}
	}
	var totals []float64
	for _, n := range perUpstream {
		totals = append(totals, ratio.total(kind.counts(n)))
	}
	slices.Sort(totals)
	sum := 0.0
	for _, x := range totals[:max(0, len(totals)-excludedUpstreams(canaries))] {
		sum += x
	}
	return sum
}
