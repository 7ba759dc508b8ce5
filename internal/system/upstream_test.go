package system

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// TestUpstreamLifecycle follows an upstream from its announcement through the ramp until it
// is deregistered, and then its next incarnation until its announcements stop.
func TestUpstreamLifecycle(t *testing.T) {
	is := is.New(t)
	n := newTestNetFor(t, 1, 1)
	n.publish("a", "put service s ramp 2s")
	n.converge(5 * time.Second)
	w := n.nodes[0].w
	announced := func(incarnation string) table.Local {
		return table.Local{Upstream: wire.Upstream{ID: "vm/up", Service: "s", Slots: 4}, Name: "vm/up", Incarnation: incarnation, Addr: "127.0.0.1:1", Conns: 4}
	}
	now := n.now
	tick := func(after time.Duration, in ...Input) (kinds []event.Kind) {
		now = now.Add(after)
		for _, e := range Tick(w, now, in).Events {
			if e.Service == "s" {
				kinds = append(kinds, e.Kind)
			}
		}
		return kinds
	}
	serving := func() int { return len(view.Build(w, nil).Services["s"].Upstreams) }

	is.Equal(tick(0, Announced{announced("one")}), []event.Kind{event.UpstreamUp})
	is.Equal(serving(), 1)
	is.Equal(len(tick(1500*time.Millisecond, Announced{announced("one")})), 0) // a renewal
	is.Equal(tick(time.Second, Announced{announced("one")}), []event.Kind{event.UpstreamRamped})
	is.Equal(len(tick(time.Second, Announced{announced("one")})), 0)
	is.Equal(tick(0, Deregistered{"vm/up"}), []event.Kind{event.UpstreamDraining})
	is.Equal(serving(), 0)
	is.Equal(len(tick(0, Announced{announced("one")})), 0) // a late renewal does not end the draining
	is.Equal(serving(), 0)
	is.Equal(tick(0, Announced{announced("two")}), []event.Kind{event.UpstreamUp}) // its next incarnation is served
	is.Equal(serving(), 1)
	is.Equal(tick(w.Params.UpstreamLapse+time.Millisecond), []event.Kind{event.UpstreamRemoved}) // its announcements stopped
	is.Equal(serving(), 0)
}
