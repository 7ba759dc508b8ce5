package callpath

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/egress"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/intake"
	"github.com/comfreygate/comfreygate/internal/ledger"
	"github.com/comfreygate/comfreygate/internal/memory"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/ratelimit"
	"github.com/comfreygate/comfreygate/internal/runs"
	"github.com/comfreygate/comfreygate/internal/staleness"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
)

// OwnerConfig holds the dependencies and settings of an Owner.
type OwnerConfig struct {
	// Incarnation identifies this run of the daemon.
	Incarnation uint64
	// QueueFactor is the length of an upstream's queue as a multiple of its slots.
	QueueFactor float64
	// ConnectTimeout limits how long opening a connection to an upstream may take.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection to an upstream is kept. It must be
	// shorter than the upstream's own idle timeout, so that a connection is never reused
	// while the upstream is closing it.
	IdleTimeout time.Duration
	// MaxHeader and MaxResponse bound the headers and the body of an upstream's response, in
	// bytes; zero: unlimited.
	MaxHeader, MaxResponse int64
	// Memory is the memory for the bodies of attempts. Nil: unlimited.
	Memory *memory.Budget
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; zero means unlimited.
	LinkMbps float64
	// Suspects is the daemon's table of suspects, shared with the ingress. If nil, the
	// owner creates its own.
	Suspects *suspect.Table
	// LimitCoordinator handles the requests of other daemons about workspace limits. Nil
	// if this daemon is not a limit coordinator.
	LimitCoordinator http.Handler
	// OnDraining is called with the ID of an upstream that states in a response that it is
	// draining, once for each of its incarnations. It must not block. May be nil.
	OnDraining func(upstream string)
	Dialect    Dialect
	Logger     zerolog.Logger
	Events     *event.Ring
	Metrics    *Metrics
	Now        func() time.Time
}

// Owner runs attempts at the upstreams on its VM. It is safe for concurrent use.
type Owner struct {
	cfg    OwnerConfig
	ledger *ledger.Ledger
	// running holds the requests that are running at the upstreams of this VM.
	running *runningRequests
	guard   *staleness.StallGuard
	// intake schedules long request bodies that arrive from other VMs.
	intake *intake.Queue
	// egress schedules long responses to other VMs.
	egress *egress.Queue
	// transit measures how long attempts were queued on their way to this daemon.
	transit *staleness.Transit
	// recent holds the requests that the upstreams of this VM answered recently.
	recent *suspect.Recent
	stop   chan struct{}
	// leaving is set while this daemon drains: attempts from other daemons are refused so
	// that they are sent elsewhere.
	leaving atomic.Bool
	// rolloutActive is set while any rollout is in progress. Responses to ingress daemons
	// then carry the time that the upstream took.
	rolloutActive atomic.Bool
	// view is the view of the last Update.
	view atomic.Pointer[view.View]
	// logLimit limits how many log lines are written about attempts, limitLogLimit how many
	// about the rate limits of upstreams, egressLogLimit how many about refusals for the
	// link.
	logLimit       lineLimit
	limitLogLimit  lineLimit
	egressLogLimit lineLimit

	mu        sync.Mutex
	upstreams map[string]*localUpstream
}

// localUpstream is an upstream on this VM.
type localUpstream struct {
	gate    *admission.Gate
	addr    string
	conns   int
	service string
	// process names the upstream's process, or is empty.
	process string
	// incarnation identifies the run of the upstream.
	incarnation string
	// draining is set once this incarnation has stated in a response that it is draining.
	// Guarded by the mutex of the Owner.
	draining bool
	pool     *pool
	crashes  crashDetector
	attempts runningAttempts
	limit    *ratelimit.Limit
	// runs limits the new runs of routes whose runs starve.
	runs *runs.Limiter
}

// NewOwner returns an owner without upstreams. Callers must call Close when done.
func NewOwner(cfg OwnerConfig) *Owner {
	if cfg.Suspects == nil {
		cfg.Suspects = suspect.NewTable(cfg.Now)
	}
	o := &Owner{
		cfg:    cfg,
		ledger: ledger.New(cfg.Now), running: newRunningRequests(),
		guard:     staleness.NewStallGuard(boottime.NowAsTime),
		intake:    intake.New(cfg.LinkMbps, cfg.Now),
		egress:    egress.New(cfg.LinkMbps, cfg.Now),
		transit:   staleness.NewTransit(),
		recent:    suspect.NewRecent(cfg.Now),
		stop:      make(chan struct{}),
		upstreams: map[string]*localUpstream{},
	}
	o.view.Store(&view.View{})
	cfg.Metrics.setEgressWait(func() time.Duration { return o.egress.Wait(0) })
	cfg.Metrics.setAdmittedPart(o.lowestRunsPart)
	go o.recordRunning()
	return o
}

// Close stops the owner's background goroutine.
func (o *Owner) Close() { close(o.stop) }

// recordRunning records regularly that the process is running, until Close.
func (o *Owner) recordRunning() {
	ticker := time.NewTicker(staleness.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.guard.Tick()
		case <-o.stop:
			return
		}
	}
}

// Update replaces the upstreams with those of a new view. An upstream that is draining or
// no longer listed accepts no new attempts; running attempts finish.
func (o *Owner) Update(v *view.View) {
	o.leaving.Store(v.Leaving)
	o.rolloutActive.Store(v.HasSplit())
	o.view.Store(v)
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[string]bool, len(v.Locals))
	for _, l := range v.Locals {
		present[l.ID] = true
		o.updateLocal(v, l)
	}
	for id, loc := range o.upstreams {
		if present[id] {
			continue
		}
		loc.gate.Close(outcome.ReasonUpstreamRemoved)
		delete(o.upstreams, id)
	}
}

func (o *Owner) updateLocal(v *view.View, l table.Local) {
	if s := v.Services[l.Service]; s != nil && s.Connections > 0 {
		l.Conns = s.Connections
	}
	loc := o.upstreams[l.ID]
	if loc == nil || loc.addr != l.Addr || loc.conns != l.Conns || loc.process != l.Process {
		loc = o.replaceLocal(loc, l)
	}
	if loc.incarnation != l.Incarnation {
		loc.incarnation, loc.draining = l.Incarnation, false
		loc.limit.Reset()
	}
	ramp := time.Duration(0)
	if s := v.Services[l.Service]; s != nil {
		ramp = s.Ramp
	}
	loc.gate.Resize(l.Slots, ramp)
	loc.gate.SetNestedFirst(v.Controls(config.NestedFirst))
	if l.Draining || v.Leaving || loc.draining {
		loc.gate.Close(outcome.ReasonDraining)
	} else {
		loc.gate.Open()
	}
}

// replaceLocal replaces the state of an upstream, which is nil if it is new. What the same
// incarnation has stated in its responses still holds.
func (o *Owner) replaceLocal(previous *localUpstream, l table.Local) *localUpstream {
	gate := admission.New(o.cfg.Now, l.Slots, int(float64(l.Slots)*o.cfg.QueueFactor), time.UnixMilli(l.AnnouncedAtMs))
	loc := &localUpstream{
		gate: gate, limit: ratelimit.New(gate.SetRate), addr: l.Addr, conns: l.Conns, service: l.Service, process: l.Process, incarnation: l.Incarnation,
		runs: runs.New(o.cfg.Now, func(c runs.Change) { o.logRunsLimit(l.ID, c) }),
		pool: newPool(&net.Dialer{Timeout: o.cfg.ConnectTimeout}, l.Addr, l.Conns, o.cfg.IdleTimeout, o.cfg.Dialect,
			responseLimits{head: o.cfg.MaxHeader, body: o.cfg.MaxResponse}),
	}
	o.upstreams[l.ID] = loc
	if previous == nil {
		return loc
	}
	previous.gate.Close(outcome.ReasonUpstreamRemoved)
	if previous.process == l.Process && previous.incarnation == l.Incarnation {
		loc.limit.Recall(o.cfg.Now(), previous.limit.Current())
		loc.draining = previous.draining
	}
	return loc
}

// InFlight returns the number of attempts that are running or queued at this owner.
func (o *Owner) InFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, loc := range o.upstreams {
		l := loc.gate.Load()
		n += l.InFlight + l.Queued
	}
	return n
}

// Loads returns the load of each upstream of this VM by upstream ID.
func (o *Owner) Loads() map[string]outcome.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	loads := make(map[string]outcome.Load, len(o.upstreams))
	for id, loc := range o.upstreams {
		loads[id] = loc.gate.Load()
	}
	return loads
}
