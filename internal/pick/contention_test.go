package pick

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// contentionRig is a picker in domain "d" with owners there and in domain "e".
type contentionRig struct {
	*Picker
	now        time.Time
	here, away view.Upstream
}

func newContentionRig() *contentionRig {
	r := &contentionRig{
		now:  time.Unix(1000, 0),
		here: view.Upstream{ID: "here", Service: "s", Domain: "d"},
		away: view.Upstream{ID: "away", Service: "s", Domain: "e"},
	}
	r.Picker = New("d", 40e-6, func() time.Time { return r.now }, 1)
	r.SetContention(true)
	return r
}

// observe records n attempts at an upstream, of which a fraction was refused as overload.
func (r *contentionRig) observe(u view.Upstream, n int, refused float64) {
	for i := range n {
		result := outcome.Result{Outcome: outcome.Answered, Status: 200}
		if float64(i%10) < 10*refused {
			result = outcome.Refuse(outcome.ReasonOverload, time.Millisecond)
		}
		r.Observe(u, config.Normal, result)
	}
}

func (r *contentionRig) factor(refusedIn ...string) float64 {
	return r.contentionFactor(&r.away, Criteria{Urgency: config.Normal, RefusedIn: refusedIn}, r.now)
}

// TestBytesCostLessToADomainWithRoom guards against calls that are refused in a domain with a peak
// of demand while another has free slots, and against domains that are equally full and send
// their calls to each other.
func TestBytesCostLessToADomainWithRoom(t *testing.T) {
	is := is.New(t)
	r := newContentionRig()
	is.Equal(r.factor(), float64(maxContentionFactor)) // nothing is known
	r.observe(r.here, 200, 0)
	r.observe(r.away, 200, 0)
	is.Equal(r.factor(), float64(maxContentionFactor)) // no reason to leave
	r.observe(r.here, 200, 0.3)
	r.observe(r.away, 200, 0)
	is.True(r.factor() < 1.5)
	r.observe(r.away, 200, 0.3)
	r.observe(r.here, 200, 0.3)
	is.True(r.factor() > 0.7*maxContentionFactor)
	r.SetContention(false)
	is.Equal(r.factor(), 1.0)
}

// TestRefusalsOfACallCountForItsDomain guards against a call that is refused by owner after owner
// in its domain because nothing is known of the others: each refusal makes another domain cheaper,
// until that domain refuses the call as well.
func TestRefusalsOfACallCountForItsDomain(t *testing.T) {
	is := is.New(t)
	r := newContentionRig()
	r.observe(r.here, 200, 0.1)
	none, one, two := r.factor(), r.factor("d"), r.factor("d", "d")
	is.True(none > one && one > two)
	is.True(two < maxContentionFactor/2)
	is.True(r.factor("d", "d", "e") > two)
}

// TestRefusalRatesOfDomainsDecay guards against a domain that is avoided, or preferred, for what
// it did some seconds ago.
func TestRefusalRatesOfDomainsDecay(t *testing.T) {
	is := is.New(t)
	r := newContentionRig()
	r.observe(r.away, 200, 0)
	r.observe(r.here, 200, 0.5)
	is.True(r.factor() < 2)
	r.now = r.now.Add(4 * refusalDecayTime)
	is.True(r.factor() > 0.9*maxContentionFactor) // both count like the whole service
}

// TestRefusalDoesNotImproveAnOwner guards against an owner without recent calls that counts like
// its full domain until it refuses a call, and like the whole service from then on: the call
// after a refusal would go to that owner rather than to those that have refused nothing.
func TestRefusalDoesNotImproveAnOwner(t *testing.T) {
	is := is.New(t)
	r := newContentionRig()
	r.observe(r.away, 400, 0)
	r.observe(r.here, 50, 1)
	r.observe(r.away, 50, 0)
	idle := view.Upstream{ID: "idle", Service: "s", Domain: "d"}
	before := r.refusalRate(&idle, r.stats[idle.ID], config.Normal, r.now)
	r.observe(idle, 1, 1)
	after := r.refusalRate(&idle, r.stats[idle.ID], config.Normal, r.now)
	t.Logf("refusal rate %.3f, after a refusal %.3f", before, after)
	is.True(after >= before)
}
