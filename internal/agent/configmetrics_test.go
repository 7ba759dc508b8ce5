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

// TestConfigMetrics checks the metrics by which operators notice that the configuration no
// longer changes: its version and age, and the counts of documents read and refused.
func TestConfigMetrics(t *testing.T) {
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
	m.countEvent(event.Event{Kind: event.DocumentRead})
	m.countEvent(event.Event{Kind: event.DocumentRefused})
	is.Equal(gauge("config.version"), int64(11))
	is.True(gauge("config.age_ms") >= 60_000)
	is.Equal(m.documentsRead.Count(), int64(2))
	is.Equal(m.documentsRefused.Count(), int64(1))
}
