package bed2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a request that a worker has begun to work on.
type Run struct {
	At             time.Time
	ID, Worker     string
	Tenant, Caller string
	Body           []byte
}

// Worker is a stand-in of an application worker.
type Worker struct {
	ID      string
	Machine *Machine
	Slots   int
	// Work is called for a request that the worker runs. It returns the body of the answer; ctx ends
	// when the request's connection closes or its deadline passes.
	Work func(ctx context.Context, w *Worker, r *http.Request, body []byte) (status int, answer []byte)
	// Unframed is how long the worker takes to write an answer, which then has no length and ends with
	// its connection. Zero: answers have a length and are written at once.
	Unframed time.Duration
	// Extra is what a faulty worker sends once more after an answer, late: where the next response on the
	// connection is expected. ExtraAfter decides after each answer whether it does.
	Extra      string
	ExtraAfter func() bool

	server   *http.Server
	stop     chan struct{}
	running  atomic.Int64
	sequence atomic.Int64

	mu   sync.Mutex
	runs []Run
}

// StartWorker starts the worker beside a machine's daemon, and its heartbeats.
func (m *Machine) StartWorker(id string, slots int, work func(context.Context, *Worker, *http.Request, []byte) (int, []byte)) (*Worker, error) {
	w := &Worker{ID: id, Machine: m, Slots: slots, Work: work}
	return w, w.Start()
}

// Start starts a worker whose exported fields are set.
func (w *Worker) Start() error {
	ln, err := net.Listen("tcp", w.Machine.WorkerAddr)
	if err != nil {
		return err
	}
	w.stop = make(chan struct{})
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &workerConn{Conn: c})
	}}
	go w.server.Serve(ln)
	go w.sendHeartbeats()
	return nil
}

// connKey is the context key of the workerConn of a request.
type connKey struct{}

// workerConn is a connection of a worker. It serves one request at a time.
type workerConn struct {
	net.Conn
	// extraDue is set if the worker sends its extra bytes where the next response is expected.
	extraDue bool
}

// sendExtra sends the extra bytes that are due on the request's connection.
func (w *Worker) sendExtra(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*workerConn)
	if !ok || !conn.extraDue {
		return
	}
	conn.extraDue = false
	w.Machine.d.Record.Printf("worker %s: sends extra bytes after an earlier answer, while it runs %s: %q", w.ID, r.Header.Get("X-Request-Id"), w.Extra)
	// An error means that the daemon has closed the connection.
	_, _ = conn.Write([]byte(w.Extra))
}

// MachineOf returns the machine of a worker that runs in a process of its own, without its daemon.
func MachineOf(r *Record, workerAddr, control, service, zone string, heartbeatMs int) *Machine {
	return &Machine{
		WorkerAddr: workerAddr, Control: control, Service: service, Zone: zone,
		d: &Deployment{Record: r, cfg: Config{HeartbeatMs: heartbeatMs}},
	}
}

// Stop ends the worker without notice.
func (w *Worker) Stop() {
	close(w.stop)
	w.server.Close()
}

// sendHeartbeats announces the worker to the daemon on its machine until it is stopped.
func (w *Worker) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(time.Duration(w.Machine.d.cfg.HeartbeatMs) * time.Millisecond)
	defer ticker.Stop()
	for {
		body, _ := json.Marshal(map[string]any{
			"service": w.Machine.Service, "address": w.Machine.WorkerAddr, "zone": w.Machine.Zone, "version": "v1",
			"slots": w.Slots, "state": "ready", "cold_left_ms": 0, "sequence": w.sequence.Add(1),
		})
		req, _ := http.NewRequest(http.MethodPut, "http://"+w.Machine.Control+"/instances/"+w.ID, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		if res, err := client.Do(req); err == nil {
			res.Body.Close()
		}
		select {
		case <-ticker.C:
		case <-w.stop:
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("X-Instance-Id", w.ID)
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		w.setLoad(h)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request has not arrived
	}
	if w.running.Add(1) > int64(w.Slots) {
		w.running.Add(-1)
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	w.begin(Run{At: time.Now(), ID: id, Worker: w.ID, Tenant: r.Header.Get("X-Tenant-Id"), Caller: r.Header.Get("X-Caller-Service"), Body: body})
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	w.sendExtra(r)
	status, answer := w.Work(ctx, w, r, body)
	if r.Context().Err() != nil {
		w.Machine.d.Record.Printf("worker %s: the connection of %s closed while it was at work", w.ID, id)
		return
	}
	h.Set("X-Response-Signature", Signature(w.ID, id, status, answer))
	w.setLoad(h)
	if w.Unframed > 0 {
		w.writeUnframed(rw, status, answer)
		return
	}
	rw.WriteHeader(status)
	// An error means that the daemon has closed the connection.
	_, _ = rw.Write(answer)
	w.Machine.d.Record.Printf("worker %s: answered %s with %d, %d bytes", w.ID, id, status, len(answer))
	if conn, ok := r.Context().Value(connKey{}).(*workerConn); ok && w.ExtraAfter != nil {
		conn.extraDue = w.ExtraAfter()
	}
}

// piecesOfUnframed is the number of pieces in which an answer without a length is written.
const piecesOfUnframed = 20

// writeUnframed writes an answer without a length, piece by piece.
func (w *Worker) writeUnframed(rw http.ResponseWriter, status int, answer []byte) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	rw.Header().Write(&head)
	head.WriteString("Connection: close\r\n\r\n")
	conn.Write(head.Bytes())
	size := (len(answer) + piecesOfUnframed - 1) / piecesOfUnframed
	for len(answer) > 0 {
		n := min(size, len(answer))
		if _, err := conn.Write(answer[:n]); err != nil {
			return
		}
		answer = answer[n:]
		time.Sleep(w.Unframed / piecesOfUnframed)
	}
}

func (w *Worker) begin(r Run) {
	w.Machine.d.Record.Printf("worker %s: runs %s, tenant %q, caller %q, %d bytes", w.ID, r.ID, r.Tenant, r.Caller, len(r.Body))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

// Runs returns the requests that the worker has run.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

func (w *Worker) setLoad(h http.Header) {
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.Slots))
}

// Signature returns the X-Response-Signature of an answer.
func Signature(worker, id string, status int, body []byte) string {
	return fmt.Sprintf("%s.%s.%d.%d.%08x", worker, id, status, len(body), crc32.ChecksumIEEE(body))
}
