package callpath

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/limits"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/pick"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/view"
)

// maxDepth is how many daemons one call may pass through as ingress. Calls
// between services are up to 16 deep.
const maxDepth = 16

// IngressConfig is what an ingress is made of.
type IngressConfig struct {
	VM     string
	Domain string
	// Caller names whoever calls through this ingress. Empty: callers name
	// themselves.
	Caller  string
	Dialect Dialect
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// ConnectTimeout bounds the opening of a connection to an owner.
	ConnectTimeout time.Duration
	// Source is the address that connections to owners come from, or nil.
	Source net.Addr
	// InquireAfter is when the owner of an unanswered attempt is asked about
	// it over a fresh connection.
	InquireAfter time.Duration
	// RetryRatio is how many retries a call there may be, over all daemons;
	// RetryBurst bounds the retries that this one saves up.
	RetryRatio float64
	// Revoke is how old a configuration may be to let calls in by a workspace's key; zero:
	// any age.
	Revoke     time.Duration
	RetryBurst float64
	// CrossDomainCost is what a megabyte between failure domains costs as a
	// multiple of a call's worth.
	CrossDomainCost float64
	// Limits holds callers to those of their workspaces.
	Limits *limits.Limiter
	// Suspects is the daemon's one table of them. Nil: this ingress has its own.
	Suspects *suspect.Table
	Events   *event.Ring
	Metrics  *Metrics
	Logger   zerolog.Logger
	Now      func() time.Time
	Seed     uint64
}

// Ingress takes calls in. Safe for concurrent use.
type Ingress struct {
	cfg    IngressConfig
	owner  *Owner
	remote *remote
	picker *pick.Picker
	// budget holds the further attempts that may reach upstreams, refusals
	// those that owners may refuse.
	budget   *budget
	refusals *budget
	// failures holds those after an upstream's own failure; they are paid
	// from budget as well.
	failures *budget
	view     atomic.Pointer[view.View]
	// stamp is when the view's configuration was the newest for sure, a freshness.Stamp.
	stamp atomic.Int64
	// life makes attempt IDs of this process unlike those of any other.
	life     string
	attempts atomic.Uint64
	inFlight atomic.Int64
	// direct counts the calls in flight that are not nested.
	direct atomic.Int64
	// arrived is when the last call came that is not nested, in Unix nanoseconds.
	arrived atomic.Int64
	leaving atomic.Bool
	// closed says that no further call is taken, unless it is nested.
	closed atomic.Bool
	// hurry ends when calls must end because the process does.
	hurry   context.Context
	hurryUp context.CancelFunc
	// refusalLines and retryLines bound what is logged of calls.
	refusalLines lineLimit
	retryLines   lineLimit
	stop         context.Context
	end          context.CancelFunc
}

// NewIngress returns an ingress that refuses calls until its first view.
// Attempts at upstreams on this VM go to owner directly.
func NewIngress(cfg IngressConfig, owner *Owner) *Ingress {
	if cfg.Suspects == nil {
		cfg.Suspects = suspect.NewTable(cfg.Now)
	}
	in := &Ingress{
		cfg: cfg, owner: owner,
		remote:   newRemote(&net.Dialer{Timeout: cfg.ConnectTimeout, LocalAddr: cfg.Source}, cfg.InquireAfter, cfg.Events, cfg.Metrics),
		picker:   pick.New(cfg.Domain, cfg.CrossDomainCost/bytesPerMB, cfg.Now, cfg.Seed),
		budget:   newBudget(budgetPart*cfg.RetryRatio, cfg.RetryBurst),
		refusals: newBudget(refusalRatio, refusalBurst),
		failures: newBudget(failurePart*cfg.RetryRatio, failureBurst),
		life:     uuid.NewString(),
	}
	in.remote.lost = in.avoidOwner
	in.remote.suspects = cfg.Suspects
	in.view.Store(&view.View{})
	in.stop, in.end = context.WithCancel(context.Background())
	in.hurry, in.hurryUp = context.WithCancel(context.Background())
	in.remote.hurry = in.hurry
	return in
}

// Close ends the ingress's background work.
func (in *Ingress) Close() {
	in.end()
	in.hurryUp()
}

// Update puts a view in force for the calls that arrive from here on.
func (in *Ingress) Update(v *view.View) {
	in.view.Store(v)
	in.cfg.Limits.Update(in.stop, v)
}

// Vouch takes note of when the configuration of the view in force, or of one before it, was
// the newest for sure.
func (in *Ingress) Vouch(s freshness.Stamp) { in.stamp.Store(int64(s)) }

// Stale reports whether calls that need a key are refused since the configuration is too
// old.
func (in *Ingress) Stale() bool {
	fresh, v := in.held()
	return !fresh && v.Routes != nil && v.Routes.Keyed()
}

// held returns the view in force and whether its configuration is fresh enough to let
// calls in by a key. The age is looked at first: a view that comes in between is newer.
func (in *Ingress) held() (fresh bool, v *view.View) {
	fresh = freshness.Stamp(in.stamp.Load()).Fresh(boottime.Now(), in.cfg.Revoke)
	return fresh, in.view.Load()
}

// Leave asks callers to open new connections elsewhere.
func (in *Ingress) Leave() { in.leaving.Store(true) }

// Refuse refuses every further call, as not run: the process ends before it
// could be sure to answer it. Nested calls are still carried: without them what runs
// at the upstreams here would fail.
func (in *Ingress) Refuse() { in.closed.Store(true) }

// Finish ends the calls that are still being carried: those that wait are
// refused as not run, the outcome of the others is unknown.
func (in *Ingress) Finish() { in.hurryUp() }

// errStopping is why a call is ended by Finish.
var errStopping = errors.New("the daemon stops")

// Loads returns the loads of upstreams that their owners reported on answers
// to this ingress within the last seconds.
func (in *Ingress) Loads() map[string]outcome.Load { return in.picker.Loads() }

// Quiet returns for how long no call has come or been carried that is not nested.
func (in *Ingress) Quiet() time.Duration {
	if in.direct.Load() > 0 {
		return 0
	}
	return in.cfg.Now().Sub(time.Unix(0, in.arrived.Load()))
}

// InFlight returns how many calls are being carried, nested ones included.
func (in *Ingress) InFlight() int { return int(in.inFlight.Load()) }

// ServeHTTP takes a call from a caller and answers it.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	in.cfg.Metrics.Calls.Inc(1)
	began := in.cfg.Now()
	if in.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	fresh, v := in.held()
	w.Header().Set(HeaderVersion, strconv.FormatUint(v.Version, 10))
	c, refusal := in.parse(v, fresh, w, r, began)
	w.Header().Set(HeaderRequest, c.attempt.Request)
	if c.route == nil {
		in.refuse(w, &c, refusal)
		return
	}
	if !c.attempt.Nested {
		in.arrived.Store(in.cfg.Now().UnixNano())
		in.direct.Add(1)
		defer in.direct.Add(-1)
	}
	c.service = v.Services[c.route.Next()]
	ctx, cancel := in.callContext(r.Context(), &c)
	defer cancel()
	res := in.admitted(ctx, v, &c)
	if res.Body != nil {
		defer res.Body.Close()
	}
	if res.Outcome != outcome.Answered {
		in.refuse(w, &c, res)
		return
	}
	in.cfg.Metrics.answered(in.cfg.Now().Sub(began))
	writeAnswer(w, res)
}

// admitted runs a call if this daemon still takes calls and its workspace's limit lets it in.
func (in *Ingress) admitted(ctx context.Context, v *view.View, c *call) outcome.Result {
	if in.closed.Load() && !c.attempt.Nested {
		return outcome.Refuse(outcome.ReasonDraining, restartTime)
	}
	leave, refusal := in.cfg.Limits.Admit(ctx, v, c.attempt.Workspace)
	if !leave {
		return refusal
	}
	res := in.run(ctx, c)
	if res.Outcome == outcome.NotRun {
		in.cfg.Limits.GiveBack(v, c.attempt.Workspace)
	}
	return res
}

// restartTime is when a caller of a stopping daemon may come back: what a
// process took to end and to be ready again, as a rule, in rolling restarts.
const restartTime = 2 * time.Second

// callContext ends at the deadline and when the caller goes; that of attempts on
// this VM, which it puts into the call, with Finish as well. Others are settled with
// their owners first.
func (in *Ingress) callContext(caller context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, end := context.WithDeadline(caller, c.attempt.Deadline)
	local, cancel := context.WithCancelCause(ctx)
	c.local = local
	unhook := context.AfterFunc(in.hurry, func() { cancel(errStopping) })
	return ctx, func() {
		unhook()
		cancel(nil)
		end()
	}
}

// run tries upstreams until one answers, none is left, the outcome is unknown
// and may not be repeated, or the policy, the budget or the time is used up.
func (in *Ingress) run(ctx context.Context, c *call) outcome.Result {
	in.budget.earn(c.service.Name)
	in.refusals.earn(c.service.Name)
	in.failures.earn(c.service.Name)
	if c.attempt.Repeated {
		in.budget.charge(c.service.Name)
	}
	var t tries
	for {
		if !in.cfg.Now().Before(c.attempt.Deadline) {
			return in.outOfTime(t)
		}
		if refusal, held := quarantined(in.cfg.Suspects, &c.attempt, in.cfg.Now()); held {
			in.cfg.Metrics.Quarantined.Inc(1)
			return t.exhausted(refusal)
		}
		u, refusal, ok := in.next(c, t.upstreams)
		if !ok {
			return t.exhausted(refusal)
		}
		c.attempt.Repeated = c.attempt.Repeated || t.reached > 0
		t.add(u, in.try(ctx, c, u))
		if ctx.Err() != nil || in.hurry.Err() != nil || !in.mayRetry(c, &t) {
			return t.best()
		}
		in.cfg.Metrics.Retries.Inc(1)
		in.cfg.Events.Add(event.Event{
			Kind: event.CallRetried, Request: c.attempt.Request, Service: c.service.Name,
			Peer: u.ID, Detail: string(t.last.Reason),
		})
		in.logRetry(c, u, t.last)
	}
}

// outOfTime is the result of a call whose time ran out between attempts.
func (in *Ingress) outOfTime(t tries) outcome.Result {
	if len(t.upstreams) > 0 && t.best().Outcome != outcome.NotRun {
		return t.best()
	}
	return outcome.Refuse(outcome.ReasonDeadline, outcome.MinRetryAfter)
}

// next returns the upstream for the next attempt. Calls with an idempotency
// key go to the upstream that the key's hash names, wherever they enter, so
// that its owner sees every copy.
func (in *Ingress) next(c *call, tried []string) (view.Upstream, outcome.Result, bool) {
	if c.attempt.Key == "" {
		n := in.need(c, tried)
		if endsUnder(in.cfg.Suspects, &c.attempt) > 0 {
			n.Home = c.attempt.digest().String()
		}
		return in.pick(c, n)
	}
	if len(tried) > 0 {
		// Another upstream could not know of copies sent to the first.
		return view.Upstream{}, outcome.Refuse(outcome.ReasonOverload, outcome.MinRetryAfter), false
	}
	home := pick.Home(c.service.Upstreams, c.attempt.Caller+"\x00"+c.attempt.Key)
	if home == nil {
		return view.Upstream{}, outcome.Refuse(outcome.ReasonNoUpstream, pick.UnknownAfter), false
	}
	only := &view.Service{Service: c.service.Service, Upstreams: []view.Upstream{*home}}
	return in.picker.Pick(only, in.need(c, nil))
}

// pick returns the upstream for the next attempt: of the part of the service that this
// call goes to, while a version is rolled out. Only a first attempt tries the new version,
// so that a call fails under it once at the most.
func (in *Ingress) pick(c *call, n pick.Need) (view.Upstream, outcome.Result, bool) {
	split := c.service.Split
	if split == nil {
		return in.picker.Pick(c.service, n)
	}
	now := in.cfg.Now()
	if len(n.Tried) == 0 {
		if trial := split.Trial(now); trial != nil {
			if u, refusal, ok := in.picker.Pick(trial, n); ok {
				return u, refusal, ok
			}
		}
	}
	u, refusal, ok := in.picker.Pick(c.service, n)
	if fallback := split.Fallback(now); !ok && fallback != nil {
		return in.picker.Pick(fallback, n)
	}
	return u, refusal, ok
}

// noteRan counts an attempt as evidence for or against a version that is rolled out.
func (in *Ingress) noteRan(c *call, u view.Upstream, r outcome.Result) {
	if split := c.service.Split; split != nil && r.Ran() {
		split.Note(in.cfg.Now(), view.Ran{
			Route: c.route.Name, Upstream: u, Failed: r.Outcome != outcome.Answered || failed(r), Took: r.Took,
		})
	}
}

// bytesPerMB converts the setting's unit.
const bytesPerMB = 1e6

// assumedObjective is the part of a policy's timeout that an answer should take
// if the policy has no objective.
const assumedObjective = 4

func (in *Ingress) need(c *call, tried []string) pick.Need {
	objective := c.route.Policy.Objective
	if objective == 0 {
		objective = c.route.Policy.Timeout / assumedObjective
	}
	n := pick.Need{Urgency: c.attempt.Urgency, Objective: objective, Body: len(c.attempt.Body), Tried: tried}
	n.Bytes, n.Took = in.picker.Expect(c.route.Name, len(c.attempt.Body), objective)
	c.attempt.Usual = n.Took
	return n
}

// try makes one attempt.
func (in *Ingress) try(ctx context.Context, c *call, u view.Upstream) outcome.Result {
	a := c.attempt
	a.ID = fmt.Sprintf("%s-%d", in.life, in.attempts.Add(1))
	a.Upstream = u.ID
	a.Incarnation = u.Incarnation
	began := in.cfg.Now()
	var r outcome.Result
	if u.Local {
		ctx = c.local
		r = in.owner.carry(ctx, &a)
	} else {
		r = in.remote.carry(ctx, u, &a)
	}
	if r.Outcome == outcome.Answered {
		var size int
		r, size = collect(ctx, r)
		if r.Outcome == outcome.Answered {
			in.picker.Note(c.route.Name, size, in.cfg.Now().Sub(began))
		}
	}
	in.noteRan(c, u, r)
	in.picker.Observe(u, a.Urgency, r)
	if r.Outcome == outcome.Answered {
		r.Body = &answerBody{ReadCloser: r.Body, done: func() { in.picker.Finished(u) }}
	} else {
		in.picker.Finished(u)
	}
	if r.OwnerDown {
		in.avoidOwner(u)
	}
	if r.Err != nil {
		in.cfg.Logger.Debug().Str("step", "attempt").Str("peer", u.Daemon).Str("request", a.Request).
			Str("outcome", string(r.Outcome)).Err(r.Err).Msg("attempt failed")
	}
	return r
}
