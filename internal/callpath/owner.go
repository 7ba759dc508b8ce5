package callpath

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
)

// OwnerConfig is what an owner is made of.
type OwnerConfig struct {
	// Incarnation is this daemon's.
	Incarnation uint64
	// QueueFactor is the length of an upstream's queue as a multiple of its
	// slots.
	QueueFactor float64
	// ConnectTimeout bounds the opening of a connection to an upstream.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection to an upstream is kept. It
	// must be shorter than the upstream keeps it.
	IdleTimeout time.Duration
	// LinkMbps is the VM's own link, in Mbit/s; zero: it has no bound.
	LinkMbps float64
	// Suspects is the daemon's one table of them. Nil: this owner has its own.
	Suspects *suspect.Table
	Dialect  Dialect
	Logger   zerolog.Logger
	Events   *event.Ring
	Metrics  *Metrics
	Now      func() time.Time
}

// Owner runs attempts at the upstreams on its VM. Safe for concurrent use.
type Owner struct {
	cfg    OwnerConfig
	ledger *ledger
	// running are the requests that the upstreams here work at.
	running *running
	guard   *stallGuard
	// intake lets long bodies from other VMs in.
	intake *intake
	// transit tells how long attempts lay on their way here.
	transit *transit
	// recent are the requests that the upstreams here have answered lately.
	recent *suspect.Recent
	stop   chan struct{}
	// leaving says that other daemons are to send their calls elsewhere.
	leaving atomic.Bool
	// lines bounds what is logged of attempts.
	lines lineLimit

	mu     sync.Mutex
	locals map[string]*local
}

// local is an upstream on this VM.
type local struct {
	gate  *admission.Gate
	addr  string
	conns int
	// process names the upstream's process, or is empty.
	process string
	pool    *pool
	ending  ending
	alone   alone
	runs    runs
}

// NewOwner returns an owner without upstreams. Close ends it.
func NewOwner(cfg OwnerConfig) *Owner {
	if cfg.Suspects == nil {
		cfg.Suspects = suspect.NewTable(cfg.Now)
	}
	o := &Owner{
		cfg:    cfg,
		ledger: newLedger(cfg.Now), running: newRunning(),
		guard:   newStallGuard(bootClock),
		intake:  newIntake(cfg.LinkMbps, cfg.Now),
		transit: newTransit(),
		recent:  suspect.NewRecent(cfg.Now),
		stop:    make(chan struct{}),
		locals:  map[string]*local{},
	}
	go o.guard.run(o.stop)
	return o
}

// Close ends the owner's background work.
func (o *Owner) Close() { close(o.stop) }

// Update takes the upstreams of a new view. An upstream that is draining or
// no longer there takes no new attempt from here on; running ones finish.
func (o *Owner) Update(v *view.View) {
	o.leaving.Store(v.Leaving)
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[string]bool, len(v.Locals))
	for _, l := range v.Locals {
		present[l.ID] = true
		o.updateLocal(v, l)
	}
	for id, loc := range o.locals {
		if present[id] {
			continue
		}
		loc.gate.Close(outcome.ReasonGone)
		delete(o.locals, id)
	}
}

func (o *Owner) updateLocal(v *view.View, l table.Local) {
	if s := v.Services[l.Service]; s != nil && s.Connections > 0 {
		l.Conns = s.Connections
	}
	loc := o.locals[l.ID]
	if loc != nil && (loc.addr != l.Addr || loc.conns != l.Conns || loc.process != l.Process) {
		loc.gate.Close(outcome.ReasonGone)
		loc = nil
	}
	if loc == nil {
		loc = &local{
			gate: admission.New(o.cfg.Now, l.Slots, int(float64(l.Slots)*o.cfg.QueueFactor), time.UnixMilli(l.Since)),
			addr: l.Addr, conns: l.Conns, process: l.Process,
			pool: newPool(&net.Dialer{Timeout: o.cfg.ConnectTimeout}, l.Addr, l.Conns, o.cfg.IdleTimeout, o.cfg.Dialect),
		}
		o.locals[l.ID] = loc
	}
	ramp := time.Duration(0)
	if s := v.Services[l.Service]; s != nil {
		ramp = s.Ramp
	}
	loc.gate.Resize(l.Slots, ramp)
	if l.Draining || v.Leaving {
		loc.gate.Close(outcome.ReasonDraining)
	} else {
		loc.gate.Open()
	}
}

// InFlight returns how many attempts run or wait here.
func (o *Owner) InFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, loc := range o.locals {
		l := loc.gate.Load()
		n += l.InFlight + l.Queued
	}
	return n
}

// Loads returns the load of each upstream here.
func (o *Owner) Loads() map[string]outcome.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	loads := make(map[string]outcome.Load, len(o.locals))
	for id, loc := range o.locals {
		loads[id] = loc.gate.Load()
	}
	return loads
}

// carry admits the attempt, runs it, and returns the
// answer, whose body holds the slot until it is closed.
func (o *Owner) carry(ctx context.Context, a *Attempt) outcome.Result {
	stalls := o.guard.stalls()
	loc, refusal := o.accept(a)
	if loc == nil {
		return o.refused(a, refusal)
	}
	return o.admit(ctx, loc, a, stalls)
}

// admit waits for a slot and runs an attempt that was accepted when the process
// had stalled so many times.
func (o *Owner) admit(ctx context.Context, loc *local, a *Attempt, stalls int64) outcome.Result {
	if endsUnder(o.cfg.Suspects, a) >= suspect.Enough {
		o.ledger.abandon(a.ID)
		return o.refused(a, quarantined(o.cfg.Suspects, a, o.cfg.Now()))
	}
	reason, after := loc.gate.Acquire(ctx, askOf(a))
	if reason != "" {
		o.ledger.abandon(a.ID)
		return o.refused(a, o.withLoad(outcome.Refuse(reason, after), loc))
	}
	if reason := o.tooLate(ctx, a, stalls); reason != "" {
		loc.gate.Release(0)
		o.ledger.abandon(a.ID)
		return o.refused(a, outcome.Refuse(reason, 0))
	}
	reason, entered := o.heldBack(loc, a)
	if entered {
		defer loc.alone.leave()
	}
	if reason != "" {
		loc.gate.Release(0)
		o.ledger.abandon(a.ID)
		return o.refused(a, o.withLoad(outcome.Refuse(reason, outcome.MinRetryAfter), loc))
	}
	if !o.ledger.start(a.ID) {
		loc.gate.Release(0)
		return o.refused(a, outcome.Refuse(outcome.ReasonVoided, 0))
	}
	return o.run(ctx, loc, a)
}

// tooLate says why an attempt that has a slot must not start any more, or
// nothing.
func (o *Owner) tooLate(ctx context.Context, a *Attempt, stalls int64) outcome.Reason {
	switch {
	case o.guard.stalls() != stalls || o.guard.stalled() || !o.cfg.Now().Before(a.Deadline):
		return outcome.ReasonStalled
	case callerGone(ctx):
		return outcome.ReasonCancelled
	}
	return ""
}

// accept enters the attempt in the ledger, or says why it may not run here.
func (o *Owner) accept(a *Attempt) (*local, outcome.Result) {
	if o.guard.stalled() {
		return nil, outcome.Refuse(outcome.ReasonStalled, 0)
	}
	if !o.cfg.Now().Before(a.Deadline) {
		return nil, outcome.Refuse(outcome.ReasonDeadline, 0)
	}
	o.mu.Lock()
	loc := o.locals[a.Upstream]
	o.mu.Unlock()
	if loc == nil {
		return nil, outcome.Refuse(outcome.ReasonGone, 0)
	}
	if reason, ok := o.ledger.receive(a); !ok {
		if reason == outcome.ReasonDuplicate {
			return nil, outcome.Unsure(outcome.ReasonDuplicate, errors.New("an earlier copy of this request was started"))
		}
		return nil, outcome.Refuse(reason, outcome.MinRetryAfter)
	}
	return loc, outcome.Result{}
}

func (o *Owner) refused(a *Attempt, r outcome.Result) outcome.Result {
	o.cfg.Metrics.Refused.Inc(1)
	o.cfg.Events.Add(event.Event{Kind: event.CallRefused, Request: a.Request, Peer: a.Upstream, Detail: string(r.Reason)})
	return r
}

func (o *Owner) withLoad(r outcome.Result, loc *local) outcome.Result {
	r.Load = loc.gate.Load()
	r.Load.Intake = o.intake.wait()
	r.HasLoad = true
	return r
}

// run sends the attempt to the upstream.
func (o *Owner) run(ctx context.Context, loc *local, a *Attempt) outcome.Result {
	began := o.cfg.Now()
	o.running.begin(a, loc.gate)
	defer o.running.end(a)
	loc.runs.begin(a)
	res, err := loc.pool.do(ctx, o.upstreamRequest(loc, a))
	if err != nil {
		return o.failed(ctx, loc, a, began, err)
	}
	if r, refused := o.cfg.Dialect.refusal(res); refused {
		loc.runs.end(a)
		// The rest of a refusal's body is of no use to anybody.
		res.Body.Close()
		loc.gate.Release(0)
		o.ledger.abandon(a.ID)
		return o.refused(a, o.withLoad(r, loc))
	}
	body := &answerBody{ReadCloser: res.Body, read: func(err error) { o.noteRead(ctx, loc, a, res.StatusCode, err) }, done: func() {
		loc.runs.end(a)
		loc.gate.Release(o.cfg.Now().Sub(began))
		o.ledger.finish(a.ID)
	}}
	if o.cfg.Dialect.Has != nil {
		if n, ok := o.cfg.Dialect.Has(res.Header); ok {
			loc.gate.Report(n)
		}
	}
	o.cfg.Metrics.Started.Inc(1)
	load := loc.gate.LoadAfter(o.cfg.Now().Sub(began))
	load.Intake = o.intake.wait()
	return outcome.Result{Outcome: outcome.Answered, Status: res.StatusCode, Header: res.Header, Body: body, Load: load, HasLoad: true}
}

// failed judges a request that brought no answer. Only a connection that was
// never opened proves that the request did not run.
func (o *Owner) failed(ctx context.Context, loc *local, a *Attempt, began time.Time, err error) outcome.Result {
	defer loc.runs.end(a)
	err = errors.Wrapf(err, "call upstream %s at %s", a.Upstream, loc.addr)
	if notSent(err) {
		loc.gate.Release(0)
		o.ledger.abandon(a.ID)
		r := outcome.Refuse(outcome.ReasonUnreachable, outcome.MinRetryAfter)
		r.Err = err
		return o.refused(a, r)
	}
	loc.gate.Release(o.cfg.Now().Sub(began))
	o.ledger.finish(a.ID)
	if ctx.Err() != nil {
		o.logUnknown(loc, a, began, outcome.CancelReason(ctx), err)
		return outcome.Unsure(outcome.CancelReason(ctx), err)
	}
	reason := o.whyBroken(ctx, loc, a)
	o.logUnknown(loc, a, began, reason, err)
	loc.pool.closeIdle()
	return outcome.Unsure(reason, err)
}

// whyBroken tells whether the upstream has ended under an attempt, or only a connection
// broke.
func (o *Owner) whyBroken(ctx context.Context, loc *local, a *Attempt) outcome.Reason {
	end, first := loc.ending.seen(ctx, loc.pool, o.cfg.Now, func() int { return loc.runs.blame(o.cfg.Suspects) })
	if end.n == 0 {
		return outcome.ReasonBroken
	}
	o.cfg.Metrics.Ended.Inc(1)
	o.charge(a, end)
	if first {
		o.cfg.Metrics.Ends.Inc(1)
		o.cfg.Logger.Warn().Str("step", "upstream-ended").Str("peer", a.Upstream).Uint64("end", end.n).
			Int("in_flight", loc.gate.Load().InFlight).Int("charged_from", end.from).Msg("its process takes no connections any more")
	}
	return outcome.ReasonEnded
}

// logUnknown says why nobody can tell whether an attempt has run.
func (o *Owner) logUnknown(loc *local, a *Attempt, began time.Time, reason outcome.Reason, err error) {
	if !mayLog(o.cfg.Logger, &o.lines, o.cfg.Now(), "run") {
		return
	}
	l := loc.gate.Load()
	o.cfg.Logger.Info().Str("step", "run").Str("request", a.Request).Stringer("digest", a.digest()).Str("peer", a.Upstream).
		Str("outcome", string(outcome.Unknown)).Str("reason", string(reason)).Int64("took_ms", o.cfg.Now().Sub(began).Milliseconds()).
		Int64("left_ms", a.Deadline.Sub(o.cfg.Now()).Milliseconds()).Int("in_flight", l.InFlight).Int("queued", l.Queued).
		Err(err).Msg("attempt ended without an answer")
}

func (o *Owner) upstreamRequest(loc *local, a *Attempt) *http.Request {
	req := newRequest(a, loc.addr)
	d := o.cfg.Dialect
	set(req.Header, d.Request, a.Request)
	set(req.Header, d.Caller, a.Caller)
	set(req.Header, d.Depth, strconv.Itoa(a.Depth))
	set(req.Header, d.Timeout, strconv.FormatInt(a.Deadline.Sub(o.cfg.Now()).Milliseconds(), 10))
	if loc.process != "" {
		set(req.Header, d.Expected, loc.process)
	}
	return req
}

// newRequest returns the request of an attempt to the address.
func newRequest(a *Attempt, addr string) *http.Request {
	url := *a.URL
	url.Scheme = "http"
	url.Host = addr
	req := &http.Request{
		Method: a.Method, URL: &url, Host: a.Host, Header: maps.Clone(a.Header),
		ContentLength: int64(len(a.Body)),
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // net/http would add its own
	}
	if len(a.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	return req
}

// noteRead takes note of how the reading of an answer has ended.
func (o *Owner) noteRead(ctx context.Context, loc *local, a *Attempt, status int, err error) {
	switch {
	case err == io.EOF:
		o.answered(a, status)
	case ctx.Err() == nil:
		o.whyBroken(ctx, loc, a)
	}
}

// answerBody returns an attempt's slot once its answer was passed on or given
// up.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	done func()
	// read is told once of the error that the reading ended with, io.EOF included, or
	// is nil.
	read func(error)
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.read != nil {
		b.read(err)
		b.read = nil
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	return err
}
