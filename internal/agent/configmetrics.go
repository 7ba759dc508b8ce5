package agent

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/table"
)

// configMetrics are the metrics of this daemon's configuration: its version, its age, and the
// numbers of documents read and refused, and of late announcements. Only the loop writes them;
// readers of the metrics registry read them concurrently.
type configMetrics struct {
	version atomic.Uint64
	// installedAtMs is when the current version was installed, in Unix milliseconds.
	// lastConfirmed is the freshness.Timestamp at which the current version was last known to
	// be the newest.
	installedAtMs atomic.Int64
	lastConfirmed atomic.Int64
	// storeEpoch is the epoch of the store.
	storeEpoch atomic.Uint64
	// documentsRead counts the documents read, including those counted in documentsRefused,
	// which were not put in force.
	documentsRead    metrics.Counter
	documentsRefused metrics.Counter
	// announcementsIgnored counts the announcements of upstreams that were late.
	announcementsIgnored metrics.Counter
}

// newConfigMetrics registers the metrics in r. Ages are in milliseconds, or -1 if unknown.
func newConfigMetrics(r metrics.Registry) *configMetrics {
	m := &configMetrics{
		documentsRead: metrics.GetOrRegisterCounter("documents.read", r), documentsRefused: metrics.GetOrRegisterCounter("documents.refused", r),
		announcementsIgnored: metrics.GetOrRegisterCounter("announcements.ignored", r),
	}
	gauge := func(name string, value func() int64) {
		r.GetOrRegister("config."+name, metrics.NewFunctionalGauge(value))
	}
	gauge("version", func() int64 { return int64(m.version.Load()) })
	gauge("age_ms", m.ageMs)
	gauge("checked_ms", m.confirmedAgeMs)
	r.GetOrRegister("store.epoch", metrics.NewFunctionalGauge(func() int64 { return int64(m.storeEpoch.Load()) }))
	return m
}

func (m *configMetrics) ageMs() int64 {
	installed := m.installedAtMs.Load()
	if installed == 0 {
		return -1
	}
	return time.Now().UnixMilli() - installed
}

// confirmedAgeMs returns how long ago the current version was last known to be the newest on
// the store.
func (m *configMetrics) confirmedAgeMs() int64 {
	confirmed := freshness.Timestamp(m.lastConfirmed.Load())
	if confirmed == 0 {
		return -1
	}
	return confirmed.Age(boottime.Now()).Milliseconds()
}

// update copies the version, its freshness and its installation time after a tick.
func (m *configMetrics) update(w *table.World) {
	m.version.Store(w.Config.State.Version)
	m.lastConfirmed.Store(int64(w.Fresh.Timestamp))
	m.storeEpoch.Store(w.Log.Epoch)
	if !w.Config.Since.IsZero() {
		m.installedAtMs.Store(w.Config.Since.UnixMilli())
	}
}

// countEvent counts the events about documents and late announcements. A document that was
// refused was also read.
func (m *configMetrics) countEvent(e event.Event) {
	switch e.Kind {
	case event.DocumentRead:
		m.documentsRead.Inc(1)
	case event.DocumentRefused:
		m.documentsRead.Inc(1)
		m.documentsRefused.Inc(1)
	case event.AnnouncedLate:
		m.announcementsIgnored.Inc(1)
	}
}
