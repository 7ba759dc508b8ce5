package pressure

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// clock is a clock that the test sets.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newTable() (*Table, *clock) {
	c := &clock{at: time.Unix(1_000_000, 0)}
	return New(c.now), c
}

var slotsOfTickets = Key{Resource: Slots, Name: "tickets", Where: "ikeja/vm-1"}

// TestRefusalsOfTenSecondsAreCounted guards against counts that include older refusals, lose
// refusals of a second in which others happened, or mix urgencies.
func TestRefusalsOfTenSecondsAreCounted(t *testing.T) {
	is := is.New(t)
	table, c := newTable()
	for range 30 {
		table.Refused(slotsOfTickets, config.Normal)
		table.Refused(slotsOfTickets, config.Normal)
		table.Refused(slotsOfTickets, config.Critical)
		c.advance(time.Second)
	}
	c.advance(-time.Second)
	rows := table.Rows()
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Refused, []Count{{config.Critical, 10}, {config.Normal, 20}})
	c.advance(5 * time.Second)
	is.Equal(table.Rows()[0].Refused, []Count{{config.Critical, 5}, {config.Normal, 10}})
}

// TestSinceSurvivesShortGapsOnly guards against a beginning that starts anew between two
// retries of the same callers, or that is never reset.
func TestSinceSurvivesShortGapsOnly(t *testing.T) {
	is := is.New(t)
	table, c := newTable()
	began := c.at
	table.Refused(slotsOfTickets, config.Normal)
	c.advance(maxGap)
	table.Refused(slotsOfTickets, config.Normal)
	is.Equal(table.Rows()[0].Since, began)
	c.advance(maxGap + time.Millisecond)
	table.Refused(slotsOfTickets, config.Normal)
	is.Equal(table.Rows()[0].Since, c.at)
}

// TestEntriesEndWithTheWindow guards against resources that are shown and counted as scarce
// long after the last refusal.
func TestEntriesEndWithTheWindow(t *testing.T) {
	is := is.New(t)
	table, c := newTable()
	table.Refused(slotsOfTickets, config.Normal)
	c.advance(9 * time.Second)
	is.Equal(table.Scarce(Slots), 1)
	is.Equal(table.Scarce(Link), 0)
	c.advance(time.Second)
	is.Equal(table.Scarce(Slots), 0)
	is.Equal(len(table.Rows()), 0)
}

// TestLongWaitsAreScarcityAndShortOnesAreNot guards against rows for every upstream with a
// queue, and against a longest wait that a shorter or an expired one replaces.
func TestLongWaitsAreScarcityAndShortOnesAreNot(t *testing.T) {
	is := is.New(t)
	table, c := newTable()
	table.Waited(slotsOfTickets, 99*time.Millisecond, 100*time.Millisecond)
	is.Equal(len(table.Rows()), 0)
	table.Waited(slotsOfTickets, 200*time.Millisecond, 100*time.Millisecond)
	table.Waited(slotsOfTickets, 50*time.Millisecond, 100*time.Millisecond)
	is.Equal(table.Rows()[0].Wait, 200*time.Millisecond)
	c.advance(waitMaxAge)
	is.Equal(table.Rows()[0].Wait, time.Duration(0))
	table.Waited(slotsOfTickets, 50*time.Millisecond, 100*time.Millisecond)
	is.Equal(table.Rows()[0].Wait, 50*time.Millisecond)
}

// TestTableIsBounded guards against growth with the number of workspaces and VMs, and against
// refusals that are lost because the table is full.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table, c := newTable()
	for i := range 3 * maxEntries {
		table.Refused(Key{Resource: Limit, Name: fmt.Sprint("w", i), Where: "ikeja"}, config.Normal)
	}
	rows := table.Rows()
	is.True(len(rows) <= maxEntries+len(Resources()))
	total := 0
	for _, r := range rows {
		for _, n := range r.Refused {
			total += n.N
		}
	}
	is.Equal(total, 3*maxEntries)
	c.advance(windowSeconds * time.Second)
	table.Refused(slotsOfTickets, config.Normal) // expired entries make room
	is.Equal(table.Rows()[0].Key, slotsOfTickets)
}

// TestResourceOfReasons guards against a reason of a refusal that no resource is shown for.
func TestResourceOfReasons(t *testing.T) {
	for reason, want := range map[outcome.Reason]Resource{
		"overload": Slots, "upstream-limit": Slots, "link-busy": Link, "nested-overload": NestedCalls,
		"over-limit": Limit, "unreachable": Reachability, "no-route": "", "draining": "", "deadline": "",
	} {
		if got, ok := ResourceOf(reason); got != want || ok != (want != "") {
			t.Errorf("reason %s: got resource %q, %v; want %q", reason, got, ok, want)
		}
	}
}

// BenchmarkRefused measures what a refusal costs the call path.
func BenchmarkRefused(b *testing.B) {
	table := New(time.Now)
	for b.Loop() {
		table.Refused(slotsOfTickets, config.Normal)
	}
}
