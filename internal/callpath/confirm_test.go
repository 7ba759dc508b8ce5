package callpath

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// faultyStep is what a faultyUpstream does with a request.
type faultyStep struct {
	// extra are bytes that belong to no request. They are sent where the response is expected, if the
	// connection has carried a response before.
	extra string
	// end is how the request ends: see the constants.
	end string
	// shedsHealth is set if a health check is refused.
	shedsHealth bool
	// bodyBytes is the size of the request's body.
	bodyBytes int
	delay     time.Duration
}

const (
	endAnswer       = "answer"
	endRefuse       = "refuse"
	endRefuseNamed  = "refuse with its ID"
	endRefuseClose  = "refuse and close"
	endMisdirected  = "misdirected"
	endBreak        = "run and break"
	endServerError  = "run and fail"
	testHealthPath  = "/health"
	testNotRun      = "Not-Run"
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	closingRefusal  = "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// faultyUpstream serves connections by a script, one step a request. It records which requests it has run.
type faultyUpstream struct {
	mu    sync.Mutex
	steps []faultyStep
	ran   map[string]int
	// current is the step of the request before.
	current faultyStep
}

func (u *faultyUpstream) next(id string) faultyStep {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.current = u.steps[0]
	u.steps = u.steps[1:]
	switch u.current.end {
	case endAnswer, endBreak, endServerError:
		u.ran[id]++
	}
	return u.current
}

func (u *faultyUpstream) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

func (u *faultyUpstream) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get(HeaderRequest)
		if req.URL.Path == testHealthPath {
			u.mu.Lock()
			sheds := u.current.shedsHealth
			u.mu.Unlock()
			if sheds {
				io.WriteString(c, refusalResponse)
			} else {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderRequest, id)
			}
			continue
		}
		io.Copy(io.Discard, req.Body)
		step := u.next(id)
		if n > 0 {
			io.WriteString(c, step.extra)
		}
		time.Sleep(step.delay)
		switch step.end {
		case endAnswer:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequest, id, len(id), id)
		case endServerError:
			fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequest, id)
		case endRefuse:
			io.WriteString(c, refusalResponse)
		case endRefuseNamed:
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", HeaderRequest, id, testNotRun)
		case endRefuseClose:
			io.WriteString(c, closingRefusal)
			return
		case endMisdirected:
			io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		case endBreak:
			return
		}
	}
}

// TestNobodyIsToldWhatTheUpstreamContradicts guards against callers of unsafe requests who are told that a
// request has not run, while it runs, and against responses that belong to another request: the
// upstream sends additional bytes in any form, on connections that are kept, and refuses, runs, fails
// and breaks off in between.
func TestNobodyIsToldWhatTheUpstreamContradicts(t *testing.T) {
	w := newRig(t, 1, 4, time.Millisecond).workers[0]
	w.owner.cfg.Dialect.EchoesRequestID, w.owner.cfg.Dialect.NotRun, w.owner.cfg.Dialect.ExpectedInstance = true, testNotRun, "Expected-Instance"
	attempts := 0
	rapid.Check(t, func(t *rapid.T) {
		foreign := fmt.Sprintf("%s: foreign-%d\r\n", HeaderRequest, attempts)
		step := rapid.Custom(func(t *rapid.T) faultyStep {
			return faultyStep{
				extra: rapid.SampledFrom([]string{
					"", "", refusalResponse, refusalResponse, closingRefusal, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz", "HTTP/1.1 200 OK\r\n" + foreign + "Content-Length: 3\r\n\r\nxyz",
					"HTTP/1.1 503 Service Unavailable\r\n" + foreign + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n",
					"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
					"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", "\x00garbled\r\n\r\n",
				}).Draw(t, "extra"),
				end: rapid.SampledFrom([]string{
					endAnswer, endAnswer, endAnswer, endRefuse, endRefuse, endRefuseNamed, endRefuseClose, endMisdirected, endBreak, endServerError,
				}).Draw(t, "end"),
				shedsHealth: rapid.Bool().Draw(t, "sheds health checks"),
				bodyBytes:   rapid.SampledFrom([]int{0, 0, 1_200, 60_000}).Draw(t, "body"),
				delay:       time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Microsecond,
			}
		})
		u := &faultyUpstream{steps: rapid.SliceOfN(step, 1, 20).Draw(t, "steps"), ran: map[string]int{}}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go u.serve(c)
			}
		}()
		w.owner.Update(&view.View{
			Services: map[string]*view.Service{"s": {Service: config.Service{Name: "s", HealthPath: testHealthPath}}},
			Locals:   []table.Local{{Upstream: wire.Upstream{ID: "raw", Service: "s", Slots: 4}, Process: "raw", Addr: ln.Addr().String(), Conns: 1}},
		})
		for len(u.steps) > 0 {
			end, left := u.steps[0], len(u.steps)
			attempts++
			id := fmt.Sprint("r", attempts)
			got := w.owner.execute(context.Background(), &Attempt{
				ID: id, Request: id, Upstream: "raw", Urgency: config.Normal, Deadline: time.Now().Add(5 * time.Second),
				Method: http.MethodPost, URL: &url.URL{Path: "/normal"}, Header: http.Header{}, Body: NewBody(make([]byte, end.bodyBytes)),
			})
			var body []byte
			if got.Outcome == outcome.Answered {
				body, _ = io.ReadAll(got.Body)
				got.Body.Close()
			}
			runs := u.runs(id)
			switch {
			case got.Outcome == outcome.NotRun && runs > 0:
				t.Fatalf("%v: told that it has not run, and it has", end)
			case got.Outcome == outcome.Answered && (runs == 0 || got.Header.Get(HeaderRequest) != id):
				t.Fatalf("%v: got a response that is not its own", end)
			case got.Outcome == outcome.Answered && got.Status == http.StatusOK && string(body) != id:
				t.Fatalf("%v: got the body %q", end, body)
			case got.Outcome == outcome.Unknown && end.extra == "" && end.end != endBreak && end.end != endRefuseClose:
				// A refusal that closes its connection cannot be told from additional bytes before a break.
				t.Fatalf("%v: outcome unknown, though the upstream said it: %v", end, got.Err)
			}
			if len(u.steps) == left {
				break // the address was refused: the connection before is still being closed
			}
		}
	})
}
