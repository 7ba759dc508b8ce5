package callpath

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// rawUpstream is an upstream whose connections a function of the test serves.
type rawUpstream struct {
	ln    *net.TCPListener
	owner *Owner
}

// newRawUpstream starts an upstream whose connections are served by serve, and an owner for it.
func newRawUpstream(t *testing.T, serve func(*net.TCPConn)) *rawUpstream {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.AcceptTCP()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	u := &rawUpstream{ln: ln, owner: newRig(t, 1, 4, time.Millisecond).workers[0].owner}
	u.owner.Update(&view.View{Locals: []table.Local{{Upstream: wire.Upstream{ID: "raw", Service: "s", Slots: 4}, Addr: ln.Addr().String(), Conns: 4}}})
	return u
}

// run runs a request with a body at the upstream.
func (u *rawUpstream) run(id string, body []byte) outcome.Result {
	return u.owner.execute(context.Background(), &Attempt{
		ID: id, Request: "r", Upstream: "raw", Urgency: config.Normal, Deadline: time.Now().Add(10 * time.Second),
		Method: http.MethodPost, URL: &url.URL{Path: "/normal"}, Header: http.Header{}, Body: NewBody(body),
	})
}

// readAnswer reads a response to its end. The error says that it is not complete.
func readAnswer(res outcome.Result) ([]byte, error) {
	if res.Outcome != outcome.Answered {
		return nil, fmt.Errorf("%s: %s", res.Outcome, res.Reason)
	}
	defer res.Body.Close()
	return io.ReadAll(res.Body)
}

// unframedHead is the head of a response that has no length and ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// TestResetUnderAnUploadIsNoEndOfAnAnswer guards against a part of an answer that is passed on as the
// whole. An upstream answers a long upload at once, without a length, and resets the connection while the
// body is still being sent: the kernel may report the reset to the writer alone, and a plain end to the
// reader.
func TestResetUnderAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	const rounds = 100
	body := make([]byte, 4<<20)
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			u := newRawUpstream(t, func(c *net.TCPConn) {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				io.WriteString(c, unframedHead+strings.Repeat("x", 5000))
				time.Sleep(pause)
				c.SetLinger(0)
			})
			complete := 0
			for i := range rounds {
				if _, err := readAnswer(u.run(fmt.Sprint(i), body)); err == nil {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d answers that were reset were taken for complete", complete, rounds)
			}
		})
	}
}

// TestAnswerWithoutLengthAfterAnUpload guards against answers without a length that are lost although the
// upstream has read the whole body and has ended them in order.
func TestAnswerWithoutLengthAfterAnUpload(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(c *net.TCPConn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.WriteString(c, unframedHead+"begun ")
		io.Copy(io.Discard, req.Body)
		io.WriteString(c, "ended")
	})
	for i := range 20 {
		answer, err := readAnswer(u.run(fmt.Sprint(i), make([]byte, 1<<20)))
		is.NoErr(err)
		is.Equal(string(answer), "begun ended")
	}
}

// TestUploadThatIsNotReadEndsNoAnswer guards against a wait without end: an upstream ends its side of the
// connection in order, but does not read the rest of the upload.
func TestUploadThatIsNotReadEndsNoAnswer(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		io.WriteString(c, unframedHead+"part")
		c.CloseWrite()
	})
	_, err := readAnswer(u.run("a", make([]byte, 64<<20)))
	is.True(err != nil)
}

// TestCrashIsNoEndOfAnAnswer guards against a part of an answer without a length that is passed on as the
// whole because the upstream's process has crashed: its system closes the connection in order.
func TestCrashIsNoEndOfAnAnswer(t *testing.T) {
	is := is.New(t)
	var crash atomic.Bool
	var u *rawUpstream
	u = newRawUpstream(t, func(c *net.TCPConn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		io.WriteString(c, unframedHead+"part")
		if crash.Load() {
			u.ln.Close()
		}
	})
	answer, err := readAnswer(u.run("sound", []byte("x")))
	is.NoErr(err)
	is.Equal(string(answer), "part")
	crash.Store(true)
	_, err = readAnswer(u.run("crash", []byte("x")))
	is.True(err != nil)
}
