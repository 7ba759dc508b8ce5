// Package limits applies the rate limits of workspaces across the whole fleet: it carries
// the messages of package quota between the daemons of a failure domain and their limit
// coordinator, and between coordinators.
package limits

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/crossdomain"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/quota"
	"github.com/comfreygate/comfreygate/internal/response"
	"github.com/comfreygate/comfreygate/internal/view"
)

const (
	// reportInterval is the interval at which a daemon reports the calls that it has
	// admitted to its coordinator.
	reportInterval = 100 * time.Millisecond
	// coordinatorTimeout bounds a request to a coordinator: within a failure domain an
	// answer takes a few milliseconds.
	coordinatorTimeout = 300 * time.Millisecond
	// maxBodyBytes bounds the bodies between daemons and coordinators: enough for 10,000
	// workspace names.
	maxBodyBytes = 1 << 20
)

// Paths of the listener for other daemons.
const (
	PathReport = "/.comfrey/limits"
	PathLeases = "/.comfrey/loans"
)

// idleConnTimeout is how long an unused connection to a coordinator is kept open.
const idleConnTimeout = time.Minute

// Config configures a Limiter.
type Config struct {
	// Domain is the failure domain of this daemon.
	Domain string
	// Tolerance is by how much limits may be exceeded.
	Tolerance quota.Tolerance
	// Dialer opens connections to coordinators.
	Dialer *net.Dialer
	// Metrics counts the requests to coordinators.
	Metrics metrics.Registry
	Logger  zerolog.Logger
}

// Limiter applies the rate limits of workspaces to their calls. Safe for concurrent use.
type Limiter struct {
	domain       string
	localLimiter *quota.LocalLimiter
	coordinator  *quota.Coordinator
	client       *http.Client
	logger       zerolog.Logger
	// requests counts the requests to coordinators, failedRequests those without an
	// answer.
	requests       metrics.Counter
	failedRequests metrics.Counter
	// granted and grantedReturning count the first-time and the returning calls that
	// coordinators granted, refusedReturning the returning calls that were refused.
	granted          metrics.Counter
	grantedReturning metrics.Counter
	refusedReturning metrics.Counter
	view             atomic.Pointer[view.View]
	// startReporting starts the reporting goroutine.
	startReporting sync.Once
	// reportNow gets a token when a call waits for a grant, to trigger a report at once.
	reportNow chan struct{}
	// requestingLeases is set while this coordinator requests leases from others.
	// leaseInterval is the interval until the next request, as a time.Duration.
	requestingLeases atomic.Bool
	leaseInterval    atomic.Int64

	mu      sync.Mutex
	waiters map[waiterKey][]chan bool
}

// waiterKey identifies the calls that wait for grants of a kind.
type waiterKey struct {
	workspace string
	kind      quota.Kind
}

// New returns a limiter without limits.
func New(cfg Config) *Limiter {
	return &Limiter{
		domain:           cfg.Domain,
		localLimiter:     quota.NewLocalLimiter(),
		coordinator:      quota.NewCoordinator(cfg.Tolerance),
		logger:           cfg.Logger,
		client:           newClient(cfg),
		requests:         metrics.GetOrRegisterCounter("limits.asks", cfg.Metrics),
		failedRequests:   metrics.GetOrRegisterCounter("limits.asks_failed", cfg.Metrics),
		granted:          metrics.GetOrRegisterCounter("limits.granted", cfg.Metrics),
		grantedReturning: metrics.GetOrRegisterCounter("limits.granted_again", cfg.Metrics),
		refusedReturning: metrics.GetOrRegisterCounter("limits.refused_again", cfg.Metrics),
		reportNow:        make(chan struct{}, 1),
		waiters:          map[waiterKey][]chan bool{},
	}
}

// newClient returns the client for requests to limit coordinators. It counts the bytes of
// those to other failure domains.
func newClient(cfg Config) *http.Client {
	counters := crossdomain.NewCounters(cfg.Metrics)
	return &http.Client{
		Timeout: coordinatorTimeout,
		Transport: response.Transport{RoundTripper: &http.Transport{
			DialContext:     counters.DialContext(cfg.Dialer.DialContext),
			IdleConnTimeout: idleConnTimeout,
		}},
	}
}

// Update applies a view's limits. Reporting starts with the first view that has limits,
// and runs until ctx is done.
func (l *Limiter) Update(ctx context.Context, v *view.View) {
	l.view.Store(v)
	if v.Routes == nil {
		return
	}
	limits := v.Routes.CallLimits()
	l.coordinator.Set(limits, max(v.Domains, len(v.LimitCoordinators)))
	l.coordinator.SetFirstTimeFirst(v.Controls(config.ReturningCalls))
	if len(limits) > 0 {
		l.startReporting.Do(func() { go l.run(ctx) })
	}
}

// LimitOf returns a workspace's limit, and whether it has one.
func LimitOf(v *view.View, workspace string) (quota.Limit, bool) {
	if workspace == "" {
		return quota.Limit{}, false
	}
	limit, ok := v.Routes.CallLimits()[workspace]
	return limit, ok
}

// HasReply reports whether the limit coordinator has ever replied.
func (l *Limiter) HasReply() bool { return l.localLimiter.HasReply() }

// Admit reports whether a call is within its workspace's limit, and otherwise the result
// with which it is refused. returning says that the caller has waited already: where load
// control is in force, first-time calls take precedence.
func (l *Limiter) Admit(ctx context.Context, v *view.View, workspace string, returning bool) (bool, outcome.Result) {
	limit, limited := LimitOf(v, workspace)
	if !limited {
		return true, outcome.Result{}
	}
	key := waiterKey{workspace, quota.FirstTime}
	if returning && v.Controls(config.ReturningCalls) {
		key.kind = quota.Returning
	}
	verdict, retryAfter := l.localLimiter.Admit(boottime.Now(), workspace, key.kind, limit, v.Daemons)
	if verdict == quota.NeedsGrant {
		if l.requestGrant(ctx, key) {
			l.countGranted(key.kind)
			l.localLimiter.RecordGranted(boottime.Now(), workspace)
			return true, outcome.Result{}
		}
		retryAfter = l.localLimiter.RecordDenied(boottime.Now(), workspace, key.kind)
	}
	if verdict != quota.Admitted && key.kind == quota.Returning {
		l.refusedReturning.Inc(1)
	}
	return verdict == quota.Admitted, outcome.Refuse(outcome.ReasonOverLimit, retryAfter)
}

func (l *Limiter) countGranted(kind quota.Kind) {
	if kind == quota.Returning {
		l.grantedReturning.Inc(1)
	} else {
		l.granted.Inc(1)
	}
}

// GiveBack returns a call that was admitted but did not run.
func (l *Limiter) GiveBack(v *view.View, workspace string) {
	if _, limited := LimitOf(v, workspace); limited {
		l.localLimiter.GiveBack(workspace)
	}
}

// requestGrant waits for a grant from the coordinator. A grant that arrives after ctx
// is done is given back.
func (l *Limiter) requestGrant(ctx context.Context, key waiterKey) bool {
	grant := make(chan bool, 1)
	l.mu.Lock()
	l.waiters[key] = append(l.waiters[key], grant)
	l.mu.Unlock()
	select {
	case l.reportNow <- struct{}{}:
	default: // one token is enough
	}
	select {
	case ok := <-grant:
		return ok
	case <-ctx.Done():
		go func() {
			if <-grant {
				l.localLimiter.GiveBack(key.workspace)
			}
		}()
		return false
	}
}

// run reports to the coordinator until the daemon stops.
func (l *Limiter) run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var lastRequestAt time.Duration
	for {
		select {
		case <-ticker.C:
		case <-l.reportNow:
		case <-ctx.Done():
			l.resolveWaiters(l.takeWaiters(), quota.Reply{})
			return
		}
		l.report(ctx)
		if now := boottime.Now(); now-lastRequestAt >= time.Duration(l.leaseInterval.Load()) {
			lastRequestAt = now
			l.requestLeases(ctx)
		}
	}
}

// takeWaiters returns the waiting calls and empties the list.
func (l *Limiter) takeWaiters() map[waiterKey][]chan bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.waiters
	l.waiters = map[waiterKey][]chan bool{}
	return waiting
}

// resolveWaiters notifies each waiting call whether it got a grant.
func (l *Limiter) resolveWaiters(waiting map[waiterKey][]chan bool, reply quota.Reply) {
	for key, list := range waiting {
		granted := reply.Granted
		if key.kind == quota.Returning {
			granted = reply.GrantedAgain
		}
		for i, grant := range list {
			grant <- i < granted[key.workspace]
		}
	}
}

// report sends the counts of admitted calls to the coordinator and requests grants for
// the waiting calls.
func (l *Limiter) report(ctx context.Context) {
	v := l.view.Load()
	waiting := l.takeWaiters()
	if len(waiting) == 0 && l.localLimiter.Idle(boottime.Now()) {
		return
	}
	r := l.localLimiter.Report()
	addWanted(&r, waiting)
	requestedAt := boottime.Now()
	reply, err := l.sendReport(ctx, v.LimitCoordinators[l.domain], r)
	if err != nil {
		l.failedRequests.Inc(1)
		l.logger.Debug().Str("step", "report to limit coordinator").Str("peer", v.LimitCoordinators[l.domain].Daemon).Err(err).
			Msg("limit coordinator did not answer; refusing the waiting calls and reporting the counts again")
		l.localLimiter.Restore(r)
		l.resolveWaiters(waiting, quota.Reply{})
		return
	}
	l.localLimiter.HandleReply(requestedAt, reply)
	l.resolveWaiters(waiting, reply)
}

// addWanted adds the waiting calls to a report.
func addWanted(r *quota.Report, waiting map[waiterKey][]chan bool) {
	for key, list := range waiting {
		wanted := &r.Wanted
		if key.kind == quota.Returning {
			wanted = &r.WantedAgain
		}
		if *wanted == nil {
			*wanted = make(map[string]int, len(waiting))
		}
		(*wanted)[key.workspace] = len(list)
	}
}

// sendReport delivers a report to the coordinator.
func (l *Limiter) sendReport(ctx context.Context, coordinator view.LimitCoordinator, r quota.Report) (reply quota.Reply, err error) {
	if coordinator.Local {
		return l.coordinator.HandleReport(boottime.Now(), r), nil
	}
	l.requests.Inc(1)
	return reply, l.post(ctx, coordinator, PathReport, r, &reply)
}

// requestLeases requests leases from the coordinators of other failure domains for the rates
// that this one lacks. It does nothing unless this daemon is the coordinator of its domain.
func (l *Limiter) requestLeases(ctx context.Context) {
	v := l.view.Load()
	if !v.LimitCoordinators[l.domain].Local || !l.requestingLeases.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.requestingLeases.Store(false)
		leased := false
		request := quota.LeaseRequest{Domain: l.domain, Needs: l.coordinator.Needs(boottime.Now())}
		for domain, other := range v.LimitCoordinators {
			if domain == l.domain || len(request.Needs) == 0 {
				continue
			}
			requestedAt := boottime.Now()
			var leasedRates map[string]float64
			if err := l.post(crossdomain.WithPurpose(ctx, crossdomain.Limits), other, PathLeases, request, &leasedRates); err != nil {
				l.logger.Debug().Str("step", "request leases").Str("peer", other.Daemon).Err(err).
					Msg("limit coordinator did not answer the lease request; skipping it")
				continue
			}
			l.coordinator.AddLeases(boottime.Now(), requestedAt, domain, leasedRates)
			request.Subtract(leasedRates)
			leased = leased || len(leasedRates) > 0
		}
		l.leaseInterval.Store(int64(quota.NextLeaseRequestInterval(time.Duration(l.leaseInterval.Load()), leased)))
	}()
}

func (l *Limiter) post(ctx context.Context, coordinator view.LimitCoordinator, path string, body, reply any) error {
	if coordinator.Owner == "" {
		return errors.New("no limit coordinator is known")
	}
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+coordinator.Owner+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	res, err := l.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("limit coordinator answered %s", res.Status)
	}
	return json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxBodyBytes)).Decode(reply)
}

// ServeHTTP answers other daemons if this one is the limit coordinator of its failure
// domain.
func (l *Limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.isCoordinator() {
		http.Error(w, "not the limit coordinator", http.StatusConflict)
		return
	}
	body := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var answer any
	var err error
	if r.URL.Path == PathReport {
		var report quota.Report
		if err = body.Decode(&report); err == nil {
			answer = l.coordinator.HandleReport(boottime.Now(), report)
		}
	} else {
		var request quota.LeaseRequest
		if err = body.Decode(&request); err == nil {
			answer = l.coordinator.GrantLeases(boottime.Now(), request)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If this fails, the requesting daemon has closed the connection; it sends its
	// request again.
	_ = json.NewEncoder(w).Encode(answer)
}

// isCoordinator reports whether this daemon is the limit coordinator of its failure
// domain.
func (l *Limiter) isCoordinator() bool {
	v := l.view.Load()
	return v != nil && v.LimitCoordinators[l.domain].Local
}
