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

// configMetrics tell which configuration this daemon holds, how old that is, and what became
// of the documents it has read. The loop writes them, whoever asks for metrics reads them.
type configMetrics struct {
	version atomic.Uint64
	// since is when the version was taken in, in Unix milliseconds; checked is a
	// freshness.Stamp.
	since   atomic.Int64
	checked atomic.Int64
	// read counts documents read, refused those that were not put in force.
	read    metrics.Counter
	refused metrics.Counter
}

// newConfigMetrics registers them. Ages are in milliseconds, -1 where there is none.
func newConfigMetrics(r metrics.Registry) *configMetrics {
	m := &configMetrics{
		read: metrics.GetOrRegisterCounter("documents.read", r), refused: metrics.GetOrRegisterCounter("documents.refused", r),
	}
	gauge := func(name string, value func() int64) {
		r.GetOrRegister("config."+name, metrics.NewFunctionalGauge(value))
	}
	gauge("version", func() int64 { return int64(m.version.Load()) })
	gauge("age_ms", m.age)
	gauge("checked_ms", m.checkedAge)
	return m
}

func (m *configMetrics) age() int64 {
	since := m.since.Load()
	if since == 0 {
		return -1
	}
	return time.Now().UnixMilli() - since
}

// checkedAge returns how long ago the version held was known to be the newest on the store.
func (m *configMetrics) checkedAge() int64 {
	stamp := freshness.Stamp(m.checked.Load())
	if stamp == 0 {
		return -1
	}
	return stamp.Age(boottime.Now()).Milliseconds()
}

// update takes over what a tick has led to.
func (m *configMetrics) update(w *table.World) {
	m.version.Store(w.Config.State.Version)
	m.checked.Store(int64(w.Fresh.Stamp))
	if !w.Config.Since.IsZero() {
		m.since.Store(w.Config.Since.UnixMilli())
	}
}

// count counts what an event tells of documents.
func (m *configMetrics) count(e event.Event) {
	switch e.Kind {
	case event.DocumentRead:
		m.read.Inc(1)
	case event.DocumentRefused:
		m.read.Inc(1)
		m.refused.Inc(1)
	}
}
