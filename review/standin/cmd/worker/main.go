// Command worker is a small stand-in of an application worker. It serves requests, sends its
// heartbeats, and writes a line to standard output for each run and each acknowledged
// heartbeat. It reads commands from standard input, one a line:
//
//	delete  it sends DELETE and no heartbeats any more, and goes on serving
//	drain   its heartbeats say that it is draining from now on, beginning with one at once
//	exit    it ends
//
// A request whose path ends with /poison crashes it, 0.3 s after it began, also if the connection
// of the request has closed meanwhile.
//
// With -extra P it is faulty: after a part P of its answers it sends additional bytes late, where
// the answer to the next request on the connection is expected. With -shed these look like the
// answer of a worker that sheds.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type worker struct {
	id, service, addr, zone, control string
	slots                            int
	work                             time.Duration
	extra                            float64
	queue                            chan struct{}
	state                            atomic.Value
	waiting                          atomic.Int64

	mu       sync.Mutex
	sequence int
	// beating is cleared once the worker sends no heartbeats any more.
	beating bool
}

func main() {
	w := &worker{beating: true}
	flag.StringVar(&w.id, "id", "", "id of the worker")
	flag.StringVar(&w.service, "service", "", "its service")
	flag.StringVar(&w.addr, "addr", "", "address at which it serves")
	flag.StringVar(&w.zone, "zone", "", "its zone")
	flag.StringVar(&w.control, "control", "", "address that gets its heartbeats")
	flag.IntVar(&w.slots, "slots", 12, "requests that it runs at once")
	flag.DurationVar(&w.work, "work", 100*time.Millisecond, "how long a request runs")
	beat := flag.Duration("beat", 870*time.Millisecond, "interval of its heartbeats")
	shed := flag.Bool("shed", false, "additional bytes look like the answer of a worker that sheds")
	flag.Float64Var(&w.extra, "extra", 0, "part of the answers after which it sends additional bytes")
	flag.Parse()
	if *shed {
		additional = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	w.queue = make(chan struct{}, w.slots)
	w.state.Store("ready")
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	server := &http.Server{Handler: w, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go server.Serve(faultyListener{ln})
	go func() {
		for {
			go w.heartbeat()
			time.Sleep(*beat)
		}
	}()
	w.commands()
}

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// faultyListener returns connections that can send additional bytes.
type faultyListener struct{ net.Listener }

// Accept implements net.Listener.
func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c}, nil
}

// faultyConn sends additional bytes as soon as a request arrives after the answer for which it
// was armed.
type faultyConn struct {
	net.Conn
	armed atomic.Bool
}

// crashAfter is how long after it began a poison request crashes the worker.
const crashAfter = 300 * time.Millisecond

// additional are bytes that belong to no request.
var additional = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.armed.CompareAndSwap(true, false) {
		c.Conn.Write([]byte(additional))
		say("sends %d additional bytes after its last complete answer on the connection", len(additional))
	}
	return n, err
}

func say(format string, args ...any) {
	fmt.Printf("%d "+format+"\n", append([]any{time.Now().UnixMilli()}, args...)...)
}

func (w *worker) commands() {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		switch strings.TrimSpace(in.Text()) {
		case "delete":
			w.mu.Lock()
			w.beating = false
			w.mu.Unlock()
			w.leave()
		case "drain":
			w.state.Store("draining")
			w.heartbeat()
		case "exit":
			os.Exit(0)
		}
	}
}

// call sends a call to the control address and reports whether it was acknowledged in time.
func (w *worker) call(method string, body []byte) bool {
	// Each call has a connection of its own: one that is held up holds up no other.
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+w.control+"/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode/100 == 2
}

func (w *worker) heartbeat() {
	w.mu.Lock()
	w.sequence++
	sequence, beating := w.sequence, w.beating
	w.mu.Unlock()
	if !beating {
		return
	}
	state := w.state.Load().(string)
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": state, "cold_left_ms": 0, "sequence": sequence,
	})
	ok := w.call(http.MethodPut, body)
	say("beat %s %d acknowledged=%v", state, sequence, ok)
}

// leave sends DELETE until it is acknowledged.
func (w *worker) leave() {
	for !w.call(http.MethodDelete, nil) {
		time.Sleep(200 * time.Millisecond)
	}
	say("delete acknowledged")
}

// ServeHTTP runs a request, or rejects it: if another instance is expected, or if the queue is
// full.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", w.id)
		if w.state.Load() != "ready" {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	request := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		say("misdirected %s expected=%s", request, expected)
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // incomplete: it isn't run
	}
	waiting := w.waiting.Add(1)
	defer w.waiting.Add(-1)
	if waiting > int64(5*w.slots) {
		say("full %s", request)
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.queue <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.queue }()
	say("run %s", request)
	if strings.HasSuffix(r.URL.Path, "/poison") {
		time.Sleep(crashAfter)
		say("crashes %s", request)
		os.Exit(1)
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		say("dropped %s", request)
		return
	}
	answer := append([]byte("ran "+request+" at "+w.id+"\n"), body...)
	out.Header().Set("X-Response-Signature", "signed."+request+"."+w.id)
	out.Write(answer)
	say("answered %s", request)
	if c, ok := r.Context().Value(connKey{}).(*faultyConn); ok && rand.Float64() < w.extra {
		c.armed.Store(true)
	}
}
