package callpath

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreygate/comfreygate/internal/egress"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// setEgressHeader sets the header of the wait for the link unless there is none.
func setEgressHeader(h http.Header, wait time.Duration) {
	if wait > 0 {
		h.Set(headerEgress, strconv.FormatInt(wait.Microseconds(), 10))
	}
}

// egressHeader returns the wait for the link in a message between daemons; zero: none.
func egressHeader(h http.Header) time.Duration {
	us, err := strconv.ParseInt(h.Get(headerEgress), 10, 64)
	if err != nil || us < 0 {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// reserveEgress reserves room on this VM's link for the response of an attempt that is
// expected to be long. False: the attempt is refused with the returned result.
func (o *Owner) reserveEgress(a *Attempt) (egress.Ticket, outcome.Result, bool) {
	if a.AnswerBytes < outcome.LongBody || !o.egress.Limited() {
		return egress.Ticket{}, outcome.Result{}, true
	}
	o.mu.Lock()
	loc := o.upstreams[a.Upstream]
	o.mu.Unlock()
	if loc == nil {
		return egress.Ticket{}, o.refused(a, outcome.Refuse(outcome.ReasonUpstreamRemoved, 0)), false
	}
	t, after, ok := o.egress.Admit(egress.Request{
		Bytes: a.AnswerBytes, Service: loc.gate.Load().Service, Deadline: a.Deadline, Objective: a.Objective,
	})
	if !ok {
		return t, o.refused(a, o.withLoad(outcome.Refuse(outcome.ReasonLink, after), loc)), false
	}
	return t, outcome.Result{}, true
}

// writeAnswer writes an upstream's response to an ingress on another VM. A long response is
// read completely first, which frees the upstream's slot, and then sent when its turn on the
// link has come. Its headers are sent at once: they tell the ingress that the upstream has
// answered.
func (o *Owner) writeAnswer(ctx context.Context, w http.ResponseWriter, r outcome.Result, t egress.Ticket) {
	o.setResultHeaders(w.Header(), r)
	length := contentLength(r.Header)
	if !o.egress.Limited() || length >= 0 && length < outcome.LongBody {
		t.Cancel()
		o.egress.Account(int(max(0, length)))
		w.WriteHeader(r.Status)
		copyBody(w, r.Body)
		return
	}
	w.WriteHeader(r.Status)
	_ = http.NewResponseController(w).Flush()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedAnswer))
	if err != nil {
		t.Cancel()
		r.Body.Close()
		panic(http.ErrAbortHandler)
	}
	if len(body) < maxBufferedAnswer {
		if r.Body.Close() != nil {
			t.Cancel()
			panic(http.ErrAbortHandler)
		}
		r.Body = http.NoBody
	}
	schedule := o.egress.Begin(t, len(body))
	if !o.writePaced(ctx, w, body, schedule) {
		r.Body.Close()
		panic(http.ErrAbortHandler)
	}
	copyBody(w, r.Body)
}

// writePaced writes a response's body at its scheduled times. False: the receiver has gone.
func (o *Owner) writePaced(ctx context.Context, w http.ResponseWriter, body []byte, s egress.Schedule) bool {
	for offset := 0; offset < len(body); offset += egress.ChunkBytes {
		if wait := s.At(offset).Sub(o.cfg.Now()); wait > 0 && !pause(ctx, wait) {
			return false
		}
		chunk := body[offset:min(offset+egress.ChunkBytes, len(body))]
		if _, err := io.Copy(w, bytes.NewReader(chunk)); err != nil {
			return false
		}
		_ = http.NewResponseController(w).Flush()
	}
	return true
}

// contentLength returns the length that a response's headers state, or -1 if they state
// none.
func contentLength(h http.Header) int {
	n, err := strconv.Atoi(h.Get("Content-Length"))
	if err != nil {
		return -1
	}
	return n
}
