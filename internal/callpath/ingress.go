package callpath

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/limits"
	"github.com/comfreygate/comfreygate/internal/memory"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/pick"
	"github.com/comfreygate/comfreygate/internal/pressure"
	"github.com/comfreygate/comfreygate/internal/retry"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/view"
)

// maxDepth is the maximum number of ingress daemons that a call and the nested calls
// below it may pass through. Call chains between services are up to 16 deep.
const maxDepth = 16

// IngressConfig configures an Ingress.
type IngressConfig struct {
	VM     string
	Domain string
	// Caller is the name given to every caller of this ingress. Empty: callers name
	// themselves in a header.
	Caller  string
	Dialect Dialect
	// MaxBody is the maximum size of a request body, in bytes, unless the configuration
	// sets another.
	MaxBody int64
	// ConnectTimeout limits how long opening a connection to an owner may take.
	ConnectTimeout time.Duration
	// Source is the local address of connections to owners, or nil for any.
	Source net.Addr
	// MaxOwnerConns is the number of connections to owners up to which idle ones are kept. Zero: any.
	MaxOwnerConns int
	// InquireAfter is how long an attempt may go unanswered before its owner is asked
	// about it over a new connection.
	InquireAfter time.Duration
	// RetryRatio is the number of retries allowed per call, over all daemons.
	RetryRatio float64
	// MaxConfigAge is the maximum age of a configuration at which calls are still
	// admitted by workspace key. Zero: any age.
	MaxConfigAge time.Duration
	// RetryBurst is the maximum number of unused retries to a service that this daemon
	// accumulates.
	RetryBurst float64
	// CrossDomainCost is the cost of sending a megabyte between failure domains, as a
	// multiple of the value of a call.
	CrossDomainCost float64
	// Memory is the memory for the bodies of calls and of buffered responses. Nil: unlimited.
	Memory *memory.Budget
	// Limits enforces the rate limits of workspaces.
	Limits *limits.Limiter
	// Suspects is the table of suspects that the whole daemon shares. Nil: this ingress
	// gets a table of its own.
	Suspects *suspect.Table
	// Pressure records which calls and attempts are refused for which resource. Nil: this
	// ingress gets a table of its own.
	Pressure *pressure.Table
	Events   *event.Ring
	Metrics  *Metrics
	Logger   zerolog.Logger
	Now      func() time.Time
	Seed     uint64
}

// Ingress accepts calls from callers and routes them to upstreams. It is safe for
// concurrent use.
type Ingress struct {
	cfg    IngressConfig
	owner  *Owner
	remote *remote
	picker *pick.Picker
	// retries decides which calls are retried.
	retries *retry.Policy
	view    atomic.Pointer[view.View]
	// confirmedAt is the freshness.Timestamp of the configuration in force: the last time
	// at which it was certainly the newest.
	confirmedAt atomic.Int64
	// incarnationID identifies this run of the process. It prefixes attempt IDs, which
	// makes them unique across daemons and restarts.
	incarnationID string
	attempts      atomic.Uint64
	inFlight      atomic.Int64
	// directInFlight is the number of calls in flight that are not nested.
	directInFlight atomic.Int64
	// lastDirectCall is when the last call that is not nested arrived, in Unix
	// nanoseconds.
	lastDirectCall atomic.Int64
	// leaving is set once responses close their connections.
	leaving atomic.Bool
	// refusing is set once all new calls except nested ones are refused.
	refusing atomic.Bool
	// callsCtx is cancelled when the calls in flight must end because the process is
	// about to exit.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
	// refusalLogLimit and retryLogLimit limit the rate of log lines about calls,
	// ownerLogLimit that of lines about owners with a busy link.
	refusalLogLimit lineLimit
	retryLogLimit   lineLimit
	ownerLogLimit   lineLimit
	// backgroundCtx is cancelled by Close and ends the background work.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
}

// NewIngress returns an ingress that refuses all calls until its first Update. Attempts
// at upstreams on this VM go directly to owner.
func NewIngress(cfg IngressConfig, owner *Owner) *Ingress {
	if cfg.Suspects == nil {
		cfg.Suspects = suspect.NewTable(cfg.Now)
	}
	if cfg.Pressure == nil {
		cfg.Pressure = pressure.New(cfg.Now)
	}
	in := &Ingress{
		cfg: cfg, owner: owner,
		remote:        newRemote(&net.Dialer{Timeout: cfg.ConnectTimeout, LocalAddr: cfg.Source}, cfg.InquireAfter, cfg.Events, cfg.Metrics),
		picker:        pick.New(cfg.Domain, cfg.CrossDomainCost/bytesPerMB, cfg.Now, cfg.Seed),
		retries:       retry.New(retry.Config{Ratio: cfg.RetryRatio, Burst: cfg.RetryBurst}, cfg.Now),
		incarnationID: uuid.NewString(),
	}
	in.remote.onOwnerUnreachable = in.markOwnerDown
	in.remote.leaving = &in.leaving
	in.remote.open.max = int64(cfg.MaxOwnerConns)
	in.remote.suspects = cfg.Suspects
	in.remote.countCrossDomain(cfg.Domain, cfg.Metrics.CrossDomain)
	in.remote.compressed = cfg.Metrics.Compress
	in.view.Store(&view.View{})
	in.backgroundCtx, in.cancelBackground = context.WithCancel(context.Background())
	in.callsCtx, in.cancelCalls = context.WithCancel(context.Background())
	in.remote.callsCtx = in.callsCtx
	return in
}

// Close stops the background work and ends the calls in flight.
func (in *Ingress) Close() {
	in.cancelBackground()
	in.cancelCalls()
}

// Update applies a view to the calls that arrive from now on.
func (in *Ingress) Update(v *view.View) {
	in.view.Store(v)
	in.picker.SetContention(v.Controls(config.CrossDomainCost))
	in.cfg.Limits.Update(in.backgroundCtx, v)
}

// SetFreshAt records the freshness of the configuration: the last time at which the
// configuration of the current view, or of an earlier view, was certainly the newest.
func (in *Ingress) SetFreshAt(t freshness.Timestamp) { in.confirmedAt.Store(int64(t)) }

// Stale reports whether calls that need a workspace key are being refused because the
// configuration is too old.
func (in *Ingress) Stale() bool {
	fresh, v := in.currentView()
	return !fresh && v.Routes != nil && v.Routes.Keyed()
}

// currentView returns the view in force and whether its configuration is fresh enough to
// admit calls by workspace key. Freshness is read before the view: a view stored in
// between can only be newer.
func (in *Ingress) currentView() (fresh bool, v *view.View) {
	fresh = freshness.Timestamp(in.confirmedAt.Load()).Fresh(boottime.Now(), in.cfg.MaxConfigAge)
	return fresh, in.view.Load()
}

// CloseConnections makes responses close their connections, so that callers open their
// next connections to other daemons.
func (in *Ingress) CloseConnections() { in.leaving.Store(true) }

// RefuseNewCalls makes the ingress refuse every new call as not run, because the process
// may exit before it has answered one. Nested calls are still served: without them the
// requests that are running at upstreams on this VM would fail.
func (in *Ingress) RefuseNewCalls() { in.refusing.Store(true) }

// EndCalls ends the calls in flight. Those that are still waiting are refused as not run;
// the outcome of the others is unknown.
func (in *Ingress) EndCalls() { in.cancelCalls() }

// errStopping is the cancellation cause of calls that EndCalls ends.
var errStopping = errors.New("daemon is stopping")

// Loads returns the upstream loads that owners reported in their recent responses to this
// ingress.
func (in *Ingress) Loads() map[string]outcome.Load { return in.picker.Loads() }

// IdleTime returns how long no call other than nested ones has arrived or been in flight.
func (in *Ingress) IdleTime() time.Duration {
	if in.directInFlight.Load() > 0 {
		return 0
	}
	return in.cfg.Now().Sub(time.Unix(0, in.lastDirectCall.Load()))
}

// InFlight returns the number of calls in flight, including nested ones.
func (in *Ingress) InFlight() int { return int(in.inFlight.Load()) }

// ServeHTTP handles a call from a caller.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	in.cfg.Metrics.Calls.Inc(1)
	began := in.cfg.Now()
	if in.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	fresh, v := in.currentView()
	w.Header().Set(HeaderVersion, strconv.FormatUint(v.Version, 10))
	c, refusal := in.parse(v, fresh, w, r, began)
	w.Header().Set(HeaderRequest, c.attempt.Request)
	if c.route == nil {
		if r.ContentLength != 0 && w.Header().Get("Connection") != "close" {
			setReadDeadline(connOf(r), time.Now().Add(discardTimeout))
		}
		in.refuse(w, &c, refusal)
		return
	}
	setBusy(r, true)
	if !c.attempt.Nested {
		in.lastDirectCall.Store(in.cfg.Now().UnixNano())
		in.directInFlight.Add(1)
		defer in.directInFlight.Add(-1)
	}
	c.service = v.Services[c.route.Next()]
	ctx, cancel := in.callContext(r.Context(), &c)
	defer cancel()
	defer c.releaseBody()
	res := in.admitAndRun(ctx, v, &c)
	recordNested(&c.attempt, res)
	if res.Body != nil {
		defer res.Body.Close()
	}
	if res.Outcome != outcome.Answered {
		in.refuse(w, &c, res)
		return
	}
	in.cfg.Metrics.answered(in.cfg.Now().Sub(began))
	setBusy(r, false)
	if answer, ok := bufferOf(res.Body); ok {
		c.releaseBody()
		writeBuffered(w, r, res, answer)
		return
	}
	writeStreamed(ctx, w, r, res)
}

// admitAndRun runs a call if this daemon still accepts calls and the rate limit of its
// workspace allows it.
func (in *Ingress) admitAndRun(ctx context.Context, v *view.View, c *call) outcome.Result {
	if in.refusing.Load() && !c.attempt.Nested {
		return outcome.Refuse(outcome.ReasonDraining, restartRetryAfter)
	}
	allowed, refusal := in.cfg.Limits.Admit(ctx, v, c.attempt.Workspace, c.returning())
	if !allowed {
		return refusal
	}
	res := in.run(ctx, c)
	if res.Outcome == outcome.NotRun {
		in.cfg.Limits.GiveBack(v, c.attempt.Workspace)
	}
	return res
}

// restartRetryAfter is the retry-after sent to callers of a daemon that is stopping: how
// long a process usually took to exit and become ready again in rolling restarts.
const restartRetryAfter = 2 * time.Second

// callContext returns a context that is cancelled at the deadline or when the caller
// disconnects. It also sets c.localCtx, the context of attempts on this VM, which
// EndCalls cancels as well. EndCalls does not cancel attempts on other VMs directly: they
// are first voided at their owners.
func (in *Ingress) callContext(caller context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, end := context.WithDeadline(caller, c.attempt.Deadline)
	local, cancel := context.WithCancelCause(ctx)
	c.localCtx = local
	stopCancel := context.AfterFunc(in.callsCtx, func() { cancel(errStopping) })
	return ctx, func() {
		stopCancel()
		cancel(nil)
		end()
	}
}
