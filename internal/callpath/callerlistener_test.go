package callpath

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/view"
)

// pipeListener accepts connections in memory, whose deadlines follow the clock of a synctest.
type pipeListener struct {
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection to the listener.
func (l *pipeListener) dial() net.Conn {
	c, server := net.Pipe()
	l.conns <- server
	return c
}

// TestTimeLimitsOfTheConfigurationAreInForce guards against connections of callers that are kept for
// longer than the configuration says, and against requests that are cut off although they keep to it.
func TestTimeLimitsOfTheConfigurationAreInForce(t *testing.T) {
	limits := config.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	// closedAfter returns after which time the server closes the connection.
	closedAfter := func(c net.Conn) time.Duration {
		began := time.Now()
		io.Copy(io.Discard, c)
		return time.Since(began)
	}
	request := func(is *is.I, c net.Conn) {
		_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(body), "answer")
	}
	for name, play := range map[string]func(is *is.I, dial func() net.Conn, set func(config.Limits)){
		"half a header": func(is *is.I, dial func() net.Conn, _ func(config.Limits)) {
			c := dial()
			time.Sleep(12 * time.Second) // four fifths of the idle timeout
			io.WriteString(c, "GET / HTTP/1.1\r\nHost:")
			is.Equal(closedAfter(c), limits.HeaderTimeout)
		},
		"half a header after a request": func(is *is.I, dial func() net.Conn, _ func(config.Limits)) {
			c := dial()
			request(is, c)
			time.Sleep(12 * time.Second)
			io.WriteString(c, "GET / HTTP/1.1\r\nHost:")
			is.Equal(closedAfter(c), limits.HeaderTimeout)
		},
		"no request": func(is *is.I, dial func() net.Conn, _ func(config.Limits)) {
			is.Equal(closedAfter(dial()), limits.IdleTimeout)
		},
		"idle": func(is *is.I, dial func() net.Conn, _ func(config.Limits)) {
			c := dial()
			for range 5 {
				request(is, c)
				time.Sleep(12 * time.Second)
			}
			request(is, c)
			is.Equal(closedAfter(c), limits.IdleTimeout)
		},
		"pipelined requests": func(is *is.I, dial func() net.Conn, _ func(config.Limits)) {
			c := dial()
			answers := bufio.NewReader(c)
			// The head of the second request arrives with the first, its body in three parts later.
			go func() {
				io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nPOST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
				for range 3 {
					time.Sleep(70 * time.Second)
					io.WriteString(c, "x")
				}
			}()
			for range 2 {
				res, err := http.ReadResponse(answers, nil)
				is.NoErr(err)
				body, err := io.ReadAll(res.Body)
				is.NoErr(err)
				is.Equal(string(body), "answer")
			}
		},
		"another configuration": func(is *is.I, dial func() net.Conn, set func(config.Limits)) {
			c := dial()
			set(config.Limits{HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second})
			request(is, c)
			is.Equal(closedAfter(c), 5*time.Second)
		},
		"none configured": func(is *is.I, dial func() net.Conn, set func(config.Limits)) {
			set(config.Limits{})
			c := dial()
			io.WriteString(c, "GET / HTTP/1.1\r\nHost:")
			is.Equal(closedAfter(c), 10*time.Second)
			c = dial()
			request(is, c)
			is.Equal(closedAfter(c), time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				in := &Ingress{}
				set := func(l config.Limits) { in.view.Store(&view.View{Limits: l}) }
				set(limits)
				ln := &pipeListener{conns: make(chan net.Conn)}
				srv := &http.Server{
					ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, ConnState: in.ConnState,
					Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if _, err := io.Copy(io.Discard, r.Body); err != nil {
							w.WriteHeader(http.StatusBadRequest)
							return
						}
						time.Sleep(time.Minute) // a request takes as long as it takes
						io.WriteString(w, "answer")
					}),
				}
				go srv.Serve(in.Listener(ln, 0))
				play(is, ln.dial, set)
				close(ln.conns)
				srv.Close()
			})
		})
	}
}
