package pick

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/view"
)

const (
	// maxContentionFactor multiplies the cost of bytes to another failure domain that refuses
	// as many calls as this one: a call that leaves its domain then displaces a call there,
	// which in turn leaves its own domain.
	maxContentionFactor = 8
	// minOwnRefusals is the refusal rate of the owners in this failure domain below which
	// calls have no reason to leave the domain for lack of capacity.
	minOwnRefusals = 0.01
)

// SetContention sets whether callers of all failure domains compete for the same resources.
func (p *Picker) SetContention(contention bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contention = contention
}

// contentionFactor multiplies the cost of the bytes that a call to an upstream in another
// failure domain sends between domains. The factor falls towards 1 as the owners of this domain
// refuse more calls and those of the other domain fewer: a peak of demand in one domain is then
// served by domains with free capacity. The factor is not part of the cost that is compared
// with maxCrossDomainCost.
func (p *Picker) contentionFactor(u *view.Upstream, c Criteria, now time.Time) float64 {
	s := p.refusals[u.Service]
	switch {
	case !p.contention:
		return 1
	case s == nil:
		return maxContentionFactor
	}
	own := afterRefusals(s.domainRate(p.domain, c.Urgency, now), c.refusalsIn(p.domain))
	other := afterRefusals(s.domainRate(u.Domain, c.Urgency, now), c.refusalsIn(u.Domain))
	if own < minOwnRefusals {
		return maxContentionFactor
	}
	return 1 + (maxContentionFactor-1)*min(1, other/own)
}
