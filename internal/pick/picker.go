// Package pick chooses an upstream for each attempt, by what its callers' daemon has seen
// of the upstreams. It carries nothing; the clock is handed in.
package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

const (
	// reportFresh is how long an owner's report of its load is believed.
	reportFresh = time.Second
	// serviceFresh is how long a service time is believed. After it the
	// upstream is tried again as if it were unknown, so that one that was
	// slow once is not shunned for good.
	serviceFresh = 10 * time.Second
	// errorWeight is the weight of the newest answer in the error rate.
	errorWeight = 0.05
	// errorCost is what a certain failure costs as a multiple of a call's
	// worth: more than the longest wait, or an upstream that fails fast would
	// attract the calls. A likely one costs its square: one failure in ten is
	// often that of a call made elsewhere, and no reason to leave the failure
	// domain; six in ten cost half of what a call is worth.
	errorCost = 1.5
)

// awayRetry is when an upstream that has left or could not be reached is tried
// again: half of what a killed process takes to come back, so that it is found
// soon and the attempts that only find it gone stay few.
const awayRetry = 500 * time.Millisecond

// stats is what this ingress knows of one upstream.
type stats struct {
	outstanding int
	load        outcome.Load
	loadAt      time.Time
	errors      float64
	// avoidUntil is set while the owner asked to be left alone, by urgency: a
	// refusal says nothing about calls that are more urgent, which may take
	// the place of those that wait.
	avoidUntil [config.MostUrgent + 1]time.Time
	room       room
	seen       time.Time
}

// Picker chooses an upstream for each attempt: the one where the expected time
// and the way there cost least. Safe for concurrent use.
type Picker struct {
	mu     sync.Mutex
	domain string
	// byteCost is what a byte between failure domains costs as a part of a
	// call's worth.
	byteCost float64
	now      func() time.Time
	rand     *rand.Rand
	stats    map[string]*stats
	// down holds the owners that this daemon cannot reach.
	down   map[string]bool
	routes routeTable
	// partitions and typicals hold what follows from a service's upstreams, by its name.
	partitions map[string]*partition
	typicals   map[string]typicalAt
	// rooms holds the part of the calls that all owners refuse, by service.
	rooms map[string]*room
	sweep time.Time
}

// New returns a picker for a daemon of the failure domain. byteCost is what a byte between
// failure domains costs as a part of a call's worth.
func New(domain string, byteCost float64, now func() time.Time, seed uint64) *Picker {
	return &Picker{
		domain: domain, byteCost: byteCost, now: now, rand: rand.New(rand.NewPCG(seed, seed)),
		stats: map[string]*stats{}, down: map[string]bool{}, routes: routeTable{},
		partitions: map[string]*partition{}, typicals: map[string]typicalAt{}, rooms: map[string]*room{},
	}
}

// busy is the most attempts known to be at the upstream.
func (p *Picker) busy(st *stats, now time.Time) int {
	if st == nil {
		return 0
	}
	n := st.outstanding
	if now.Sub(st.loadAt) < reportFresh {
		n = max(n, st.load.InFlight+st.load.Queued)
	}
	return n
}

// Observe takes note of what became of an attempt at the upstream.
func (p *Picker) Observe(u view.Upstream, urgency config.Urgency, r outcome.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.of(&u)
	if r.HasLoad {
		st.load = r.Load
		st.loadAt = p.now()
	}
	p.noteRoom(u.Service, st, urgency, r, p.now())
	switch {
	case r.OfRequest():
		// Others are as welcome there as before.
	case r.Outcome == outcome.NotRun && r.Away():
		st.avoid(config.MostUrgent, p.now().Add(awayRetry))
	case r.Outcome == outcome.NotRun && r.RetryAfter > 0:
		st.avoid(urgency, p.now().Add(r.RetryAfter))
	case r.Outcome == outcome.Answered && r.Status < 500:
		st.errors -= errorWeight * st.errors
	case r.Outcome != outcome.NotRun && r.Reason != outcome.ReasonCancelled:
		st.errors += errorWeight * (1 - st.errors)
	}
}

// avoid keeps calls of this urgency and below away until then.
func (st *stats) avoid(urgency config.Urgency, until time.Time) {
	for u := range urgency + 1 {
		st.avoidUntil[u] = until
	}
}

// Finished takes note that an attempt picked before is no longer outstanding.
func (p *Picker) Finished(u view.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(&u).outstanding--
}

func (p *Picker) of(u *view.Upstream) *stats {
	st := p.stats[u.ID]
	if st == nil {
		st = &stats{}
		p.stats[u.ID] = st
	}
	st.seen = p.now()
	return st
}

// SetDown takes note whether an owner can be reached. It reports whether that
// is news.
func (p *Picker) SetDown(owner string, down bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := p.down[owner] != down
	if down {
		p.down[owner] = true
	} else {
		delete(p.down, owner)
	}
	return news
}

// statsKeep is how long an unused upstream's statistics are kept.
const statsKeep = 10 * time.Minute

// Loads returns the loads that owners reported recently.
func (p *Picker) Loads() map[string]outcome.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	loads := map[string]outcome.Load{}
	for id, st := range p.stats {
		if now.Sub(st.loadAt) < serviceFresh {
			loads[id] = st.load
		}
	}
	return loads
}

func (p *Picker) expire(now time.Time) {
	if now.Before(p.sweep) {
		return
	}
	p.sweep = now.Add(statsKeep / 10)
	clear(p.partitions)
	clear(p.typicals)
	for id, st := range p.stats {
		if st.outstanding == 0 && now.Sub(st.seen) > statsKeep {
			delete(p.stats, id)
		}
	}
}

// Home returns the upstream with the highest rendezvous hash for the key.
func Home(list []view.Upstream, key string) *view.Upstream {
	var home *view.Upstream
	var best uint64
	for i := range list {
		h := xxhash.Sum64String(list[i].ID + "\x00" + key)
		if home == nil || h > best {
			home, best = &list[i], h
		}
	}
	return home
}
