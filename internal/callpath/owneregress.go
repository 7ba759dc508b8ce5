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

// setEgressHeader sets the header of the wait for the link, unless the wait is zero.
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

// reserveEgress reserves room on this VM's link for the response of an attempt if that is
// expected to be long, and sets the ticket. False: the attempt is refused with the returned
// result.
func (o *Owner) reserveEgress(loc *localUpstream, a *Attempt, ticket *egress.Ticket) (outcome.Result, bool) {
	if a.AnswerBytes < outcome.LongBody || !o.egress.Limited() {
		return outcome.Result{}, true
	}
	r := egress.Request{
		Bytes:     min(a.AnswerBytes, maxBufferedAnswer),
		Service:   expectedTime(loc.gate.Load()),
		Deadline:  a.Deadline,
		Objective: a.Objective,
	}
	t, refusal, ok := o.egress.Admit(r)
	if !ok {
		o.cfg.Metrics.EgressRefused.Inc(1)
		o.logEgressRefusal(a, r, refusal)
		return o.withLoad(outcome.Refuse(outcome.ReasonLink, refusal.RetryAfter), loc), false
	}
	*ticket = t
	return outcome.Result{}, true
}

// expectedTime returns how long an attempt that arrives now takes at an upstream with this
// load, including the wait for a slot.
func expectedTime(l outcome.Load) time.Duration {
	ahead := max(0, l.InFlight+l.Queued+1-l.Slots)
	return l.Service + l.Service*time.Duration(ahead)/time.Duration(max(1, l.Slots))
}

// logEgressRefusal logs why an attempt was refused for the link of this VM.
func (o *Owner) logEgressRefusal(a *Attempt, r egress.Request, refusal egress.Refusal) {
	if !mayLog(o.cfg.Logger, &o.egressLogLimit, o.cfg.Now(), "egress") {
		return
	}
	o.cfg.Logger.Info().Str("step", "egress").Str("request", a.Request).Str("peer", a.Upstream).
		Int64("wait_us", refusal.Wait.Microseconds()).
		Int64("max_wait_us", refusal.MaxWait.Microseconds()).
		Int("bytes", r.Bytes).
		Int("expected", o.egress.Expected()).
		Int64("service_us", r.Service.Microseconds()).
		Int64("retry_after_ms", refusal.RetryAfter.Milliseconds()).
		Msg("attempt refused: its response would wait too long for the link")
}

// responseHeaderBytes is the typical size of a response's headers between daemons.
const responseHeaderBytes = 450

// writeAnswer writes an upstream's response to an ingress on another VM. A long response is
// read completely first, which frees the upstream's slot, and then sent when its turn on the
// link has come. Its headers are sent at once: they tell the ingress that the upstream has
// answered. If the response is truncated or cannot be sent, the connection is aborted.
func (o *Owner) writeAnswer(ctx context.Context, w http.ResponseWriter, r outcome.Result, t egress.Ticket) {
	defer r.Body.Close()
	o.setResultHeaders(w.Header(), r)
	length := contentLength(r.Header)
	short := length >= 0 && length < outcome.LongBody
	if short {
		o.accountShort(length)
	}
	w.WriteHeader(r.Status)
	if short || !o.egress.Limited() {
		copyBody(w, r.Body)
		return
	}
	_ = http.NewResponseController(w).Flush()
	for {
		block, err := readBlock(r.Body, length)
		if err != nil || !o.writeBlock(ctx, w, r.Body, block, t) {
			panic(http.ErrAbortHandler)
		}
		if len(block) < maxBufferedAnswer {
			return
		}
	}
}

// accountShort records a short response with its headers.
func (o *Owner) accountShort(bytes int) {
	o.egress.Account(bytes + responseHeaderBytes)
	if o.egress.Limited() {
		o.cfg.Metrics.EgressSent.Inc(int64(bytes))
	}
}

// readBlock reads a body to its end, but at most maxBufferedAnswer bytes. length is the
// length that its headers state, or -1.
func readBlock(body io.Reader, length int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(min(max(0, length), maxBufferedAnswer) + bytes.MinRead)
	_, err := buf.ReadFrom(io.LimitReader(body, maxBufferedAnswer))
	return buf.Bytes(), err
}

// writeBlock writes a block of a body when its turn on the link has come; a short one at
// once. After the last block it closes the body: before the wait for the link unless that
// keeps the slot. False: the response cannot be completed.
func (o *Owner) writeBlock(ctx context.Context, w http.ResponseWriter, body io.Closer, block []byte, t egress.Ticket) bool {
	last := len(block) < maxBufferedAnswer
	if len(block) < outcome.LongBody {
		o.accountShort(len(block))
		_, err := w.Write(block)
		return body.Close() == nil && err == nil
	}
	schedule := o.egress.Begin(t, len(block))
	sent := 0
	defer func() { schedule.Close(sent) }()
	if last && !schedule.KeepSlot() && body.Close() != nil {
		return false
	}
	sent = o.writePaced(ctx, w, block, schedule)
	o.cfg.Metrics.EgressSent.Inc(int64(sent))
	return sent == len(block) && (!last || body.Close() == nil)
}

// awaitLink waits until the part of a response at the offset may be written. False: the
// receiver has gone.
func (o *Owner) awaitLink(ctx context.Context, s egress.Schedule, offset int) bool {
	for {
		wait := s.At(offset).Sub(o.cfg.Now())
		if wait <= 0 {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-s.Moved():
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

// writePaced writes a block at its scheduled times and returns how many bytes it wrote:
// fewer than all if the receiver has gone.
func (o *Owner) writePaced(ctx context.Context, w http.ResponseWriter, block []byte, s egress.Schedule) int {
	sent, size := 0, s.ChunkBytes()
	for sent < len(block) {
		if !o.awaitLink(ctx, s, sent) {
			return sent
		}
		n, err := w.Write(block[sent:min(sent+size, len(block))])
		sent += n
		if err != nil {
			return sent
		}
		_ = http.NewResponseController(w).Flush()
	}
	return sent
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
