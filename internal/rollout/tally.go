package rollout

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Count counts calls by their results.
type Count struct {
	// N is the number of calls that upstreams ran.
	N int
	// Failed is the number of them that failed.
	Failed int
	// Timed is the number of them with a usable latency, Slow the number of those that
	// took much longer than the route's typical latency.
	Timed int
	Slow  int
}

func (c Count) add(o Count) Count {
	return Count{N: c.N + o.N, Failed: c.Failed + o.Failed, Timed: c.Timed + o.Timed, Slow: c.Slow + o.Slow}
}

// valid reports whether the numbers are consistent with each other.
func (c Count) valid() bool {
	return c.N >= 0 && c.Failed >= 0 && c.Failed <= c.N && c.Timed >= 0 && c.Timed <= c.N && c.Slow >= 0 && c.Slow <= c.Timed
}

// Cell identifies calls that are counted together.
type Cell struct {
	// Route is the hash of the route's name. Zero stands for all routes that are not
	// counted separately.
	Route uint32
	// Upstream is the hash of a canary's ID. Zero stands for all upstreams that are not
	// canaries.
	Upstream uint32
	// Target is set for calls to the new version.
	Target bool
	// Moved is set for calls made when all calls went to the new version, so that there
	// are no calls to other versions at the same time to compare with.
	Moved bool
}

// Hash returns the hash that identifies a route or an upstream in a cell. It is never zero.
func Hash(name string) uint32 { return max(1, uint32(xxhash.Sum64String(name))) }

// Row is a cell with its count.
type Row struct {
	Cell
	Count
}

// rowFields is the number of integers in an encoded row; targetFlag and movedFlag are bits
// of the third of them.
const (
	rowFields  = 7
	targetFlag = 1
	movedFlag  = 2
)

// MarshalJSON encodes a row as an array of integers, since field names would take up most of
// a report.
func (r Row) MarshalJSON() ([]byte, error) {
	flags := 0
	if r.Target {
		flags |= targetFlag
	}
	if r.Moved {
		flags |= movedFlag
	}
	return json.Marshal([rowFields]int{int(r.Route), int(r.Upstream), flags, r.N, r.Failed, r.Timed, r.Slow})
}

// UnmarshalJSON decodes the encoding of MarshalJSON.
func (r *Row) UnmarshalJSON(b []byte) error {
	var n []int
	if err := json.Unmarshal(b, &n); err != nil {
		return err
	}
	if len(n) != rowFields || !isUint32(n[0]) || !isUint32(n[1]) {
		return errors.Errorf("%s is no row of a tally", b)
	}
	*r = Row{
		Cell{Route: uint32(n[0]), Upstream: uint32(n[1]), Target: n[2]&targetFlag != 0, Moved: n[2]&movedFlag != 0},
		Count{N: n[3], Failed: n[4], Timed: n[5], Slow: n[6]},
	}
	return nil
}

func isUint32(n int) bool { return n >= 0 && n <= math.MaxUint32 }

const (
	// ControlsPerCall is how many of the next calls of a route to other versions are counted
	// for each call to the new version. An event that affects both versions at the same
	// time and at the same daemon then has the same weight in both counts.
	ControlsPerCall = 4
	// maxRoutes is the number of routes of a service that are counted separately.
	maxRoutes = 6
	// maxRows bounds the rows of a report: each route has one cell per canary and one for
	// the other upstreams of the new version, both before and after all calls move, and
	// one cell for the other versions.
	maxRows = (maxRoutes + 1) * (2*(Canaries+1) + 1)
)

// Tally holds counts by cell.
type Tally map[Cell]Count

// Add adds the counts of rows.
func (t Tally) Add(rows []Row) {
	for _, r := range rows {
		t[r.Cell] = t[r.Cell].add(r.Count)
	}
}

// Rows returns the tally's rows in a fixed order. If there are too many routes, those with
// the fewest calls are counted together.
func (t Tally) Rows() []Row {
	t = t.limitRoutes()
	rows := make([]Row, 0, len(t))
	for cell, n := range t {
		rows = append(rows, Row{cell, n})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareCells(a.Cell, b.Cell) })
	return rows[:min(len(rows), maxRows)]
}

func compareCells(a, b Cell) int {
	boolOrder := func(x bool) int {
		if x {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(boolOrder(a.Target), boolOrder(b.Target)),
		cmp.Compare(boolOrder(a.Moved), boolOrder(b.Moved)), cmp.Compare(a.Upstream, b.Upstream))
}

// limitRoutes returns the tally with at most maxRoutes routes counted separately.
func (t Tally) limitRoutes() Tally {
	calls := map[uint32]int{}
	for cell, n := range t {
		if cell.Route != 0 {
			calls[cell.Route] += n.N
		}
	}
	if len(calls) <= maxRoutes {
		return t
	}
	routes := make([]uint32, 0, len(calls))
	for r := range calls {
		routes = append(routes, r)
	}
	slices.SortFunc(routes, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(calls[b], calls[a]), cmp.Compare(a, b))
	})
	out := Tally{}
	for cell, n := range t {
		if slices.Contains(routes[maxRoutes:], cell.Route) {
			cell.Route = 0
		}
		out[cell] = out[cell].add(n)
	}
	return out
}

// ValidRows reports whether rows received from another daemon can be those of a tally.
func ValidRows(rows []Row) bool {
	return len(rows) <= maxRows && !slices.ContainsFunc(rows, func(r Row) bool { return !r.Count.valid() })
}

// Sum returns the counts of the new version if target is set, else those of the others.
func (t Tally) Sum(target bool) Count {
	var sum Count
	for cell, n := range t {
		if cell.Target == target {
			sum = sum.add(n)
		}
	}
	return sum
}
