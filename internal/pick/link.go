package pick

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// linkBusyMaxAge is how long a report of a wait for an owner's link counts: an owner that
// fails right after its report is still marked as unreachable within about a second.
const linkBusyMaxAge = time.Second

// usesLink reports whether the call has a long body or a long answer, which wait for the
// link of the upstream's VM.
func (c Criteria) usesLink() bool {
	return c.Body >= outcome.LongBody || c.Answer >= outcome.LongBody
}

// linkWait returns for how long the call should not be sent to the upstream, because its
// owner refused another one for the wait for its link.
func (st *stats) linkWait(c Criteria, now time.Time) time.Duration {
	if !c.usesLink() {
		return 0
	}
	return max(0, st.avoidLinkUntil.Sub(now))
}

// recordLink records the wait for its link that an owner reported.
func (p *Picker) recordLink(u *view.Upstream, wait time.Duration) {
	if wait > 0 {
		p.linkBusyAt[u.Owner] = p.now()
	}
}

// LinkBusy reports whether the upstream's owner has recently reported that responses wait
// for its link.
func (p *Picker) LinkBusy(u view.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.linkBusy(&u)
}

func (p *Picker) linkBusy(u *view.Upstream) bool {
	at, ok := p.linkBusyAt[u.Owner]
	return ok && p.now().Sub(at) < linkBusyMaxAge
}
