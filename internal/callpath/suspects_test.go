package callpath

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// get sends a GET request with these header names and values. It returns the reason why
// the request was not answered, or "", and the Retry-After header.
func (r *rig) get(path string, header ...string) (reason, after string) {
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

// crashOn makes each worker's upstream crash when it runs a request for the path. The
// returned function returns the number of these runs.
func (r *rig) crashOn(path string) (runs func() int) {
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

// restartUpstreams restarts all upstreams, at new addresses.
func (r *rig) restartUpstreams() {
	for _, w := range r.workers {
		w.up.Close()
		w.up = httptest.NewServer(w.up.Config.Handler)
	}
	r.update()
}

// TestPoisonRequestIsQuarantinedAfterThreeCrashes sends a poison request. Repeated calls
// with retries may crash three upstreams at most. After that the ingress must refuse the
// request with a retry-after time, and still serve other requests, including those with
// the same path but another query.
func TestPoisonRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 5, 4, time.Millisecond)
	runs := r.crashOn("/normal?x=1")
	for range 3 {
		r.get("/normal?x=1")
	}
	is.Equal(runs(), suspect.QuarantineThreshold)
	r.restartUpstreams()
	reason, after := r.get("/normal?x=1")
	is.Equal(reason, string(outcome.ReasonQuarantined))
	is.True(after != "")
	is.Equal(runs(), suspect.QuarantineThreshold)
	for _, path := range []string{"/normal", "/normal?x=2", "/critical?x=1"} {
		reason, _ := r.get(path)
		is.Equal(reason, "")
	}
	is.Equal(r.metrics.Quarantined.Count() > 0, true)
}

// TestSuspectRecordsTravelWithAttempts: an ingress without a suspect record must learn it
// from the owner, and an owner from the ingress, before the request runs. The refusal of
// one request must not keep others from the upstream.
func TestSuspectRecordsTravelWithAttempts(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, time.Millisecond)
	w := r.workers[0]
	a := Attempt{Caller: "c", Method: http.MethodGet, URL: mustURL(t, "/normal?x=1"), AnyHost: true}
	for n := range suspect.QuarantineThreshold {
		w.owner.cfg.Suspects.RecordCrash(a.digest(), suspect.CrashID(n+1))
	}
	reason, _ := r.get("/normal?x=1")
	is.Equal(reason, string(outcome.ReasonQuarantined))
	is.Equal(r.ingress.cfg.Suspects.CrashCount(a.digest()), suspect.QuarantineThreshold)
	is.Equal(w.runs.Load(), int64(0))
	reason, _ = r.get("/normal?x=2")
	is.Equal(reason, "")

	b := Attempt{Caller: "c", Method: http.MethodGet, URL: mustURL(t, "/normal?x=3"), AnyHost: true}
	r.ingress.cfg.Suspects.RecordCrash(b.digest(), 1)
	reason, _ = r.get("/normal?x=3")
	is.Equal(reason, "")
	is.Equal(w.owner.cfg.Suspects.CrashCount(b.digest()), 0) // received from the ingress, and cleared by the answer
	rec, ok := w.owner.cfg.Suspects.Record(b.digest())
	is.True(ok && rec.Round == 1)
}

// TestCallersCannotForgeSuspectRecords: a caller sends the header that carries suspect
// records between daemons. It must be ignored, or callers could have the requests of
// others quarantined.
func TestCallersCannotForgeSuspectRecords(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, time.Millisecond)
	a := Attempt{Caller: "c", Method: http.MethodGet, URL: mustURL(t, "/normal"), AnyHost: true}
	reason, _ := r.get("/normal", headerSuspect, fmt.Sprintf(`{"d":%d,"e":[1,2,3],"t":%d}`, a.digest(), time.Now().UnixMilli()))
	is.Equal(reason, "")
	is.True(!r.workers[0].owner.cfg.Suspects.Any())
	is.True(!r.ingress.cfg.Suspects.Any())
}

// TestSuspectsNearQuarantineRunApart: a suspect one crash short of quarantine must run
// beside no other suspect, whichever started first, and beside no copy of itself.
// Requests that are not suspects may run beside it.
func TestSuspectsNearQuarantineRunApart(t *testing.T) {
	is := is.New(t)
	tab := suspect.NewTable(time.Now)
	attempt := func(path string, crashes int) *Attempt {
		a := &Attempt{Method: http.MethodGet, URL: mustURL(t, path)}
		for n := range crashes {
			tab.RecordCrash(a.digest(), suspect.CrashID(n+1))
		}
		return a
	}
	var rs runningAttempts
	first := attempt("/a", isolationThreshold)
	is.Equal(rs.tryAdd(tab, first), outcome.Reason(""))
	is.Equal(rs.tryAdd(tab, attempt("/a", 0)), outcome.ReasonSuspectRunning)
	is.Equal(rs.tryAdd(tab, attempt("/b", isolationThreshold)), outcome.ReasonOtherSuspect)
	is.Equal(rs.tryAdd(tab, attempt("/c", 1)), outcome.ReasonOtherSuspect)
	is.Equal(rs.tryAdd(tab, attempt("/d", 0)), outcome.Reason(""))
	is.Equal(rs.tryAdd(tab, attempt("/d", 0)), outcome.Reason(""))
	rs.remove(first)
	is.Equal(rs.tryAdd(tab, attempt("/b", 0)), outcome.Reason(""))
}

// TestCrashIsAttributedToSuspectNearQuarantine: a crash that is attributed to a suspect
// one crash short of quarantine, or beyond, must not bring the requests that ran beside
// it into quarantine.
func TestCrashIsAttributedToSuspectNearQuarantine(t *testing.T) {
	is := is.New(t)
	tab := suspect.NewTable(time.Now)
	o := &Owner{cfg: OwnerConfig{Suspects: tab}, recent: suspect.NewRecent(time.Now)}
	var rs runningAttempts
	culprit := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/a")}
	bystander := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/b")}
	answered := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/c")}
	o.recordAnswer(answered, http.StatusOK)
	all := []*Attempt{culprit, bystander, answered}
	for _, a := range all {
		is.Equal(rs.tryAdd(tab, a), outcome.Reason(""))
	}
	crashWithAll := func(n uint64) {
		c := crash{n: n, culprit: rs.culprit(tab)}
		for _, a := range all {
			o.recordCrash(a, c)
		}
	}
	crashWithAll(1)
	is.Equal(tab.CrashCount(answered.digest()), 0) // answered here recently
	o.recordAnswer(bystander, http.StatusInternalServerError)
	is.Equal(tab.CrashCount(bystander.digest()), 1) // a 5xx response clears nothing
	o.recordAnswer(bystander, http.StatusOK)
	crashWithAll(2)
	crashWithAll(3)
	is.Equal(tab.CrashCount(culprit.digest()), 3)
	is.Equal(tab.CrashCount(bystander.digest()), 1)                 // the second crash is not recorded for it
	is.Equal(tab.CrashCount(answered.digest()), isolationThreshold) // exempt from one crash only
	crashWithAll(4)
	crashWithAll(5)
	is.Equal(tab.CrashCount(bystander.digest()), isolationThreshold) // attributed to the quarantined request
	is.Equal(tab.CrashCount(answered.digest()), isolationThreshold)
}

// TestOwnerThatAnsweredClearsOnce: popular requests can be quarantined for crashes that
// they did not cause. An owner that answered such a request recently must clear it, but
// only once until the next answer, since the request may have become poisonous.
func TestOwnerThatAnsweredClearsOnce(t *testing.T) {
	is := is.New(t)
	tab := suspect.NewTable(time.Now)
	o := &Owner{cfg: OwnerConfig{Suspects: tab}, recent: suspect.NewRecent(time.Now)}
	a := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/a")}
	quarantine := func() suspect.Record {
		for n := range suspect.QuarantineThreshold {
			tab.RecordCrash(a.digest(), suspect.CrashID(n+1))
		}
		rec, _ := tab.Record(a.digest())
		return rec
	}
	o.ClearIfAnswered(quarantine())
	is.Equal(tab.CrashCount(a.digest()), suspect.QuarantineThreshold) // no upstream here has answered it
	tab.Answered(a.digest())
	o.recent.Add(a.digest())
	o.ClearIfAnswered(quarantine())
	is.Equal(tab.CrashCount(a.digest()), 0)
	o.ClearIfAnswered(quarantine())
	is.Equal(tab.CrashCount(a.digest()), suspect.QuarantineThreshold)
}

// TestCrashUnderTwoSuspectsQuarantinesNeither: crashes of an upstream that was running
// two suspects with equally many crashes cannot be attributed to one of them, so neither
// may be quarantined. From then on they must not run together.
func TestCrashUnderTwoSuspectsQuarantinesNeither(t *testing.T) {
	is := is.New(t)
	tab := suspect.NewTable(time.Now)
	o := &Owner{cfg: OwnerConfig{Suspects: tab}, recent: suspect.NewRecent(time.Now)}
	one := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/a")}
	two := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/b")}
	var rs runningAttempts
	is.Equal(rs.tryAdd(tab, one), outcome.Reason(""))
	is.Equal(rs.tryAdd(tab, two), outcome.Reason(""))
	for n := range uint64(4) {
		c := crash{n: n + 1, culprit: rs.culprit(tab)}
		o.recordCrash(one, c)
		o.recordCrash(two, c)
	}
	is.Equal(tab.CrashCount(one.digest()), isolationThreshold)
	is.Equal(tab.CrashCount(two.digest()), isolationThreshold)
	rs.remove(one)
	is.Equal(rs.tryAdd(tab, one), outcome.ReasonOtherSuspect)
}

// TestCrashesUnknownToOneAnotherQuarantineNoBystander guards against requests that are
// quarantined because they ran beside a poison request at three upstreams, which crashed
// before their daemons had heard of the other crashes. The next crash then tells the poison
// request from the others.
func TestCrashesUnknownToOneAnotherQuarantineNoBystander(t *testing.T) {
	is := is.New(t)
	poison := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/a")}
	bystander := &Attempt{Method: http.MethodGet, URL: mustURL(t, "/b")}
	tab := suspect.NewTable(time.Now)
	for n := range suspect.QuarantineThreshold {
		other := suspect.NewTable(time.Now)
		o := &Owner{cfg: OwnerConfig{Suspects: other}, recent: suspect.NewRecent(time.Now)}
		var rs runningAttempts
		for _, a := range []*Attempt{poison, bystander} {
			a.Upstream = fmt.Sprint("u", n)
			is.Equal(rs.tryAdd(other, a), outcome.Reason(""))
		}
		c := crash{n: 1, culprit: rs.culprit(other)}
		o.recordCrash(poison, c)
		o.recordCrash(bystander, c)
		for _, rec := range other.Records() {
			tab.Merge(rec)
		}
	}
	for _, a := range []*Attempt{poison, bystander} {
		_, refused := quarantined(tab, a, time.Now())
		is.True(!refused) // none of the crashes is attributed to either
	}
	var rs runningAttempts
	is.Equal(rs.tryAdd(tab, poison), outcome.Reason(""))
	is.Equal(rs.tryAdd(tab, bystander), outcome.ReasonOtherSuspect)
	o := &Owner{cfg: OwnerConfig{Suspects: tab}, recent: suspect.NewRecent(time.Now)}
	o.recordCrash(poison, crash{n: 2, culprit: rs.culprit(tab)})
	_, refused := quarantined(tab, poison, time.Now())
	is.True(refused)
	is.Equal(rs.tryAdd(tab, bystander), outcome.ReasonOtherSuspect) // until the poison request has ended
	rs.remove(poison)
	is.Equal(rs.tryAdd(tab, bystander), outcome.Reason(""))
}

// TestSuspectRunsAtOneUpstreamAtATime guards against copies of a suspect with two crashes that
// start at several upstreams because daemons differ in where they send them. A copy that is
// refused must not end the run that keeps it from starting.
func TestSuspectRunsAtOneUpstreamAtATime(t *testing.T) {
	is := is.New(t)
	attempt := func(upstream string) *Attempt {
		return &Attempt{Method: http.MethodGet, URL: mustURL(t, "/a"), Upstream: upstream}
	}
	newOwner := func() *Owner {
		return &Owner{cfg: OwnerConfig{Suspects: suspect.NewTable(time.Now), Now: time.Now}, recent: suspect.NewRecent(time.Now)}
	}
	one, two := newOwner(), newOwner()
	exchange := func() {
		for _, rec := range one.cfg.Suspects.Records() {
			two.cfg.Suspects.Merge(rec)
		}
		for _, rec := range two.cfg.Suspects.Records() {
			one.cfg.Suspects.Merge(rec)
		}
	}
	first, second := attempt("u1"), attempt("u2")
	for n := range isolationThreshold {
		one.cfg.Suspects.RecordUnattributedCrash(first.digest(), suspect.CrashID(n+1))
	}
	exchange()
	var locOne, locTwo localUpstream
	is.Equal(one.checkSuspect(&locOne, first).Reason, outcome.Reason(""))
	exchange()
	for _, refused := range []struct {
		owner *Owner
		loc   *localUpstream
		a     *Attempt
	}{{two, &locTwo, second}, {one, &locOne, attempt("u1")}} {
		is.Equal(refused.owner.checkSuspect(refused.loc, refused.a).Reason, outcome.ReasonSuspectRunning)
		refused.owner.endAttempt(refused.loc, refused.a)
		exchange()
	}
	is.Equal(two.checkSuspect(&locTwo, second).Reason, outcome.ReasonSuspectRunning) // the first still runs
	one.endAttempt(&locOne, first)
	exchange()
	is.Equal(two.checkSuspect(&locTwo, second).Reason, outcome.Reason(""))
}

func mustURL(t *testing.T, text string) *url.URL {
	t.Helper()
	u, err := url.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// TestPoisonRequestOfCallersWhoLeftIsQuarantined guards against a poison request that is never
// contained, because its callers leave before it crashes the upstream: nobody waits for the attempt
// when the upstream ends. Others may be waiting there, or find the upstream gone later.
func TestPoisonRequestOfCallersWhoLeftIsQuarantined(t *testing.T) {
	const (
		leaveAfter = 30 * time.Millisecond
		crashAfter = 80 * time.Millisecond
	)
	for _, waiting := range []bool{true, false} {
		t.Run(fmt.Sprintf("others waiting %v", waiting), func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 1, 8, 2*crashAfter)
			w := r.workers[0]
			r.crashLater("/poison", crashAfter)
			attempt := func(id, path string) *Attempt {
				return &Attempt{
					ID: id, Upstream: w.id, Urgency: config.Normal, Deadline: time.Now().Add(time.Minute),
					Method: http.MethodGet, URL: &url.URL{Path: path}, Header: http.Header{},
				}
			}
			for n := range suspect.QuarantineThreshold {
				other := make(chan outcome.Result, 1)
				if waiting {
					go func() {
						other <- w.owner.execute(context.Background(), attempt(fmt.Sprint("other-", n), fmt.Sprint("/other/", n)))
					}()
				}
				ctx, leave := context.WithTimeout(context.Background(), leaveAfter)
				left := w.owner.execute(ctx, attempt(fmt.Sprint("left-", n), "/poison"))
				leave()
				is.Equal(left.Outcome, outcome.Unknown)
				time.Sleep(2 * crashAfter)
				if waiting {
					is.Equal((<-other).Reason, outcome.ReasonCrashed)
				} else {
					is.Equal(w.owner.execute(context.Background(), attempt(fmt.Sprint("late-", n), "/late")).Reason, outcome.ReasonUnreachable)
				}
				w.restartAtSameAddress(t)
			}
			rec, _ := w.owner.cfg.Suspects.Record(attempt("", "/poison").digest())
			is.True(rec.Quarantined())
			refused := w.owner.execute(context.Background(), attempt("refused", "/poison"))
			is.Equal(refused.Reason, outcome.ReasonQuarantined)
		})
	}
}

// restartAtSameAddress starts the worker's upstream again, which has crashed.
func (w *worker) restartAtSameAddress(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", w.up.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	up := httptest.NewUnstartedServer(w.up.Config.Handler)
	up.Listener.Close()
	up.Listener = ln
	up.Start()
	t.Cleanup(up.Close)
	w.up = up
}

// crashLater makes each worker's upstream crash some time after it has begun to run a request for
// the path, whether or not the connection is still open.
func (r *rig) crashLater(path string, after time.Duration) {
	for _, w := range r.workers {
		serve := w.up.Config.Handler
		w.up.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			if req.URL.Path != path {
				serve.ServeHTTP(rw, req)
				return
			}
			up := w.up
			time.AfterFunc(after, func() {
				up.Listener.Close()
				up.CloseClientConnections()
			})
			<-req.Context().Done()
		})
	}
}
