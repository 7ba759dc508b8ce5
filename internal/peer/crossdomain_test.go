package peer

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// testDaemon is a transport that answers each connection with a hello, as the control systems do.
type testDaemon struct {
	*Transport
	registry metrics.Registry
	addr     string
	received chan wire.Message
}

func newTestDaemon(t *testing.T, id, domain string) *testDaemon {
	d := &testDaemon{registry: metrics.NewRegistry(), received: make(chan wire.Message, 8)}
	hello := wire.Hello{ID: id, Domain: domain, Incarnation: 1}
	d.Transport = New(domain, func(in system.Input) {
		switch in := in.(type) {
		case system.Opened:
			if in.Dialed {
				d.Send(system.Send{Link: in.Link, Message: hello})
			}
		case system.Received:
			if _, ok := in.Message.(wire.Hello); ok && id == "accepts" {
				d.Send(system.Send{Link: in.Link, Message: hello})
				d.Send(system.Send{Link: in.Link, Message: wire.Ping{Seq: 1}})
			}
			d.received <- in.Message
		}
	}, event.NewClock(time.Now), nil, d.registry)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.addr = ln.Addr().String()
	go d.Serve(ln)
	t.Cleanup(d.Shutdown)
	return d
}

func (d *testDaemon) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, d.registry).Count()
}

// TestControlBytesToOtherDomainsCountWhereTheyWereDialed: the failure domain of the other end is
// known only from its hello; what was sent and received before must count as well. The daemon that
// accepted the connection counts nothing, so that bytes are not counted twice.
func TestControlBytesToOtherDomainsCountWhereTheyWereDialed(t *testing.T) {
	for _, domain := range []string{"d", "e"} {
		is := is.New(t)
		accepts, dials := newTestDaemon(t, "accepts", "d"), newTestDaemon(t, "dials", domain)
		dials.Dial(system.Dial{Addr: accepts.addr})
		for range 2 { // the hello and the ping
			select {
			case <-dials.received:
			case <-time.After(5 * time.Second):
				t.Fatal("no message from the daemon that was dialed")
			}
		}
		want := func() int64 {
			if domain == "d" {
				return 0
			}
			return dials.count("control.bytes_in") + dials.count("control.bytes_out")
		}
		// A write is counted after it returns, which may be after the answer has arrived.
		counted := func() bool {
			return dials.count("control.bytes_out") > 0 && dials.count("cross_domain.bytes.control") == want()
		}
		for deadline := time.Now().Add(5 * time.Second); !counted() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		is.Equal(dials.count("cross_domain.bytes.control"), want())
		is.True(dials.count("control.bytes_out") > 0)
		is.Equal(accepts.count("cross_domain.bytes.control"), int64(0))
	}
}
