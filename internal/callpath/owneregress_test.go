package callpath

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/egress"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// linkRig is a rig whose only worker has a link with a limit.
type linkRig struct {
	*rig
	w *worker
	// serving is the number of requests that the owner is handling, inquiries counts the
	// inquiries about attempts.
	serving   atomic.Int64
	inquiries atomic.Int64
	output    syncBuffer
}

// syncBuffer is a buffer for log lines that several goroutines write.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// contains reports whether the text was written.
func (b *syncBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.buf.Bytes(), []byte(text))
}

// newLinkRig starts a rig with one worker. Its upstream has the given slots and handler,
// its VM the given link.
func newLinkRig(t *testing.T, mbps float64, slots int, upstream http.HandlerFunc) *linkRig {
	t.Helper()
	r := &linkRig{rig: newRig(t, 1, slots, 0)}
	r.method = http.MethodGet
	w := r.workers[0]
	r.w = w
	w.srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	w.owner.Close()
	cfg := w.owner.cfg
	cfg.LinkMbps, cfg.Logger = mbps, zerolog.New(&r.output)
	w.owner = NewOwner(cfg)
	w.up.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		w.runs.Add(1)
		upstream(rw, req)
	})
	w.srv.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		r.serving.Add(1)
		defer r.serving.Add(-1)
		if req.URL.Path == pathAttempt {
			r.inquiries.Add(1)
		}
		w.owner.ServeHTTP(rw, req)
	})
	r.update()
	return r
}

// attempt sends an attempt to the owner as an ingress on another VM would. header holds
// names and values.
func (r *linkRig) attempt(ctx context.Context, id string, left time.Duration, header ...string) (*http.Response, error) {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, r.method, r.w.srv.URL+"/normal", nil)
	if err != nil {
		r.t.Fatal(err)
	}
	header = append([]string{
		headerAttempt, id, headerUpstream, r.w.id, headerIncarnation, "1", headerUrgency, "1", HeaderDepth, "1",
		headerLeft, strconv.FormatInt(left.Microseconds(), 10),
		headerSent, strconv.FormatInt(boottime.Now().Microseconds(), 10),
	}, header...)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return r.client.Do(req)
}

// eventually waits until the condition holds.
func (r *linkRig) eventually(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not within 5s: %s", what)
		}
	}
}

// randomBytes returns a body that repeats nowhere.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// respond returns a handler that responds with a body of this size.
func respond(size int) http.HandlerFunc {
	body := randomBytes(size)
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Write(body)
	}
}

// TestSlotIsFreeWhileTheResponseWaits guards against upstreams that idle because their
// slots are held by responses that wait for the link, and against headers that arrive with
// the body: without them, the ingress would ask the owner about the attempt.
func TestSlotIsFreeWhileTheResponseWaits(t *testing.T) {
	is := is.New(t)
	r := newLinkRig(t, 1, 1, respond(200_000)) // 1.9 s of the link each
	first, err := r.attempt(t.Context(), "a-1", time.Minute)
	is.NoErr(err)
	defer first.Body.Close()
	second, err := r.attempt(t.Context(), "a-2", time.Minute) // its headers come before its turn
	is.NoErr(err)
	defer second.Body.Close()
	is.Equal(second.StatusCode, http.StatusOK)
	r.eventually("the slot is released", func() bool { return r.w.owner.InFlight() == 0 })
	is.True(r.w.owner.egress.Backlog() > time.Second) // the responses are still being sent
	is.Equal(r.w.owner.ledger.State("a-2"), ledger.Finished)
}

// TestSlotIsKeptWhileTooMuchWaits guards against unbounded memory for responses that wait,
// and against a response that stays asleep when those before it are given up.
func TestSlotIsKeptWhileTooMuchWaits(t *testing.T) {
	is := is.New(t)
	r := newLinkRig(t, 10, 1, respond(100_000))
	booked := time.Now()
	others := r.w.owner.egress.Begin(egress.Ticket{}, 20<<20) // 19.74 s of the link
	res, err := r.attempt(t.Context(), "a-1", time.Minute)
	is.NoErr(err)
	defer res.Body.Close()
	// The response takes another 0.09 s.
	r.eventually("the response waits", func() bool { return r.w.owner.egress.Backlog()+time.Since(booked) > 19800*time.Millisecond })
	time.Sleep(20 * time.Millisecond)
	is.Equal(r.w.owner.InFlight(), 1)
	began := time.Now()
	others.Close(0)
	got, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.True(bytes.Equal(got, randomBytes(100_000)))
	is.True(time.Since(began) < 10*time.Second)
	r.eventually("the slot is released", func() bool { return r.w.owner.InFlight() == 0 })
}

// TestResponsesOverALinkAreIntact sends bodies of all kinds through an owner with a link
// and compares them.
func TestResponsesOverALinkAreIntact(t *testing.T) {
	for _, size := range []int{0, 100, outcome.LongBody - 1, outcome.LongBody, 200_001, maxBufferedAnswer - 1, maxBufferedAnswer, 2*maxBufferedAnswer + 100_000} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d-bytes-chunked-%v", size, chunked), func(t *testing.T) {
				is := is.New(t)
				want := randomBytes(size)
				r := newLinkRig(t, 1000, 1, func(w http.ResponseWriter, _ *http.Request) {
					if !chunked {
						w.Header().Set("Content-Length", strconv.Itoa(size))
					}
					w.Header().Set("X-Kept", "kept")
					w.WriteHeader(http.StatusNonAuthoritativeInfo)
					http.NewResponseController(w).Flush()
					w.Write(want)
				})
				for i := range 3 { // over connections that are reused
					res := r.sendWith(headerIdempotency, strconv.Itoa(i))
					got, err := io.ReadAll(res.Body)
					is.NoErr(err)
					is.Equal(res.StatusCode, http.StatusNonAuthoritativeInfo)
					is.Equal(res.Header.Get("X-Kept"), "kept")
					is.True(bytes.Equal(got, want))
				}
				r.eventually("the slot is released", func() bool { return r.w.owner.InFlight() == 0 && r.serving.Load() == 0 })
				is.Equal(r.metrics.EgressSent.Count(), int64(3*size))
				is.True(r.w.owner.egress.Backlog() < time.Second)
			})
		}
	}
}

// TestResponseWithoutABodyDoesNotWait guards against responses to HEAD requests, whose
// headers state the length of a body that is not sent, waiting for the link.
func TestResponseWithoutABodyDoesNotWait(t *testing.T) {
	is := is.New(t)
	r := newLinkRig(t, 0.1, 2, respond(200_000)) // 19 s of the link
	r.method = http.MethodHead
	r.w.owner.egress.Begin(egress.Ticket{}, 200_000)
	res, err := r.attempt(t.Context(), "a-1", time.Minute)
	is.NoErr(err)
	res.Body.Close()
	r.eventually("the response is complete", func() bool { return r.serving.Load() == 0 })
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.ContentLength, int64(200_000))
}

// TestTruncatedResponseOverALink lets the upstream break off its response. It must not
// look complete to the ingress, and neither its slot nor its reservation may be kept.
func TestTruncatedResponseOverALink(t *testing.T) {
	for _, size := range []int{50_000, maxBufferedAnswer + 50_000} {
		for _, chunked := range []bool{false, true} {
			is := is.New(t)
			r := newLinkRig(t, 1000, 1, func(w http.ResponseWriter, _ *http.Request) {
				if !chunked {
					w.Header().Set("Content-Length", strconv.Itoa(2*size))
				}
				w.Write(randomBytes(size))
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			res, err := r.attempt(t.Context(), "a-1", time.Minute, headerAnswerBytes, "90000")
			is.NoErr(err) // the headers
			_, err = io.ReadAll(res.Body)
			res.Body.Close()
			is.True(err != nil)
			r.eventually("everything is released", func() bool { return r.w.owner.InFlight() == 0 && r.serving.Load() == 0 })
			is.Equal(r.w.owner.egress.Expected(), 0)
		}
	}
}

// TestReservationsAreReturned ends attempts for which room on the link is reserved in all
// ways. A reservation that is kept makes the owner refuse attempts for ever.
func TestReservationsAreReturned(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000")
		w.Write(make([]byte, 50_000))
		panic(http.ErrAbortHandler)
	}
	wait := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, upstream := range map[string]http.HandlerFunc{
		"long": respond(100_000), "short": respond(100), "broken": abort, "refused": refuse, "truncated": truncate,
		"disconnected": wait, "panic": respond(100_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newLinkRig(t, 1000, 1, upstream)
			if name == "panic" {
				r.w.owner.cfg.Dialect.ReportedRequests = func(http.Header) (int, bool) { panic("dialect") }
			}
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if name != "disconnected" {
				ctx = t.Context()
			}
			if res, err := r.attempt(ctx, "a-1", time.Minute, headerAnswerBytes, "90000"); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			r.eventually("the attempt has ended", func() bool { return r.serving.Load() == 0 })
			is.Equal(r.w.runs.Load(), int64(1))
			is.Equal(r.w.owner.egress.Expected(), 0)
		})
	}
}

// TestDisconnectEndsTheWaitForTheLink lets the receiver of a response disconnect while the
// response waits. Otherwise memory would be held for it, and the link kept free for it.
func TestDisconnectEndsTheWaitForTheLink(t *testing.T) {
	is := is.New(t)
	r := newLinkRig(t, 0.1, 2, respond(200_000)) // 19 s of the link each
	first, err := r.attempt(t.Context(), "a-1", time.Minute)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	second, err := r.attempt(ctx, "a-2", time.Minute)
	is.NoErr(err)
	r.eventually("both wait", func() bool { return r.w.owner.egress.Backlog() > 30*time.Second })
	cancel()
	second.Body.Close()
	r.eventually("the second response is given up", func() bool { return r.serving.Load() == 1 })
	is.True(r.w.owner.egress.Backlog() < 20*time.Second)
	first.Body.Close()
	r.eventually("the first response is given up", func() bool { return r.serving.Load() == 0 })
	is.True(r.w.owner.egress.Backlog() < time.Second)
}

// TestBusyLinkRefusesBeforeTheRun fills the link and sends further attempts. One with a long
// response must be refused before its upstream sees it, a short one must be answered, and
// a copy of an attempt that has run must not be reported as not run.
func TestBusyLinkRefusesBeforeTheRun(t *testing.T) {
	is := is.New(t)
	var size atomic.Int64
	size.Store(500_000)
	r := newLinkRig(t, 1, 4, func(w http.ResponseWriter, req *http.Request) { respond(int(size.Load()))(w, req) })
	first, err := r.attempt(t.Context(), "a-1", time.Minute, headerIdempotency, "key") // 4.7 s of the link
	is.NoErr(err)
	defer first.Body.Close()
	r.eventually("the first response was read", func() bool { return r.w.owner.InFlight() == 0 })

	size.Store(100)
	send := func(id string, header ...string) *http.Response {
		res, err := r.attempt(t.Context(), id, 2*time.Second, header...)
		is.NoErr(err)
		res.Body.Close()
		return res
	}
	long := send("a-2", headerAnswerBytes, "90000")
	is.Equal(long.Header.Get(HeaderOutcome), string(outcome.NotRun))
	is.Equal(long.Header.Get(HeaderReason), string(outcome.ReasonLink))
	after, err := strconv.Atoi(long.Header.Get(HeaderRetryAfter))
	is.NoErr(err)
	is.True(after > 1000) // the link is booked for 4.7 s, and the deadline allows less than 2 s
	is.True(egressHeader(long.Header) > time.Second)
	is.Equal(r.w.owner.ledger.State("a-2"), ledger.Voided)
	is.Equal(r.metrics.EgressRefused.Count(), int64(1))
	is.Equal(r.w.runs.Load(), int64(1))
	for _, part := range []string{`"step":"egress"`, `"wait_us":`, `"max_wait_us":`, `"bytes":90000`} {
		is.True(r.output.contains(part))
	}

	is.Equal(send("a-1", headerAnswerBytes, "90000").Header.Get(HeaderReason), string(outcome.ReasonDuplicate))
	same := send("a-3", headerAnswerBytes, "90000", headerIdempotency, "key")
	is.Equal(same.Header.Get(HeaderOutcome), string(outcome.Unknown))
	is.Equal(same.Header.Get(HeaderReason), string(outcome.ReasonDuplicate))

	short := send("a-4")
	is.Equal(short.Header.Get(HeaderOutcome), string(outcome.Answered))
	is.Equal(r.w.runs.Load(), int64(2))
	is.True(r.metrics.egressWaitMicros() > 1e6)
}

// TestWithoutALinkLimitResponsesAreStreamed guards against schedules, refusals or buffering
// where no link speed is set.
func TestWithoutALinkLimitResponsesAreStreamed(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	body := randomBytes(200_000)
	r := newLinkRig(t, 0, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(body[:100_000])
		http.NewResponseController(w).Flush()
		<-received
		w.Write(body[100_000:])
	})
	res, err := r.attempt(t.Context(), "a-1", time.Minute, headerAnswerBytes, strconv.Itoa(1<<40))
	is.NoErr(err)
	defer res.Body.Close()
	got := make([]byte, 50_000)
	_, err = io.ReadFull(res.Body, got)
	is.NoErr(err)
	is.Equal(r.w.owner.InFlight(), 1)
	close(received)
	rest, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.True(bytes.Equal(append(got, rest...), body))
	is.Equal(res.Header.Get(headerEgress), "")
	is.Equal(r.metrics.EgressSent.Count(), int64(0))
	is.Equal(r.metrics.egressWaitMicros(), int64(0))
}

// TestNoInquiriesWhileTheResponseWaits guards against an inquiry, which opens a connection,
// for each response that waits for the link, and against giving up a response that the
// owner reports as finished.
func TestNoInquiriesWhileTheResponseWaits(t *testing.T) {
	is := is.New(t)
	r := newLinkRig(t, 1, 1, respond(100_000)) // 0.94 s of the link; a GET, for which a silent connection is given up
	r.ingress.remote.inquireAfter = 100 * time.Millisecond
	s := r.send(config.Normal)
	is.Equal(s.outcome, string(outcome.Answered))
	is.True(s.took > 800*time.Millisecond)
	is.True(r.inquiries.Load() <= 1) // one if the headers are slow to arrive
	is.Equal(r.metrics.Silent.Count(), int64(0))
	is.Equal(r.w.runs.Load(), int64(1))
}
