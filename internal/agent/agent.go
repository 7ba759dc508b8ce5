// Package agent runs a daemon: it feeds the control systems, does what they
// ask for, and keeps the call path's view current.
package agent

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/callpath"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/limits"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/peer"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform/store"
)

// inputQueue bounds the inputs waiting for a tick. A full queue holds the
// connections' readers up, which slows the senders down.
const inputQueue = 8192

// DocumentSource delivers configurations that were made and numbered
// elsewhere, as whole documents.
type DocumentSource interface {
	// Next returns the newest document: the first time at once, then as soon
	// as there is a later one or wait has passed; and the orders for roll-outs that it
	// read with it, also where the document cannot be used.
	Next(ctx context.Context, wait time.Duration) (config.Document, []rollout.Order, error)
}

// Options are what a daemon is made of besides its settings.
type Options struct {
	Log    store.Log
	Logger zerolog.Logger
	// Source delivers the configuration. Nil: it is made by commands on the
	// log.
	Source DocumentSource
	// Teller lets operators read how far roll-outs have come. Nil: they ask a daemon.
	Teller Teller
	// Dialect names the headers spoken with callers and upstreams.
	Dialect callpath.Dialect
}

// Agent is a running daemon.
type Agent struct {
	settings      settings.Settings
	log           store.Log
	logger        zerolog.Logger
	metrics       metrics.Registry
	configMetrics *configMetrics
	source        DocumentSource
	teller        Teller
	self          wire.Member
	clock         *event.Clock
	events        *event.Ring

	world *table.World
	// suspects is shared by the tables and the call path.
	suspects   *suspect.Table
	quarantine quarantineReader
	// view is the one in force. Only the loop uses it.
	view      *view.View
	transport *peer.Transport
	owner     *callpath.Owner
	ingress   *callpath.Ingress
	listeners listeners
	servers   []*http.Server

	ready atomic.Bool
	// leaving is set once a stop has begun.
	leaving  atomic.Bool
	inputs   chan system.Input
	commands commandTable
	reading  atomic.Bool
	// readingQuarantine is set while a read of quarantined requests waits at the store.
	readingQuarantine atomic.Bool
	// readingRollouts is set while the store's records of roll-outs are read.
	readingRollouts atomic.Bool
	stop            context.Context
	end             context.CancelFunc
	running         sync.WaitGroup
	killed          sync.Once
}

// listeners are the daemon's open listeners.
type listeners struct {
	callers *drainListener
	admin   net.Listener
	peers   net.Listener
	owner   net.Listener
	local   net.Listener
}

// Addresses are where a daemon listens.
type Addresses struct {
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Peers   string `json:"peers"`
	Owner   string `json:"owner"`
	Local   string `json:"local"`
}

// New opens the daemon's listeners. Nothing is served before Start.
func New(s settings.Settings, opts Options) (*Agent, error) {
	ls, err := openListeners(s.Listen)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	a := &Agent{
		settings: s, log: opts.Log, logger: opts.Logger, source: opts.Source, teller: opts.Teller, metrics: metrics.NewRegistry(),
		clock: event.NewClock(time.Now), listeners: ls,
		inputs: make(chan system.Input, inputQueue),
	}
	a.stop, a.end = context.WithCancel(context.Background())
	a.events = event.NewRing(s.VM, a.clock, s.Events)
	a.commands.waiters = map[string][]chan struct{}{}
	seed := uint64(now.UnixNano())
	a.self = a.member(now)
	params := s.Params()
	params.Documents = opts.Source != nil
	a.suspects = suspect.NewTable(time.Now)
	a.quarantine = quarantineReader{topic: store.NewFollower(opts.Log, store.QuarantineTopic, 0), logger: opts.Logger}
	a.world = table.New(a.self, params, a.suspects, now, seed)
	a.transport = peer.New(a.input, a.clock, s.Listen.SourceAddr(), a.metrics)
	a.configMetrics = newConfigMetrics(a.metrics)
	m := callpath.NewMetrics(a.metrics)
	limiter := limits.New(limits.Config{
		Domain: s.FailureDomain, Tolerance: s.Bounds.Tolerance(), Metrics: a.metrics, Logger: opts.Logger,
		Dialer: &net.Dialer{Timeout: time.Duration(s.Calls.ConnectTimeout), LocalAddr: s.Listen.SourceAddr()},
	})
	a.owner = callpath.NewOwner(callpath.OwnerConfig{
		Incarnation: a.world.Self.Incarnation, QueueFactor: s.Calls.QueueFactor,
		ConnectTimeout: time.Duration(s.Calls.ConnectTimeout), IdleTimeout: time.Duration(s.Calls.UpstreamIdle),
		LinkMbps: s.Calls.LinkMbps, Suspects: a.suspects, Keeper: limiter, Events: a.events, Metrics: m, Dialect: opts.Dialect, Logger: opts.Logger, Now: time.Now,
	})
	a.ingress = callpath.NewIngress(callpath.IngressConfig{
		VM: s.VM, Domain: s.FailureDomain, Caller: s.Platform.Service, MaxBody: s.Calls.MaxBody,
		ConnectTimeout: time.Duration(s.Calls.ConnectTimeout), Source: s.Listen.SourceAddr(), InquireAfter: time.Duration(s.Calls.InquireAfter),
		Limits: limiter, Revoke: time.Duration(s.Bounds.Revoke), RetryRatio: s.Calls.RetryRatio, RetryBurst: s.Calls.RetryBurst, CrossDomainCost: s.Calls.CrossDomainCost,
		Suspects: a.suspects, Events: a.events, Metrics: m, Logger: opts.Logger, Dialect: opts.Dialect, Now: time.Now, Seed: seed,
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

func (a *Agent) member(now time.Time) wire.Member {
	return wire.Member{
		ID: a.settings.VM, Domain: a.settings.FailureDomain, Region: a.settings.Region,
		Peer:  cmp.Or(a.settings.Listen.AdvertisePeers, a.listeners.peers.Addr().String()),
		Owner: cmp.Or(a.settings.Listen.AdvertiseOwner, a.listeners.owner.Addr().String()),
		Admin: a.listeners.admin.Addr().String(), LinkMbps: a.settings.Calls.LinkMbps, Incarnation: uint64(now.UnixNano()),
	}
}

// Addresses returns where the daemon listens.
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

// Loads returns the load of each upstream on this VM, and what other owners
// reported lately of theirs.
func (a *Agent) Loads() map[string]outcome.Load {
	loads := a.ingress.Loads()
	maps.Copy(loads, a.owner.Loads())
	return loads
}

// Start serves everything; admin is the administration API's handler.
func (a *Agent) Start(admin http.Handler) {
	a.events.Add(event.Event{Kind: event.Started})
	a.goRun(a.loop)
	a.goRun(a.watchSuspects)
	a.goRun(func() { a.transport.Serve(a.listeners.peers) })
	a.serve(a.listeners.callers, a.ingress)
	a.serve(a.listeners.owner, a.owner)
	a.serve(a.listeners.admin, admin)
	a.serve(a.listeners.local, a.localHandler())
	a.logger.Info().Interface("listen", a.Addresses()).Msg("listening")
}

func (a *Agent) goRun(f func()) {
	a.running.Add(1)
	go func() {
		defer a.running.Done()
		f()
	}()
}

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// callerIdle is how long an idle connection is kept. It is longer than
	// the daemons' own clients keep theirs, so that they close first.
	callerIdle = 3 * time.Minute
)

func (a *Agent) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle,
		MaxHeaderBytes: a.settings.Calls.MaxHeader, ConnContext: callpath.WithConn,
	}
	a.servers = append(a.servers, srv)
	a.goRun(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			a.logger.Error().Str("step", "serve").Str("peer", ln.Addr().String()).Err(err).Msg("listener failed")
		}
	})
}

// Reload takes in settings that may change while the daemon runs: addresses
// to find others through. It reports whether others differ from those held,
// which need a restart.
func (a *Agent) Reload(s settings.Settings) (needsRestart bool) {
	a.input(system.SeedsFound{Addrs: s.Control.Peers})
	s.Control.Peers = a.settings.Control.Peers
	return !reflect.DeepEqual(s, a.settings)
}

// input hands an input to the next tick.
func (a *Agent) input(in system.Input) {
	select {
	case a.inputs <- in:
	case <-a.stop.Done():
	}
}

// install puts a new view in force, in the call path's order: the owner
// first, so that it never refuses what the ingress already sends.
func (a *Agent) install(v *view.View) {
	if err := v.Consistent(); err != nil {
		a.logger.Error().Str("step", "view").Err(err).Msg("inconsistent view not put in force")
		a.events.Add(event.Event{Kind: event.Alarm, Version: v.Version, Detail: err.Error()})
		return
	}
	a.view = v
	a.owner.Update(v)
	a.ingress.Update(v)
	a.ready.Store(v.Ready && !a.leaving.Load())
}

// Ready reports whether this daemon serves calls, those included that need a key, and does
// not leave.
func (a *Agent) Ready() bool { return a.ready.Load() && !a.ingress.Stale() }

// Listen adds a listener for something besides the agent's own interfaces.
// It is served from now on and closed with the others.
func (a *Agent) Listen(name, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen %s", name)
	}
	a.serve(ln, h)
	return nil
}
