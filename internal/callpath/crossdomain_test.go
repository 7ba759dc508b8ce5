package callpath

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/crossdomain"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// setDomain moves a worker of the rig to a failure domain, as the ingress sees it.
func (r *rig) setDomain(worker int, domain string) {
	r.ingress.view.Load().Services["s"].Upstreams[worker].Domain = domain
}

// TestAttemptsCountForTheirPurpose: bytes of the first attempts of direct and of nested calls and
// of further attempts are counted apart, and none that stay within the failure domain.
func TestAttemptsCountForTheirPurpose(t *testing.T) {
	is := is.New(t)
	r := &remote{domain: "d"}
	other := view.Upstream{Domain: "e"}
	is.Equal(r.purpose(other, &Attempt{}), crossdomain.Calls)
	is.Equal(r.purpose(other, &Attempt{Nested: true}), crossdomain.Nested)
	is.Equal(r.purpose(other, &Attempt{Nested: true, Repeated: true}), crossdomain.Nested)
	is.Equal(r.purpose(other, &Attempt{Retry: true}), crossdomain.Retries)
	is.Equal(r.purpose(other, &Attempt{Retry: true, Nested: true}), crossdomain.Retries)
	is.Equal(r.purpose(view.Upstream{Domain: "d"}, &Attempt{Retry: true}), crossdomain.Uncounted)
}

// TestBytesOfCallsToOtherDomainsAreCounted sends calls to an owner in another failure domain and
// to one in the own, over connections that are reused.
func TestBytesOfCallsToOtherDomainsAreCounted(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	send := func() map[string]int64 {
		before := r.metrics.CrossDomain.Bytes()
		is.Equal(r.send(config.Normal).outcome, "answered")
		after := r.metrics.CrossDomain.Bytes()
		for name := range after {
			after[name] -= before[name]
		}
		return after
	}
	none := map[string]int64{"calls": 0, "nested": 0, "retries": 0, "limits": 0, "control": 0}
	is.Equal(send(), none)
	r.setDomain(0, "e")
	for range 3 {
		counted := send()
		is.True(counted["calls"] > 500 && counted["calls"] < 5000) // the headers of a request and its response
		counted["calls"] = 0
		is.Equal(counted, none)
	}
	is.Equal(r.metrics.OtherDomain.Count(), int64(3))
	is.Equal(r.metrics.OtherDomainRefused.Count(), int64(0))
	r.setDomain(0, "d")
	is.Equal(send(), none)
	is.Equal(r.metrics.OtherDomain.Count(), int64(3))
	r.ingress.countOtherDomain(view.Upstream{Domain: "e"}, outcome.Refuse(outcome.ReasonOverload, 0))
	is.Equal(r.metrics.OtherDomainRefused.Count(), int64(1))
}

// TestBytesOfRetriesAreCountedApart sends a call to two owners in another failure domain of which
// one fails, until it has been retried.
func TestBytesOfRetriesAreCountedApart(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 4, 0)
	r.method = http.MethodGet
	r.setDomain(0, "e")
	r.setDomain(1, "e")
	r.workers[0].fail.Store(true)
	for i := 0; i < 100 && r.metrics.Retries.Count() == 0; i++ {
		r.send(config.Normal)
	}
	is.Equal(r.metrics.Retries.Count(), int64(1))
	is.True(r.metrics.CrossDomain.Bytes()["retries"] > 500)
	is.True(r.metrics.CrossDomain.Bytes()["calls"] > 500)
}

// TestBytesOfInquiriesAreCounted: an inquiry has a connection of its own, which counts for the
// purpose of the attempt that it is about.
func TestBytesOfInquiriesAreCounted(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	u := r.ingress.view.Load().Services["s"].Upstreams[0]
	a := &Attempt{ID: "a-1", Nested: true, Deadline: time.Now().Add(time.Second)}
	_, err := r.ingress.remote.inquire(context.Background(), pathAttempt, u, a)
	is.NoErr(err)
	is.Equal(r.metrics.CrossDomain.Bytes()["nested"], int64(0))
	u.Domain = "e"
	_, err = r.ingress.remote.inquire(context.Background(), pathAttempt, u, a)
	is.NoErr(err)
	is.True(r.metrics.CrossDomain.Bytes()["nested"] > 100)
}
