package admin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/pressure"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// pressureTable shows the scarce resources that this daemon knows of. A row whose place is a
// failure domain counts calls that were refused in the end, one whose place is a VM counts
// attempts that were refused there.
func pressureTable(s snapshot) result {
	r := result{columns: []string{"resource", "service", "where", "since", "refused", "waiting"}, note: s.pressureNote()}
	for _, row := range s.pressure {
		r.add(string(row.Resource), row.Name, row.Where, row.Since.UTC().Format(time.RFC3339), formatRefused(row.Refused), formatWait(row.Wait))
	}
	return r
}

// formatRefused formats refusals by urgency, or returns a dash for none.
func formatRefused(counts []pressure.Count) string {
	if len(counts) == 0 {
		return "-"
	}
	parts := make([]string, 0, len(counts))
	for _, c := range counts {
		parts = append(parts, c.Urgency.String()+" "+strconv.Itoa(c.N))
	}
	return strings.Join(parts, ", ")
}

// formatWait formats a wait in milliseconds, or returns a dash for none.
func formatWait(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}

// pressureNote says how many daemons the table covers, and what most bytes between failure
// domains are sent for.
func (s snapshot) pressureNote() string {
	covered, live := 0, 0
	s.eachMember(func(m wire.Member, state string, _ time.Duration) {
		if state != "live" {
			return
		}
		live++
		if m.ID == s.world.Self.ID || s.loadKnown(m) {
			covered++
		}
	})
	note := fmt.Sprintf("covers %d of %d live daemons: this one, and those that reported a load to it in the last 10s", covered, live)
	if purpose, bytes := s.largestCrossDomain(); bytes > 0 {
		note += fmt.Sprintf("; most bytes between failure domains: %s, %d since the start", purpose, bytes)
	}
	return note
}

// loadKnown reports whether the load of one of the member's upstreams is known.
func (s snapshot) loadKnown(m wire.Member) bool {
	for _, u := range m.Upstreams {
		if _, ok := s.loads[u.ID]; ok {
			return true
		}
	}
	return false
}

// crossDomainMetrics is the prefix of the counters of bytes between failure domains. The rest
// of a name is the purpose.
const crossDomainMetrics = "cross_domain.bytes."

// largestCrossDomain returns the purpose with the most bytes between failure domains.
func (s snapshot) largestCrossDomain() (purpose string, bytes int64) {
	s.metrics.Each(func(name string, m any) {
		p, ok := strings.CutPrefix(name, crossDomainMetrics)
		counter, isCounter := m.(metrics.Counter)
		if ok && isCounter && counter.Count() > bytes {
			purpose, bytes = p, counter.Count()
		}
	})
	return purpose, bytes
}
