package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
)

// TestConfigurationIsMeasured covers what operators see of a version that stands still.
func TestConfigurationIsMeasured(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	m := newConfigMetrics(r)
	gauge := func(name string) int64 { return r.Get(name).(metrics.Gauge).Value() }
	is.Equal(gauge("config.age_ms"), int64(-1))
	is.Equal(gauge("config.checked_ms"), int64(-1))

	w := &table.World{}
	w.Config.State = &config.State{Version: 11}
	w.Config.Since = time.Now().Add(-time.Minute)
	m.update(w)
	m.count(event.Event{Kind: event.DocumentRead})
	m.count(event.Event{Kind: event.DocumentRefused})
	is.Equal(gauge("config.version"), int64(11))
	is.True(gauge("config.age_ms") >= 60_000)
	is.Equal(m.read.Count(), int64(2))
	is.Equal(m.refused.Count(), int64(1))
}
