package callpath

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/compress"
	"github.com/comfreygate/comfreygate/internal/crossdomain"
)

// Metrics holds the metrics of the call path.
type Metrics struct {
	// Calls, Answered, NotRun and Unknown count calls at the ingress: those received, and
	// those by outcome.
	Calls    metrics.Counter
	Answered metrics.Counter
	NotRun   metrics.Counter
	Unknown  metrics.Counter
	// Retries counts further attempts, RetryDenied those that a retry budget did not
	// allow, and RetriesFoundRoom the attempts accepted after another owner had refused
	// the call as full.
	Retries          metrics.Counter
	RetryDenied      metrics.Counter
	RetriesFoundRoom metrics.Counter
	// OtherDomain counts the attempts sent to other failure domains. OtherDomainRefused counts
	// the attempts among them that the owners refused for lack of capacity.
	OtherDomain        metrics.Counter
	OtherDomainRefused metrics.Counter
	// Voided counts attempts that were voided after their connection broke.
	Voided metrics.Counter
	// ClosedForRoom counts callers' connections that were closed because too many were open.
	ClosedForRoom metrics.Counter
	// Silent counts connections that were given up because they delivered nothing.
	Silent metrics.Counter
	// Sent counts the requests sent to upstreams.
	Sent metrics.Counter
	// RateLimit is the sum of the rate limits that the upstreams of this VM state, in requests
	// per second; zero if none states one.
	RateLimit metrics.GaugeFloat64
	// Started counts the attempts that an upstream responded to, Refused those that the
	// owner refused.
	Started metrics.Counter
	Refused metrics.Counter
	// StarvedRuns counts the runs whose nested call was refused or found no upstream,
	// RefusedRuns the attempts refused because runs of their route starve.
	StarvedRuns metrics.Counter
	RefusedRuns metrics.Counter
	// AdmittedRuns is the lowest admitted fraction of new runs over the routes of the
	// upstreams of this VM.
	AdmittedRuns metrics.GaugeFloat64
	// admittedPart returns the value of AdmittedRuns at present.
	admittedPart atomic.Pointer[func() float64]
	// CrashedAttempts counts attempts whose upstream crashed while running them,
	// UpstreamCrashes the crashes of upstreams.
	CrashedAttempts metrics.Counter
	UpstreamCrashes metrics.Counter
	// CheckedRefusals counts refusals without a request ID that were to be confirmed by a health
	// check.
	CheckedRefusals metrics.Counter
	// Quarantined counts calls refused because upstreams have crashed while running the
	// request.
	Quarantined metrics.Counter
	// OverLimit counts calls refused by their workspace's rate limit, UnknownKey those
	// without a valid workspace key, and Stale those whose key could not be checked
	// because the configuration was too old.
	OverLimit  metrics.Counter
	UnknownKey metrics.Counter
	Stale      metrics.Counter
	// EgressSent counts the bytes of responses that were sent over a link with a limit,
	// EgressRefused the attempts refused for the link.
	EgressSent    metrics.Counter
	EgressRefused metrics.Counter
	// egressWait returns the wait for the link at present.
	egressWait atomic.Pointer[func() time.Duration]
	// Latency is the time from the arrival of a call until it is answered, in
	// nanoseconds.
	Latency metrics.Timer
	// CrossDomain counts the bytes to and from other failure domains.
	CrossDomain *crossdomain.Counters
	// Compress counts the bytes of compressed calls before compression.
	Compress *compress.Metrics
}

// NewMetrics registers the metrics of the call path.
func NewMetrics(r metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("calls."+name, r)
	}
	m := &Metrics{
		Calls:              counter("received"),
		Answered:           counter("answered"),
		NotRun:             counter("not_run"),
		Unknown:            counter("unknown"),
		Retries:            counter("retries"),
		RetryDenied:        counter("retries_denied"),
		RetriesFoundRoom:   counter("retries_found_room"),
		Voided:             counter("voided"),
		OtherDomain:        counter("attempts_other_domain"),
		OtherDomainRefused: counter("attempts_other_domain_refused"),
		Silent:             counter("silent"),
		ClosedForRoom:      counter("connections_closed_for_room"),
		Started:            counter("attempts_started"),
		Sent:               counter("attempts_sent"),
		Refused:            counter("attempts_refused"),
		CrashedAttempts:    counter("upstream_ended"),
		CheckedRefusals:    counter("refusals_checked"),
		Quarantined:        counter("quarantined"),
		OverLimit:          counter("over_limit"),
		UnknownKey:         counter("unknown_key"),
		Stale:              counter("configuration_stale"),
		RateLimit:          metrics.GetOrRegisterGaugeFloat64("upstreams.rate_limit", r),
		UpstreamCrashes:    metrics.GetOrRegisterCounter("upstreams.ended", r),
		StarvedRuns:        metrics.GetOrRegisterCounter("runs.starved", r),
		RefusedRuns:        metrics.GetOrRegisterCounter("runs.refused", r),
		EgressSent:         metrics.GetOrRegisterCounter("egress.sent_bytes", r),
		EgressRefused:      metrics.GetOrRegisterCounter("egress.refused", r),
		Latency:            metrics.GetOrRegisterTimer("calls.latency", r),
		CrossDomain:        crossdomain.NewCounters(r),
		Compress:           compress.NewMetrics(r),
	}
	metrics.NewRegisteredFunctionalGauge("egress.waiting_us", r, m.egressWaitMicros)
	m.AdmittedRuns = metrics.NewRegisteredFunctionalGaugeFloat64("runs.admitted_part", r, m.admittedRuns)
	return m
}

// setEgressWait sets the function that returns the wait for the link at present.
func (m *Metrics) setEgressWait(wait func() time.Duration) { m.egressWait.Store(&wait) }

func (m *Metrics) egressWaitMicros() int64 {
	wait := m.egressWait.Load()
	if wait == nil {
		return 0
	}
	return (*wait)().Microseconds()
}

// setAdmittedPart sets the function that returns the lowest admitted part of new runs at present.
func (m *Metrics) setAdmittedPart(part func() float64) { m.admittedPart.Store(&part) }

func (m *Metrics) admittedRuns() float64 {
	part := m.admittedPart.Load()
	if part == nil {
		return 1
	}
	return (*part)()
}

func (m *Metrics) answered(took time.Duration) {
	m.Answered.Inc(1)
	m.Latency.Update(took)
}
