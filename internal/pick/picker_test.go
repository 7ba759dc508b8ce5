package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/view"
)

// Parameters of these tests: a service with three upstreams of 12 slots in each of three
// failure domains, calls of 120 ms with an objective of 400 ms, 400 B answers and 60 KB
// uploads; a megabyte between failure domains costs 40 times a call's worth.
const (
	testObjective = 400 * time.Millisecond
	testService   = 120 * time.Millisecond
	testByteCost  = 40 / 1e6
	testUpload    = 65_000
	testLookup    = 1300
)

type pickerFixture struct {
	*Picker
	service *view.Service
	at      time.Time
}

func newPickerFixture(domains ...string) *pickerFixture {
	f := &pickerFixture{at: time.Unix(1000, 0), service: &view.Service{Service: config.Service{Name: "s"}}}
	f.Picker = New("a", testByteCost, func() time.Time { return f.at }, 1)
	for _, d := range domains {
		for i := range 3 {
			id := fmt.Sprintf("%s%d", d, i)
			f.service.Upstreams = append(f.service.Upstreams, view.Upstream{ID: id, Domain: d, Owner: id, Slots: 12})
		}
	}
	return f
}

// reportLoad records the same load report for all upstreams of a failure domain.
func (f *pickerFixture) reportLoad(domain string, l outcome.Load) {
	for i := range f.service.Upstreams {
		if u := &f.service.Upstreams[i]; u.Domain == domain {
			f.Observe(*u, config.Normal, outcome.Result{Outcome: outcome.Answered, Status: 200, Load: l, HasLoad: true})
		}
	}
}

// pickedDomains returns how many of 300 calls are sent to each failure domain.
func (f *pickerFixture) pickedDomains(bytes int) map[string]int {
	n := map[string]int{}
	for range 300 {
		u, _, ok := f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective, TypicalLatency: testService, Bytes: bytes})
		if !ok {
			n["none"]++
			continue
		}
		n[u.Domain]++
		f.Finished(u)
	}
	return n
}

// TestCallsStayInTheirDomainWhileItServesThem: five of twelve slots are busy in the
// caller's domain and four in the others. At such an ordinary load, busy slots do not
// mean a wait yet, so that lookups and uploads must both stay in the caller's domain.
func TestCallsStayInTheirDomainWhileItServesThem(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a", "b", "c")
	f.reportLoad("a", outcome.Load{InFlight: 5, Slots: 12, Service: testService})
	f.reportLoad("b", outcome.Load{InFlight: 4, Slots: 12, Service: testService})
	f.reportLoad("c", outcome.Load{InFlight: 4, Slots: 12, Service: testService})
	is.Equal(f.pickedDomains(testLookup)["a"], 300)
	is.Equal(f.pickedDomains(testUpload)["a"], 300)
}

// TestShortCallsLeaveAFullDomain: the upstreams of the caller's domain have a queue as
// long as their slots, which costs more than sending a lookup to another domain and less
// than sending an upload.
func TestShortCallsLeaveAFullDomain(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a", "b", "c")
	f.reportLoad("a", outcome.Load{InFlight: 12, Queued: 12, Slots: 12, Service: testService})
	f.reportLoad("b", outcome.Load{InFlight: 4, Slots: 12, Service: testService})
	f.reportLoad("c", outcome.Load{InFlight: 4, Slots: 12, Service: testService})
	is.Equal(f.pickedDomains(testLookup)["a"], 0)
	is.Equal(f.pickedDomains(testUpload)["a"], 300)
}

// TestCallsStayInTheirDomainUnderContention guards against calls that go back and forth between
// failure domains all of which are full: the upstreams of the caller's domain have a queue, the
// others hardly a shorter one. Only calls that find no room at all in their domain leave it.
func TestCallsStayInTheirDomainUnderContention(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a", "b", "c")
	f.reportLoad("a", outcome.Load{InFlight: 12, Queued: 9, Slots: 12, Service: testService})
	f.reportLoad("b", outcome.Load{InFlight: 12, Queued: 4, Slots: 12, Service: testService})
	f.reportLoad("c", outcome.Load{InFlight: 12, Queued: 4, Slots: 12, Service: testService})
	is.Equal(f.pickedDomains(testLookup)["a"], 0)
	f.SetContention(true)
	is.Equal(f.pickedDomains(testLookup)["a"], 300)
	for i := range 3 {
		f.Observe(f.service.Upstreams[i], config.Normal, outcome.Refuse(outcome.ReasonOverload, time.Second))
	}
	is.Equal(f.pickedDomains(testLookup)["a"], 0)
	is.Equal(f.pickedDomains(testLookup)["none"], 0)
	f.SetContention(false)
	is.Equal(f.pickedDomains(testLookup)["none"], 0)
}

// TestRefusedCallsLeaveTheirDomainUnderContention guards against calls that are refused while
// another failure domain has room, because their bytes count more under contention: that decides
// between domains that would both take the call. The call here is worth three times its bytes.
func TestRefusedCallsLeaveTheirDomainUnderContention(t *testing.T) {
	is := is.New(t)
	const bytes = 8000
	f := newPickerFixture("a", "b")
	f.SetContention(true)
	f.reportLoad("b", outcome.Load{InFlight: 4, Slots: 12, Service: testService})
	for i := range 3 {
		f.Observe(f.service.Upstreams[i], config.Normal, outcome.Refuse(outcome.ReasonOverload, time.Second))
	}
	is.Equal(f.pickedDomains(bytes), map[string]int{"b": 300})
	is.Equal(f.pickedDomains(testUpload), map[string]int{"none": 300})
}

// TestUploadsAreRefusedRatherThanSentToAnotherDomain: the upstreams of the caller's
// domain refuse calls and set a retry-after time. Sending an upload to another domain
// would cost 2.6 times its worth, so it is refused; if the caller's domain has no
// upstream at all, it is sent there nevertheless.
func TestUploadsAreRefusedRatherThanSentToAnotherDomain(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a", "b")
	for i := range 3 {
		f.Observe(f.service.Upstreams[i], config.Normal, outcome.Refuse(outcome.ReasonOverload, time.Second))
	}
	is.Equal(f.pickedDomains(testUpload)["none"], 300)
	is.Equal(f.pickedDomains(testLookup)["b"], 300)
	f.service.Upstreams = f.service.Upstreams[3:]
	is.Equal(f.pickedDomains(testUpload)["b"], 300)
}

// TestRefusalCarriesTheOwnersRetryAfter: all upstreams of the domain were tried and
// refused with a retry-after time of 80 ms. The caller must get that time, not the second
// that is used when nothing is known.
func TestRefusalCarriesTheOwnersRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a")
	var tried []string
	for _, u := range f.service.Upstreams {
		f.Observe(u, config.Normal, outcome.Refuse(outcome.ReasonOverload, 80*time.Millisecond))
		tried = append(tried, u.ID)
	}
	_, refusal, ok := f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective, Tried: tried})
	is.True(!ok)
	is.Equal(refusal.RetryAfter, 80*time.Millisecond)
}

// TestRefusalWithoutAnAttemptCarriesTheOwnersRetryAfter: a daemon that has just been
// refused by all owners refuses the next call without an attempt, and must pass on their
// retry-after times. Of 7,047 refusals for a service short of slots, 4,936 were made that
// way, with a retry-after time of a second where that of the owners was 20 ms.
func TestRefusalWithoutAnAttemptCarriesTheOwnersRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a")
	for i, u := range f.service.Upstreams {
		f.Observe(u, config.Normal, outcome.Refuse(outcome.ReasonOverload, time.Duration(i+3)*10*time.Millisecond))
	}
	f.at = f.at.Add(5 * time.Millisecond)
	_, refusal, ok := f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective})
	is.True(!ok)
	is.Equal(refusal, outcome.Refuse(outcome.ReasonOverload, 25*time.Millisecond))
}

// TestRefusalReasonTellsUnreachableFromOverload: upstreams that are unreachable must not
// be reported as overloaded.
func TestRefusalReasonTellsUnreachableFromOverload(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a")
	for _, u := range f.service.Upstreams {
		f.SetDown(u.Owner, true)
	}
	_, refusal, _ := f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective})
	is.Equal(refusal, outcome.Refuse(outcome.ReasonUnreachable, DefaultRetryAfter))
	f.service.Upstreams = nil
	_, refusal, _ = f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective})
	is.Equal(refusal, outcome.Refuse(outcome.ReasonNoUpstream, DefaultRetryAfter))
}

// TestOccasionalErrorsDoNotSendCallsToAnotherDomain: one run in ten at the upstreams of
// the caller's domain fails, for instance because a nested call is refused elsewhere.
// That is no reason to send calls to another domain, to upstreams without recent reports.
// An upstream that fails nine times in ten must get no calls.
func TestOccasionalErrorsDoNotSendCallsToAnotherDomain(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a", "b")
	f.reportLoad("a", outcome.Load{InFlight: 4, Slots: 12, Service: testService})
	for i := range 3 {
		f.stats[f.service.Upstreams[i].ID].errorRate = 0.1
	}
	is.Equal(f.pickedDomains(testLookup)["a"], 300)
	f.stats["a1"].errorRate = 0.9
	for range 300 {
		u, _, _ := f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective, TypicalLatency: testService, Bytes: testLookup})
		is.True(u.ID != "a1")
		f.Finished(u)
	}
}

// TestDrainingUpstreamIsNotPicked: an upstream that has stated that it is draining gets no more
// calls, also if its owner still lists it. Another incarnation under the same ID does.
func TestDrainingUpstreamIsNotPicked(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a", "b")
	for i := range 3 {
		is.True(f.SetDraining(f.service.Upstreams[i]))
		is.True(!f.SetDraining(f.service.Upstreams[i]))
	}
	is.Equal(f.pickedDomains(testUpload), map[string]int{"b": 300}) // none is left in its own domain
	f.service.Upstreams[0].ProcessIncarnation = "second"
	is.Equal(f.pickedDomains(testUpload)["a"], 300)
	f.service.Upstreams = f.service.Upstreams[1:3]
	_, refusal, ok := f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective})
	is.True(!ok)
	is.Equal(refusal.Reason, outcome.ReasonNoUpstream)
}

// TestRefusalNamesTheResourceThatOwnersRefusedFor guards against calls that are refused as
// overload while all owners refuse them for their links: nobody would look at the links.
func TestRefusalNamesTheResourceThatOwnersRefusedFor(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a")
	for i, u := range f.service.Upstreams {
		f.Observe(u, config.Normal, outcome.Refuse(outcome.ReasonLink, time.Duration(i+1)*30*time.Millisecond))
	}
	_, refusal, ok := f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective, Answer: outcome.LongBody})
	is.True(!ok)
	is.Equal(refusal, outcome.Refuse(outcome.ReasonLink, 30*time.Millisecond))
	for _, u := range f.service.Upstreams {
		f.Observe(u, config.Normal, outcome.Refuse(outcome.ReasonUpstreamRefused, 20*time.Millisecond))
	}
	_, refusal, _ = f.Pick(f.service, Criteria{Urgency: config.Normal, Objective: testObjective})
	is.Equal(refusal.Reason, outcome.ReasonOverload) // the upstreams refused, not their owners
}

// TestRefusalReasonIsThatOfTheAvoidance guards against calls that are refused for the last
// reason that owners gave to any call: short calls, which never wait for a link, would be shown
// as refused for it, and long ones that only the link keeps away as refused for slots.
func TestRefusalReasonIsThatOfTheAvoidance(t *testing.T) {
	is := is.New(t)
	f := newPickerFixture("a")
	for _, u := range f.service.Upstreams {
		f.Observe(u, config.Normal, outcome.Refuse(outcome.ReasonUpstreamLimit, 100*time.Millisecond))
		f.Observe(u, config.Normal, outcome.Refuse(outcome.ReasonLink, 200*time.Millisecond))
	}
	short := Criteria{Urgency: config.Normal, Objective: testObjective}
	long := Criteria{Urgency: config.Normal, Objective: testObjective, Answer: outcome.LongBody}
	_, refusal, _ := f.Pick(f.service, short)
	is.Equal(refusal, outcome.Refuse(outcome.ReasonUpstreamLimit, 100*time.Millisecond))
	_, refusal, _ = f.Pick(f.service, long)
	is.Equal(refusal, outcome.Refuse(outcome.ReasonLink, 200*time.Millisecond))
	for _, u := range f.service.Upstreams {
		f.Observe(u, config.Normal, outcome.Refuse(outcome.ReasonUpstreamLimit, 100*time.Millisecond))
	}
	f.at = f.at.Add(150 * time.Millisecond)
	_, refusal, _ = f.Pick(f.service, long)
	is.Equal(refusal, outcome.Refuse(outcome.ReasonLink, 50*time.Millisecond))
}

// TestCompressedCallsCostFewerBytes: a call that is too expensive for another failure domain with
// its headers as they are may go there if they are compressed.
func TestCompressedCallsCostFewerBytes(t *testing.T) {
	is := is.New(t)
	const bytes = headerBytes + 100
	picks := func(compressed bool) (picked string) {
		p := New("d", 1.0/(bytes-1), time.Now, 1) // a call of that many bytes costs more than its worth
		near := view.Upstream{ID: "near", Service: "s", Slots: 1, Owner: "n", Domain: "d"}
		far := view.Upstream{ID: "far", Service: "s", Slots: 1, Owner: "f", Domain: "e", Compress: compressed}
		s := &view.Service{Service: config.Service{Name: "s"}, Upstreams: []view.Upstream{near, far}}
		p.Observe(near, config.Normal, outcome.Refuse(outcome.ReasonOverload, time.Minute))
		u, _, _ := p.Pick(s, Criteria{Urgency: config.Normal, Objective: time.Second, TypicalLatency: time.Millisecond, Bytes: bytes})
		return u.ID
	}
	is.Equal(picks(false), "")
	is.Equal(picks(true), "far")
}
