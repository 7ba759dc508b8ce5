// Command upstreamd is an upstream for the tests. It announces itself to the daemon on its
// VM, and appends a line to the journal for every request it runs before it answers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/comfreygate/comfreygate/internal/agent"
)

type upstream struct {
	journal *os.File
	id      string
	// delay is the time added to every call, in milliseconds.
	delay atomic.Int64
	// rateLimit is the text of the rate limit stated in answers; nil or empty: none.
	rateLimit atomic.Pointer[string]
	// draining is set once answers state that the upstream is draining. It goes on
	// announcing itself as before.
	draining atomic.Bool
	// crashed receives a value when a request crashes the upstream.
	crashed chan struct{}
}

func main() {
	id := flag.String("id", "", "name of the upstream")
	service := flag.String("service", "", "service it belongs to")
	daemon := flag.String("daemon", "", "the daemon's listen.local address")
	slots := flag.Int("slots", 8, "calls it runs at once")
	delay := flag.Int64("delay-ms", 0, "time each call takes")
	journal := flag.String("journal", "", "file to append a line to for every run")
	restartDelayMs := flag.Int64("back-ms", 400, "how long it is gone after a crash")
	flag.Parse()
	f, err := os.OpenFile(*journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	exitOnError(err)
	u := &upstream{journal: f, id: *id, crashed: make(chan struct{}, 1)}
	u.delay.Store(*delay)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	n := agent.Announcement{ID: *id, Service: *service, Slots: *slots, Connections: 10 * *slots}
	srv := u.startIncarnation(&n)
	for announceUntilStopOrCrash(*daemon, n, stop, u.crashed) {
		// A crashed process loses its listener and all its connections.
		srv.Close()
		fmt.Fprintf(u.journal, "end - %s\n", u.id)
		time.Sleep(time.Duration(*restartDelayMs) * time.Millisecond)
		srv = u.startIncarnation(&n)
	}
	deregister(*daemon, *id)
	// Calls that the owner admitted before it received the deregistration arrive within
	// this time.
	time.Sleep(200 * time.Millisecond)
	exitOnError(srv.Shutdown(context.Background()))
}

// startIncarnation starts an incarnation of the upstream at a new address.
func (u *upstream) startIncarnation(n *agent.Announcement) *http.Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	exitOnError(err)
	srv := &http.Server{Handler: u}
	go srv.Serve(ln)
	fmt.Println(ln.Addr())
	n.Incarnation = strconv.FormatInt(time.Now().UnixNano(), 10)
	n.Addr = ln.Addr().String()
	return srv
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// announceUntilStopOrCrash announces the upstream to the daemon every 200 ms until it is
// asked to stop or crashes, and reports whether it crashed.
func announceUntilStopOrCrash(daemon string, n agent.Announcement, stop <-chan os.Signal, crash <-chan struct{}) (crashed bool) {
	body, err := json.Marshal(n)
	exitOnError(err)
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		res, err := http.Post("http://"+daemon+"/v1/upstreams", "application/json", bytes.NewReader(body))
		if err == nil {
			res.Body.Close()
		}
		select {
		case <-ticker.C:
		case <-stop:
			return false
		case <-crash:
			return true
		}
	}
}

func deregister(daemon, id string) {
	req, err := http.NewRequest(http.MethodDelete, "http://"+daemon+"/v1/upstreams/"+id, nil)
	exitOnError(err)
	if res, err := http.DefaultClient.Do(req); err == nil {
		res.Body.Close()
	}
}

// ServeHTTP runs a request: it appends "run", the request ID, the upstream's ID and the time in
// Unix milliseconds to the journal, then answers with the request ID followed by the request's body. Query
// parameters: delay_ms adds a delay; discard leaves the body out of the answer; answer_bytes extends the answer to that length by
// repetitions of the line with the request ID; crash_ms crashes the upstream after that time; cut
// closes the connection in the middle of the response, which has no Content-Length if the
// value is "chunked"; endless sends a response that has no end, see endlessResponses.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/.delay" {
		ms, _ := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
		u.delay.Store(ms)
		return
	}
	if r.URL.Path == "/.limit" {
		limit := r.URL.Query().Get("rate")
		u.rateLimit.Store(&limit)
		return
	}
	if r.URL.Path == "/.drain" {
		u.draining.Store(true)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request arrived incomplete and was not run
	}
	request := r.Header.Get("Comfrey-Request-Id")
	fmt.Fprintf(u.journal, "run %s %s %d\n", request, u.id, time.Now().UnixMilli())
	if crash := r.URL.Query().Get("crash_ms"); crash != "" {
		ms, _ := strconv.ParseInt(crash, 10, 64)
		time.AfterFunc(time.Duration(ms)*time.Millisecond, u.crash)
		<-r.Context().Done()
		return
	}
	ms, _ := strconv.ParseInt(r.URL.Query().Get("delay_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(ms+u.delay.Load()) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		fmt.Fprintf(u.journal, "cancelled %s %s\n", request, u.id)
		return
	}
	if r.URL.Query().Has("discard") {
		body = nil
	}
	response := append([]byte(request+"\n"), body...)
	size, _ := strconv.Atoi(r.URL.Query().Get("answer_bytes"))
	if missing := size - len(response); missing > 0 {
		line := []byte(request + "\n")
		response = append(response, bytes.Repeat(line, missing/len(line)+1)[:missing]...)
	}
	if r.URL.Query().Get("cut") != "chunked" {
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	}
	w.Header().Set("Upstream", u.id)
	if limit := u.rateLimit.Load(); limit != nil && *limit != "" {
		w.Header().Set("Comfrey-Rate-Limit", *limit)
	}
	w.Header().Set("Saw-Timeout", r.Header.Get("Comfrey-Timeout-Ms"))
	if u.draining.Load() {
		w.Header().Set("Comfrey-Draining", "1")
	}
	if r.URL.Query().Has("endless") {
		sendWithoutEnd(w, r.URL.Query().Get("endless"))
		return
	}
	if r.URL.Query().Has("cut") {
		w.Write(response[:len(response)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(response)
}

// endlessResponses are the beginnings of responses without end, and what follows over and over.
var endlessResponses = map[string][2]string{
	"header":  {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"headers": {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
	"interim": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"body":    {"HTTP/1.1 200 OK\r\n\r\n", "x"},
}

// sendWithoutEnd sends a response of the given kind until the connection is closed.
func sendWithoutEnd(w http.ResponseWriter, kind string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	beginning, repeated := endlessResponses[kind][0], endlessResponses[kind][1]
	_, err = io.WriteString(conn, beginning)
	for block := strings.Repeat(repeated, 1000); err == nil; {
		_, err = io.WriteString(conn, block)
	}
}

// crash ends this incarnation of the upstream. Concurrent crashes count as one.
func (u *upstream) crash() {
	select {
	case u.crashed <- struct{}{}:
	default:
	}
}
