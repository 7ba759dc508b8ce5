package callpath

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// ask sends a GET and returns why it was not answered, or nothing.
func (r *rig) ask(path string, header ...string) (reason, after string) {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodGet, r.srv.URL+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set(HeaderCaller, "c")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := r.client.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	return res.Header.Get(HeaderReason), res.Header.Get("Retry-After")
}

// endBy lets each worker end under a request for the path, and counts its runs there.
func (r *rig) endBy(path string) (runs func() int) {
	ran := make(chan struct{}, 100)
	for _, w := range r.workers {
		serve := w.up.Config.Handler
		w.up.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			if req.URL.RequestURI() != path {
				serve.ServeHTTP(rw, req)
				return
			}
			ran <- struct{}{}
			w.up.Listener.Close()
			go w.up.CloseClientConnections()
			<-req.Context().Done()
		})
	}
	return func() int { return len(ran) }
}

// revive starts a worker's upstream again, at another address.
func (r *rig) revive() {
	for _, w := range r.workers {
		w.up.Close()
		w.up = httptest.NewServer(w.up.Config.Handler)
	}
	r.update()
}

// TestSuspectIsTriedThriceAndThenRefusedAtOnce sends a request that ends its upstreams.
// One call, which may be repeated, ends three at the most; after that it is refused where
// it comes in, with when to come back, and others are served, also such as share its path.
func TestSuspectIsTriedThriceAndThenRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 5, 4, time.Millisecond)
	runs := r.endBy("/normal?x=1")
	for range 3 {
		r.ask("/normal?x=1")
	}
	is.Equal(runs(), suspect.Enough)
	r.revive()
	reason, after := r.ask("/normal?x=1")
	is.Equal(reason, string(outcome.ReasonQuarantined))
	is.True(after != "")
	is.Equal(runs(), suspect.Enough)
	for _, path := range []string{"/normal", "/normal?x=2", "/critical?x=1"} {
		reason, _ := r.ask(path)
		is.Equal(reason, "")
	}
	is.Equal(r.metrics.Quarantined.Count() > 0, true)
}

// TestDaemonsTellEachOtherWithTheAttempt: an ingress that has not heard of a quarantine
// learns it from the owner, an owner from the ingress, before anything runs; and what one
// request is refused for keeps no other from the upstream.
func TestDaemonsTellEachOtherWithTheAttempt(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, time.Millisecond)
	w := r.workers[0]
	a := Attempt{Caller: "c", Method: http.MethodGet, URL: mustURL(t, "/normal?x=1"), AnyHost: true}
	for end := range suspect.Enough {
		w.owner.cfg.Suspects.Charge(a.digest(), suspect.End(end+1))
	}
	reason, _ := r.ask("/normal?x=1")
	is.Equal(reason, string(outcome.ReasonQuarantined))
	is.Equal(r.ingress.cfg.Suspects.Ends(a.digest()), suspect.Enough)
	is.Equal(w.runs.Load(), int64(0))
	reason, _ = r.ask("/normal?x=2")
	is.Equal(reason, "")

	b := Attempt{Caller: "c", Method: http.MethodGet, URL: mustURL(t, "/normal?x=3"), AnyHost: true}
	r.ingress.cfg.Suspects.Charge(b.digest(), 1)
	reason, _ = r.ask("/normal?x=3")
	is.Equal(reason, "")
	is.Equal(w.owner.cfg.Suspects.Ends(b.digest()), 0) // heard of, and cleared by its answer
	rec, ok := w.owner.cfg.Suspects.Record(b.digest())
	is.True(ok && rec.Round == 1)
}

// TestCallersCannotPutOthersUnderSuspicion sends the header that daemons tell suspects with.
func TestCallersCannotPutOthersUnderSuspicion(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, time.Millisecond)
	a := Attempt{Caller: "c", Method: http.MethodGet, URL: mustURL(t, "/normal"), AnyHost: true}
	reason, _ := r.ask("/normal", headerSuspect, fmt.Sprintf(`{"d":%d,"e":[1,2,3],"t":%d}`, a.digest(), time.Now().UnixMilli()))
	is.Equal(reason, "")
	is.True(!r.workers[0].owner.cfg.Suspects.Any())
	is.True(!r.ingress.cfg.Suspects.Any())
}

// TestSuspectsAStepFromQuarantineRunApart: one runs beside no other suspect, whoever came
// first, and no copy of itself. Calls that nobody suspects may join it.
func TestSuspectsAStepFromQuarantineRunApart(t *testing.T) {
	is := is.New(t)
	tab := suspect.NewTable(time.Now)
	attempt := func(path string, ends int) *Attempt {
		a := &Attempt{Method: http.MethodGet, URL: mustURL(t, path)}
		for e := range ends {
			tab.Charge(a.digest(), suspect.End(e+1))
		}
		return a
	}
	var rs runs
	first := attempt("/a", stepFrom)
	is.Equal(rs.enter(tab, first), outcome.Reason(""))
	is.Equal(rs.enter(tab, attempt("/a", 0)), outcome.ReasonTried)
	is.Equal(rs.enter(tab, attempt("/b", stepFrom)), outcome.ReasonApart)
	is.Equal(rs.enter(tab, attempt("/c", 1)), outcome.ReasonApart)
	is.Equal(rs.enter(tab, attempt("/d", 0)), outcome.Reason(""))
	is.Equal(rs.enter(tab, attempt("/d", 0)), outcome.Reason(""))
	rs.leave(first)
	is.Equal(rs.enter(tab, attempt("/b", 0)), outcome.Reason(""))
}

// TestAnEndIsPutDownToTheSuspectThatRanThere: those that ran beside it are not charged.
func TestAnEndIsPutDownToTheSuspectThatRanThere(t *testing.T) {
	is := is.New(t)
	tab := suspect.NewTable(time.Now)
	o := &Owner{cfg: OwnerConfig{Suspects: tab}, recent: suspect.NewRecent(time.Now)}
	var rs runs
	culprit := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/a")}
	beside := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/b")}
	usual := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/c")}
	o.answered(usual, http.StatusOK)
	all := []*Attempt{culprit, beside, usual}
	for _, a := range all {
		is.Equal(rs.enter(tab, a), outcome.Reason(""))
	}
	charge := func(n uint64) {
		e := end{n: n, culprit: rs.culprit(tab)}
		for _, a := range all {
			o.charge(a, e)
		}
	}
	charge(1)
	is.Equal(tab.Ends(usual.digest()), 0) // answered here lately
	o.answered(beside, http.StatusInternalServerError)
	is.Equal(tab.Ends(beside.digest()), 1) // a failure clears nothing
	o.answered(beside, http.StatusOK)
	charge(2)
	charge(3)
	is.Equal(tab.Ends(culprit.digest()), 3)
	is.Equal(tab.Ends(beside.digest()), 1)       // excused for the second
	is.Equal(tab.Ends(usual.digest()), stepFrom) // excused once
	charge(4)
	charge(5)
	is.Equal(tab.Ends(beside.digest()), stepFrom) // put down to the one in quarantine
	is.Equal(tab.Ends(usual.digest()), stepFrom)
}

// TestDaemonThatAnsweredVouchesOnce: for a request that many ask for, and not again and
// again for one that has become deadly.
func TestDaemonThatAnsweredVouchesOnce(t *testing.T) {
	is := is.New(t)
	tab := suspect.NewTable(time.Now)
	o := &Owner{cfg: OwnerConfig{Suspects: tab}, recent: suspect.NewRecent(time.Now)}
	a := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/a")}
	quarantine := func() suspect.Record {
		for e := range suspect.Enough {
			tab.Charge(a.digest(), suspect.End(e+1))
		}
		rec, _ := tab.Record(a.digest())
		return rec
	}
	o.Vouch(quarantine())
	is.Equal(tab.Ends(a.digest()), suspect.Enough) // nobody here has answered it
	tab.Answered(a.digest())
	o.recent.Add(a.digest())
	o.Vouch(quarantine())
	is.Equal(tab.Ends(a.digest()), 0)
	o.Vouch(quarantine())
	is.Equal(tab.Ends(a.digest()), suspect.Enough)
}

// TestAnEndUnderTwoOfThemProvesNothing: it is known of neither then, and they are kept
// apart from there on.
func TestAnEndUnderTwoOfThemProvesNothing(t *testing.T) {
	is := is.New(t)
	tab := suspect.NewTable(time.Now)
	o := &Owner{cfg: OwnerConfig{Suspects: tab}, recent: suspect.NewRecent(time.Now)}
	one := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/a")}
	two := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/b")}
	var rs runs
	is.Equal(rs.enter(tab, one), outcome.Reason(""))
	is.Equal(rs.enter(tab, two), outcome.Reason(""))
	for n := range uint64(4) {
		e := end{n: n + 1, culprit: rs.culprit(tab)}
		o.charge(one, e)
		o.charge(two, e)
	}
	is.Equal(tab.Ends(one.digest()), stepFrom)
	is.Equal(tab.Ends(two.digest()), stepFrom)
	rs.leave(one)
	is.Equal(rs.enter(tab, one), outcome.ReasonApart)
}

func mustURL(t *testing.T, text string) *url.URL {
	t.Helper()
	u, err := url.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return u
}
