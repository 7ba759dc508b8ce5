package callpath

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// serveWithExtra accepts connections. It answers each request with its ID, after extra bytes.
func serveWithExtra(t *testing.T, ln net.Listener, extra string) {
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			fmt.Fprint(c, extra)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequest, req.Header.Get(HeaderRequest))
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
}

// TestBytesWithoutTheRequestIDAreNoAnswer guards against callers who are told that a request has not
// run, while it runs: a faulty upstream sent additional bytes in the form of a response, in front of
// the response to the request.
func TestBytesWithoutTheRequestIDAreNoAnswer(t *testing.T) {
	const notRunHeader = "Not-Run"
	for status, want := range map[string]outcome.Kind{
		"200 OK": outcome.Answered, "302 Found": outcome.Answered, "404 Not Found": outcome.Answered, "408 Request Timeout": outcome.Answered,
		"429 Too Many Requests": outcome.Answered, "500 Internal Server Error": outcome.Answered, "503 Service Unavailable": outcome.Answered,
		// Upstreams refuse in this form.
		"503 Service Unavailable\r\n" + notRunHeader + ": 1": outcome.NotRun,
	} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			w := newRig(t, 1, 4, time.Millisecond).workers[0]
			w.owner.cfg.Dialect.EchoesRequestID, w.owner.cfg.Dialect.NotRun = true, notRunHeader
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			serveWithExtra(t, ln, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			w.owner.Update(&view.View{Locals: []table.Local{{
				Upstream: wire.Upstream{ID: "raw", Service: "s", Slots: 4}, Addr: ln.Addr().String(), Conns: 4,
			}}})
			got := w.owner.execute(context.Background(), &Attempt{
				ID: "a", Request: "r", Upstream: "raw", Urgency: config.Normal, Deadline: time.Now().Add(5 * time.Second),
				Method: http.MethodPost, URL: &url.URL{Path: "/normal"}, Header: http.Header{},
			})
			is.Equal(got.Outcome, want)
			if got.Outcome == outcome.Answered {
				is.Equal(got.Status, http.StatusOK)
			}
		})
	}
}
