package agent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/settings"
)

var fleetSizes = []int{32, 64, 128, 256}

// BenchmarkConvergence measures the time from the submission of a change until it is in force,
// for each daemon.
func BenchmarkConvergence(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			f := startFleet(b, n, nil)
			f.converged(f.publish(0))
			reads := f.log.Counts().Reads
			var all []time.Duration
			b.ResetTimer()
			for i := range b.N {
				began := time.Now()
				for _, at := range f.converged(f.publish(i + 1)) {
					all = append(all, at.Sub(began))
				}
			}
			b.StopTimer()
			b.ReportMetric(quantile(all, 0.5), "p50-ms")
			b.ReportMetric(quantile(all, 0.99), "p99-ms")
			b.ReportMetric(quantile(all, 1), "max-ms")
			b.ReportMetric(float64(f.log.Counts().Reads-reads)/float64(b.N), "log-reads/change")
		})
	}
}

// BenchmarkStart measures what a simultaneous start costs each daemon until all of them, which
// find each other through the log, know each other.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{100, 300} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for range b.N {
				cpu := cpuTime()
				f := startFleet(b, n, func(s *settings.Settings) {
					s.Control.Peers = nil
					s.Control.Window = settings.Duration(50 * time.Millisecond)
					s.Control.Heartbeat = settings.Duration(500 * time.Millisecond)
				})
				sent, top := f.counters("control.bytes_out")
				b.ReportMetric((cpuTime()-cpu).Seconds()*1000/float64(n), "cpu-ms/daemon")
				b.ReportMetric(float64(sent)/float64(n)/1024, "KB/daemon")
				b.ReportMetric(float64(top)/1024, "KB/busiest")
				b.ReportMetric(float64(heapBytes())/float64(n)/1024, "heap-KB/daemon")
				f.close()
			}
		})
	}
}

// messageKinds are the kinds of control messages for which bytes are reported separately.
var messageKinds = []string{"ping", "members", "members-pull", "pull", "records", "snapshot", "hello"}

// controlDuration is how long control traffic is measured.
const controlDuration = 20 * time.Second

// BenchmarkControl measures the cost of the control plane per daemon, while idle and while the
// configuration changes: bytes at the socket, bytes by kind of message, CPU time and memory.
func BenchmarkControl(b *testing.B) {
	for _, n := range fleetSizes {
		for _, perSecond := range []int{0, 2} {
			b.Run(fmt.Sprintf("daemons=%d/changes=%d", n, perSecond), func(b *testing.B) {
				before := heapBytes()
				f := startFleet(b, n, func(s *settings.Settings) {
					// Each daemon renews its record twice within the measurement.
					s.Control.Renew = settings.Duration(controlDuration / 2)
					s.Control.Lapse = settings.Duration(3 * controlDuration)
				})
				f.converged(f.publish(0))
				time.Sleep(2 * time.Second)
				measureControl(b, f, perSecond)
				b.ReportMetric(float64(heapBytes()-before)/float64(n)/1024, "heap-KB/daemon")
			})
		}
	}
}

func measureControl(b *testing.B, f *fleet, perSecond int) {
	n := float64(len(f.agents))
	sums := map[string]int64{}
	highest := map[string]int64{}
	names := []string{"control.bytes_out", "control.bytes_in"}
	for _, c := range messageKinds {
		names = append(names, "control.sent_bytes."+c)
	}
	for _, name := range names {
		sums[name], highest[name] = f.counters(name)
	}
	cpu := cpuTime()
	for i := range int(controlDuration.Seconds()) * max(1, perSecond) {
		if perSecond > 0 {
			f.publish(i + 1)
		}
		time.Sleep(time.Second / time.Duration(max(1, perSecond)))
	}
	seconds := controlDuration.Seconds()
	b.ReportMetric(100*float64(cpuTime()-cpu)/float64(controlDuration)/n, "%core/daemon")
	for _, name := range names {
		sum, top := f.counters(name)
		b.ReportMetric(float64(sum-sums[name])/n/seconds, name+"-B/s/daemon")
		if name == "control.bytes_out" {
			b.ReportMetric(float64(top-highest[name])/seconds, "out-B/s/busiest")
		}
	}
}

// BenchmarkWindow measures the trade-off of control.window between convergence time and
// control traffic, with a burst of three changes each second.
func BenchmarkWindow(b *testing.B) {
	for _, window := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		b.Run(window.String(), func(b *testing.B) {
			f := startFleet(b, 64, func(s *settings.Settings) { s.Control.Window = settings.Duration(window) })
			f.converged(f.publish(0))
			time.Sleep(2 * window)
			before, _ := f.counters("control.bytes_out")
			started := time.Now()
			var all []time.Duration
			for i := range 20 {
				began := time.Now()
				f.publish(3 * i)
				f.publish(3*i + 1)
				for _, at := range f.converged(f.publish(3*i + 2)) {
					all = append(all, at.Sub(began))
				}
				time.Sleep(time.Until(began.Add(time.Second)))
			}
			after, _ := f.counters("control.bytes_out")
			b.ReportMetric(quantile(all, 0.5), "p50-ms")
			b.ReportMetric(quantile(all, 0.99), "p99-ms")
			b.ReportMetric(float64(after-before)/time.Since(started).Seconds()/64, "B/s/daemon")
		})
	}
}
