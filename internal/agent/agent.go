// Package agent runs a daemon: it feeds inputs to the control systems, performs the I/O that
// they request, and keeps the call path's view of the configuration current.
package agent

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/callpath"
	"github.com/comfreygate/comfreygate/internal/compress"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/limits"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/peer"
	"github.com/comfreygate/comfreygate/internal/pressure"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform/store"
)

// inputQueueSize bounds the inputs that wait for a tick. A full queue blocks the readers of
// the peer connections, which slows the senders down (backpressure).
const inputQueueSize = 8192

// DocumentSource delivers configurations that are written and versioned outside this system,
// as whole documents.
type DocumentSource interface {
	// Next returns the newest document: on the first call at once, on later calls as soon as
	// there is a later document or wait has passed. It also returns the rollout orders that it
	// read with the document, even if the document itself is invalid.
	Next(ctx context.Context, wait time.Duration) (config.Document, []rollout.Order, error)
}

// Options are the dependencies of a daemon besides its settings.
type Options struct {
	Log    store.Log
	Logger zerolog.Logger
	// Source delivers the configuration. If nil, the configuration is built from the commands
	// on the log.
	Source DocumentSource
	// StatusPublisher publishes the status of rollouts for operators. If nil, operators query
	// a daemon.
	StatusPublisher StatusPublisher
	// Dialect names the HTTP headers used with callers and upstreams.
	Dialect callpath.Dialect
	// HealthChecker checks the health of upstreams at the path that their service has in the
	// configuration. If nil, health is not checked.
	HealthChecker HealthChecker
}

// Agent is a running daemon.
type Agent struct {
	settings        settings.Settings
	log             store.Log
	logger          zerolog.Logger
	metrics         metrics.Registry
	configMetrics   *configMetrics
	source          DocumentSource
	statusPublisher StatusPublisher
	self            wire.Member
	clock           *event.Clock
	events          *event.Ring

	world *table.World
	// suspects is shared by the entity tables and the call path.
	suspects *suspect.Table
	// pressure is the call path's table of scarce resources.
	pressure   *pressure.Table
	quarantine quarantineReader
	// view is the view in force. Only the loop goroutine uses it.
	view      *view.View
	transport *peer.Transport
	owner     *callpath.Owner
	ingress   *callpath.Ingress
	listeners listeners
	servers   []*http.Server

	ready atomic.Bool
	// stopping is set once Shutdown has begun.
	stopping atomic.Bool
	inputs   chan system.Input
	commands commandTable
	// healthChecker and healthClient make the health checks of upstreams.
	healthChecker HealthChecker
	healthClient  http.RoundTripper
	// departureWaiters wait until others know of departures. Only the goroutine of the
	// loop accesses them.
	departureWaiters []departureWaiter
	// departuresToStore is the record that is being written to the store, or nil.
	departuresToStore atomic.Pointer[system.DepartureRecord]
	// storeEpoch is the epoch of the store that was last passed to the loop.
	storeEpoch atomic.Uint64
	// readingConfig is set from the start of a read of the configuration until its result has
	// been applied. If it were cleared when the read ends, a tick before the result is applied
	// would repeat the read. Only the goroutine of the loop accesses it.
	readingConfig bool
	// readingQuarantine is set from the start of a read of quarantined requests until its result
	// has been applied. Only the goroutine of the loop accesses it.
	readingQuarantine bool
	// readingRollouts is set while a read of the rollout records is in progress.
	readingRollouts atomic.Bool
	// ctx is cancelled when the daemon is killed.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	killOnce   sync.Once
}

// listeners are the daemon's open listeners.
type listeners struct {
	callers *drainListener
	admin   net.Listener
	peers   net.Listener
	owner   net.Listener
	local   net.Listener
}

// Addresses are the addresses on which a daemon listens.
type Addresses struct {
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Peers   string `json:"peers"`
	Owner   string `json:"owner"`
	Local   string `json:"local"`
}

// New creates a daemon and opens its listeners. Nothing is served before Start.
func New(s settings.Settings, opts Options) (*Agent, error) {
	ls, err := openListeners(s.Listen)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	a := &Agent{
		settings:        s,
		log:             opts.Log,
		logger:          opts.Logger,
		source:          opts.Source,
		statusPublisher: opts.StatusPublisher,
		healthChecker:   opts.HealthChecker,
		healthClient:    newHealthClient(time.Duration(s.Calls.ConnectTimeout)),
		metrics:         metrics.NewRegistry(),
		clock:           event.NewClock(time.Now),
		listeners:       ls,
		inputs:          make(chan system.Input, inputQueueSize),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.events = event.NewRing(s.VM, a.clock, s.MaxEvents)
	a.commands.waiters = map[string][]chan struct{}{}
	seed := uint64(now.UnixNano())
	a.self = a.selfMember(now)
	params := s.Params()
	params.Documents = opts.Source != nil
	a.suspects = suspect.NewTable(time.Now)
	a.quarantine = quarantineReader{follower: store.NewFollower(opts.Log, store.QuarantineTopic, 0), logger: opts.Logger}
	a.world = table.New(a.self, params, a.suspects, now, seed)
	a.transport = peer.New(s.FailureDomain, a.input, a.clock, s.Listen.SourceAddr(), a.metrics)
	a.transport.OnAcceptError = func(err error) {
		a.logger.Warn().Str("step", "accept-peer").Err(err).Msg("accepting a connection of another daemon failed; trying again")
	}
	a.configMetrics = newConfigMetrics(a.metrics)
	a.pressure = pressure.New(time.Now)
	registerPressure(a.metrics, a.pressure)
	m := callpath.NewMetrics(a.metrics)
	budget := newBodyBudget(s, a.metrics)
	limiter := limits.New(limits.Config{
		Domain:    s.FailureDomain,
		Tolerance: s.Bounds.Tolerance(),
		Metrics:   a.metrics,
		Logger:    opts.Logger,
		Dialer:    &net.Dialer{Timeout: time.Duration(s.Calls.ConnectTimeout), LocalAddr: s.Listen.SourceAddr()},
	})
	a.owner = callpath.NewOwner(callpath.OwnerConfig{
		Incarnation:      a.world.Self.Incarnation,
		QueueFactor:      s.Calls.QueueFactor,
		ConnectTimeout:   time.Duration(s.Calls.ConnectTimeout),
		IdleTimeout:      time.Duration(s.Calls.UpstreamIdle),
		MaxHeader:        int64(s.Calls.MaxHeader),
		MaxResponse:      s.Calls.MaxResponse,
		Memory:           budget,
		LinkMbps:         s.Calls.LinkMbps,
		Suspects:         a.suspects,
		LimitCoordinator: limiter,
		OnDraining:       a.upstreamDraining,
		Events:           a.events,
		Metrics:          m,
		Dialect:          opts.Dialect,
		Logger:           opts.Logger,
		Now:              time.Now,
	})
	a.ingress = callpath.NewIngress(callpath.IngressConfig{
		VM:              s.VM,
		Domain:          s.FailureDomain,
		Caller:          s.Platform.Service,
		MaxBody:         s.Calls.MaxBody,
		ConnectTimeout:  time.Duration(s.Calls.ConnectTimeout),
		MaxOwnerConns:   maxOwnerConns(s),
		Source:          s.Listen.SourceAddr(),
		InquireAfter:    time.Duration(s.Calls.InquireAfter),
		Memory:          budget,
		Limits:          limiter,
		MaxConfigAge:    time.Duration(s.Bounds.Revoke),
		RetryRatio:      s.Calls.RetryRatio,
		RetryBurst:      s.Calls.RetryBurst,
		CrossDomainCost: s.Calls.CrossDomainCost,
		Suspects:        a.suspects,
		Pressure:        a.pressure,
		Events:          a.events,
		Metrics:         m,
		Logger:          opts.Logger,
		Dialect:         opts.Dialect,
		Now:             time.Now,
		Seed:            seed,
	}, a.owner)
	return a, nil
}

func openListeners(l settings.Listen) (listeners, error) {
	var ls listeners
	var callers net.Listener
	for _, o := range []struct {
		name string
		addr string
		ln   *net.Listener
	}{
		{"callers", l.Callers, &callers}, {"admin", l.Admin, &ls.admin}, {"peers", l.Peers, &ls.peers},
		{"owner", l.Owner, &ls.owner}, {"local", l.Local, &ls.local},
	} {
		ln, err := net.Listen("tcp", o.addr)
		if err != nil {
			ls.close()
			return ls, errors.Wrapf(err, "listen.%s", o.name)
		}
		*o.ln = ln
		if tcp, ok := ln.(*net.TCPListener); ok && o.ln == &callers {
			ls.callers = newDrainListener(tcp)
		}
	}
	return ls, nil
}

func (l listeners) close() {
	if l.callers != nil {
		l.callers.Close()
	}
	for _, ln := range []net.Listener{l.admin, l.peers, l.owner, l.local} {
		if ln != nil {
			ln.Close()
		}
	}
}

func (a *Agent) selfMember(now time.Time) wire.Member {
	return wire.Member{
		ID: a.settings.VM, Domain: a.settings.FailureDomain, Region: a.settings.Region,
		Peer:  cmp.Or(a.settings.Listen.AdvertisePeers, a.listeners.peers.Addr().String()),
		Owner: cmp.Or(a.settings.Listen.AdvertiseOwner, a.listeners.owner.Addr().String()),
		Admin: a.listeners.admin.Addr().String(), LinkMbps: a.settings.Calls.LinkMbps, Incarnation: uint64(now.UnixNano()),
		Compress: true,
	}
}

// Addresses returns the addresses on which the daemon listens.
func (a *Agent) Addresses() Addresses {
	return Addresses{
		Callers: a.listeners.callers.Addr().String(), Admin: a.listeners.admin.Addr().String(),
		Peers: a.listeners.peers.Addr().String(), Owner: a.listeners.owner.Addr().String(),
		Local: a.listeners.local.Addr().String(),
	}
}

// Events returns the daemon's recent events.
func (a *Agent) Events() *event.Ring { return a.events }

// Metrics returns the daemon's metrics.
func (a *Agent) Metrics() metrics.Registry { return a.metrics }

// Loads returns the load of each upstream on this VM, and the loads that other owners
// recently reported for their upstreams.
func (a *Agent) Loads() map[string]outcome.Load {
	loads := a.ingress.Loads()
	maps.Copy(loads, a.owner.Loads())
	return loads
}

// Pressure returns the scarce resources that this daemon knows of.
func (a *Agent) Pressure() []pressure.Row { return a.pressure.Rows() }

// registerPressure registers a gauge for each resource: the number of services or workspaces
// and places at which it is scarce.
func registerPressure(r metrics.Registry, t *pressure.Table) {
	for _, resource := range pressure.Resources() {
		name := "pressure." + strings.ReplaceAll(string(resource), "-", "_")
		r.GetOrRegister(name, metrics.NewFunctionalGauge(func() int64 { return int64(t.Scarce(resource)) }))
	}
}

// Start starts the control loop and serves all listeners. The handler admin serves the
// administration API.
func (a *Agent) Start(admin http.Handler) {
	a.events.Add(event.Event{Kind: event.Started})
	a.spawn(a.loop)
	a.spawn(a.watchSuspects)
	a.spawn(func() { a.transport.Serve(a.listeners.peers) })
	a.serve(a.ingress.Listener(a.listeners.callers, maxCallerConns(a.settings)), a.ingress)
	a.serve(compress.Listener(a.listeners.owner), a.owner)
	a.serve(a.listeners.admin, admin)
	a.serve(a.listeners.local, a.localHandler())
	a.logger.Info().Interface("listen", a.Addresses()).Msg("listening")
}

// spawn runs f in a goroutine that Kill waits for.
func (a *Agent) spawn(f func()) {
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		f()
	}()
}

const (
	// readHeaderTimeout bounds the reading of a request's headers. For callers the configuration
	// may set another time.
	readHeaderTimeout = 10 * time.Second
	// serverIdleTimeout is how long an idle connection is kept open. It is longer than the idle
	// timeout of the daemons' own clients, so that the client side closes first.
	serverIdleTimeout = 3 * time.Minute
)

func (a *Agent) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout,
		MaxHeaderBytes: a.settings.Calls.MaxHeader, ConnContext: callpath.WithConn, ConnState: a.ingress.ConnState,
	}
	a.servers = append(a.servers, srv)
	a.spawn(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			a.logger.Error().Str("step", "serve").Str("peer", ln.Addr().String()).Err(err).Msg("serving on the listener failed; it accepts no more connections")
		}
	})
}

// Reload applies the one setting that may change while the daemon runs: the addresses of
// peers to join through (control.peers). It reports whether any other setting differs from
// the settings in use, which takes a restart to apply.
func (a *Agent) Reload(s settings.Settings) (needsRestart bool) {
	a.input(system.SeedsFound{Addrs: s.Control.Peers})
	s.Control.Peers = a.settings.Control.Peers
	return !reflect.DeepEqual(s, a.settings)
}

// input queues an input for the next tick. It blocks while the queue is full.
func (a *Agent) input(in system.Input) {
	select {
	case a.inputs <- in:
	case <-a.ctx.Done():
	}
}

// upstreamDraining records that an upstream of this VM has stated in a response that it is
// draining.
func (a *Agent) upstreamDraining(id string) { go a.input(system.Deregistered{ID: id}) }

// install puts a new view in force. The owner is updated before the ingress, so that the
// owner never refuses calls which the ingress already routes by the new view.
func (a *Agent) install(v *view.View) {
	if err := v.Consistent(); err != nil {
		a.logger.Error().Str("step", "view").Err(err).Msg("new view is inconsistent; the previous one stays in force")
		a.events.Add(event.Event{Kind: event.Alarm, Version: v.Version, Detail: err.Error()})
		return
	}
	a.logCompression(v)
	a.view = v
	a.owner.Update(v)
	a.ingress.Update(v)
	a.ready.Store(v.Ready && !a.stopping.Load())
}

// logCompression logs whether calls to other failure domains are compressed, at the start and
// at each change.
func (a *Agent) logCompression(v *view.View) {
	if a.view != nil && a.view.Compress == v.Compress {
		return
	}
	a.logger.Info().Str("step", "compression").Bool("in_force", v.Compress).Str("setting", string(a.settings.Calls.Compress)).
		Msg("compression of calls to other failure domains")
}

// Ready reports whether this daemon serves calls, including those that need a key, and is not
// stopping.
func (a *Agent) Ready() bool { return a.ready.Load() && !a.ingress.Stale() }

// Listen opens a listener besides the agent's own interfaces and serves h on it. The listener
// is closed together with the agent's own.
func (a *Agent) Listen(name, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen %s", name)
	}
	a.serve(ln, h)
	return nil
}
