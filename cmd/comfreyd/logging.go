package main

import (
	"io"
	"os"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logBufferLines bounds the lines that wait to be written. At 350 bytes a line they take
// at most 1.4 MB.
const logBufferLines = 4096

// boundedLog writes lines in the background. It drops the oldest lines when the reader of
// standard output does not keep up, so that a call never waits for the log.
type boundedLog struct {
	io.WriteCloser
	dropped atomic.Int64
}

func newBoundedLog() *boundedLog {
	b := &boundedLog{}
	b.WriteCloser = diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) { b.dropped.Add(int64(missed)) })
	return b
}

// registerMetrics registers the number of dropped lines as a metric.
func (b *boundedLog) registerMetrics(r metrics.Registry) {
	r.GetOrRegister("log.dropped", metrics.NewFunctionalGauge(b.dropped.Load))
}

func newLogger(w io.Writer, level, vm string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("vm", vm).Logger()
}
