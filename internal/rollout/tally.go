package rollout

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Count is what became of a number of calls.
type Count struct {
	// N is how many upstreams have run.
	N int
	// Failed is how many of them they failed.
	Failed int
	// Timed is how many of them tell how long they take, Slow how many took several
	// times as long as usual.
	Timed int
	Slow  int
}

func (c Count) plus(o Count) Count {
	return Count{N: c.N + o.N, Failed: c.Failed + o.Failed, Timed: c.Timed + o.Timed, Slow: c.Slow + o.Slow}
}

// valid reports whether the numbers can be counts.
func (c Count) valid() bool {
	return c.N >= 0 && c.Failed >= 0 && c.Failed <= c.N && c.Timed >= 0 && c.Timed <= c.N && c.Slow >= 0 && c.Slow <= c.Timed
}

// Cell names what is counted apart.
type Cell struct {
	// Route is the hash of a route's name; zero: all those that are not counted apart.
	Route uint32
	// Upstream is the hash of a tried upstream's ID; zero: all others of the version.
	Upstream uint32
	// Target says that it is of the new version.
	Target bool
	// Moved says that all calls went to the new version: there is nothing to compare
	// them with at the same time.
	Moved bool
}

// Hash returns the name of a route or of an upstream in a cell.
func Hash(name string) uint32 { return max(1, uint32(xxhash.Sum64String(name))) }

// Row is a cell with its count.
type Row struct {
	Cell
	Count
}

// rowFields is how many numbers a row is written as; targetFlag and movedFlag are bits of
// the third.
const (
	rowFields  = 7
	targetFlag = 1
	movedFlag  = 2
)

// MarshalJSON writes a row as a list of numbers: names would be most of a report.
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

// UnmarshalJSON reads what MarshalJSON writes.
func (r *Row) UnmarshalJSON(b []byte) error {
	var n []int
	if err := json.Unmarshal(b, &n); err != nil {
		return err
	}
	if len(n) != rowFields || !isHash(n[0]) || !isHash(n[1]) {
		return errors.Errorf("%s is no row of a tally", b)
	}
	*r = Row{
		Cell{Route: uint32(n[0]), Upstream: uint32(n[1]), Target: n[2]&targetFlag != 0, Moved: n[2]&movedFlag != 0},
		Count{N: n[3], Failed: n[4], Timed: n[5], Slow: n[6]},
	}
	return nil
}

func isHash(n int) bool { return n >= 0 && n <= math.MaxUint32 }

const (
	// Controls is how many of the next calls of a route to other upstreams are counted
	// for each to an upstream that is tried: what happens to both at one time and one
	// place weighs the same in both.
	Controls = 4
	// routesApart is how many routes of a service are counted apart.
	routesApart = 6
	// maxRows bounds the rows of a report: each route has a cell for each upstream
	// tried, one for the others of the version, both before and after all calls moved,
	// and one for the other versions.
	maxRows = (routesApart + 1) * (2*(Canaries+1) + 1)
)

// Tally holds counts by cell.
type Tally map[Cell]Count

// Add adds the counts of another tally.
func (t Tally) Add(rows []Row) {
	for _, r := range rows {
		t[r.Cell] = t[r.Cell].plus(r.Count)
	}
}

// Rows returns the tally's rows in a fixed order. Where there are too many cells, those of
// the routes with the fewest calls are counted together.
func (t Tally) Rows() []Row {
	t = t.bounded()
	rows := make([]Row, 0, len(t))
	for cell, n := range t {
		rows = append(rows, Row{cell, n})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareCells(a.Cell, b.Cell) })
	return rows[:min(len(rows), maxRows)]
}

func compareCells(a, b Cell) int {
	order := func(x bool) int {
		if x {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(order(a.Target), order(b.Target)),
		cmp.Compare(order(a.Moved), order(b.Moved)), cmp.Compare(a.Upstream, b.Upstream))
}

// bounded returns the tally with at most routesApart routes apart.
func (t Tally) bounded() Tally {
	calls := map[uint32]int{}
	for cell, n := range t {
		if cell.Route != 0 {
			calls[cell.Route] += n.N
		}
	}
	if len(calls) <= routesApart {
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
		if slices.Contains(routes[routesApart:], cell.Route) {
			cell.Route = 0
		}
		out[cell] = out[cell].plus(n)
	}
	return out
}

// ValidRows reports whether rows of another daemon can be a tally.
func ValidRows(rows []Row) bool {
	return len(rows) <= maxRows && !slices.ContainsFunc(rows, func(r Row) bool { return !r.Count.valid() })
}

// Sum returns the counts of the new version, or of the others.
func (t Tally) Sum(target bool) Count {
	var sum Count
	for cell, n := range t {
		if cell.Target == target {
			sum = sum.plus(n)
		}
	}
	return sum
}
