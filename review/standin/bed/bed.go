// Package bed starts a small deployment for a case: the store's stand-in, daemons with the
// command of the deploy file, and workers' stand-ins, each as a process of its own.
package bed

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the sheet of ikeja-mend.
const (
	Contact  = 3 * time.Second
	DrainFor = 2 * time.Second
	Recovery = 15 * time.Second
	Grace    = 6 * time.Second
)

// Service is the service of all workers, Host the host of all routes.
const (
	Service = "tickets"
	Host    = "ficu95.example"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bed is a running deployment.
type Bed struct {
	dir, bin, store string
	began           time.Time
	record          *os.File
	VMs             []*VM

	mu        sync.Mutex
	processes []*exec.Cmd
	requests  int
	sent      map[string]*Request
	// given holds the addresses that freeAddr has returned.
	given map[string]bool
}

// VM is a machine with a daemon and a worker.
type VM struct {
	bed                                             *Bed
	Name, Zone                                      string
	callers, owner, ready, control, peers, upstream string
	admin, local, metrics                           string
	settings                                        string
	daemon                                          *exec.Cmd
	Worker                                          *Worker
	Proxy                                           *Proxy
	// StartedAt is when the daemon was started last.
	StartedAt time.Time
}

// Worker is a running worker.
type Worker struct {
	ID      string
	process *exec.Cmd
	stdin   io.WriteCloser
	// deleted is closed once its DELETE was acknowledged; DeletedAt is when.
	deleted   chan struct{}
	DeletedAt time.Time
	// Ended is closed once it has ended.
	Ended chan struct{}
}

// Request is a request of a client, with what came of it.
type Request struct {
	ID       string
	VM       *VM
	Kind     string
	SentAt   time.Time
	DoneAt   time.Time
	Status   int
	Signed   bool
	Err      error
	RunAt    []time.Time
	RunBy    []string
	Answered bool
	// CrashedAt is when it crashed the worker that ran it last; zero: never.
	CrashedAt time.Time
}

// Fail ends the case as one that couldn't run.
func (b *Bed) Fail(format string, args ...any) {
	b.Note("the case couldn't run: "+format, args...)
	b.Close()
	os.Exit(NotRun)
}

// Note writes a line to the record.
func (b *Bed) Note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(format, args...)
}

func (b *Bed) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(b.began).Seconds()}, args...)...)
	b.record.WriteString(line)
}

// New starts a store, and prepares VMs, one in each zone.
func New(recordPath, bin string, zones []string) *Bed {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	b := &Bed{bin: bin, began: time.Now(), record: record, sent: map[string]*Request{}, given: map[string]bool{}}
	if b.dir, err = os.MkdirTemp("", "case"); err != nil {
		b.Fail("%v", err)
	}
	out := b.start(nil, filepath.Join(bin, "store"))
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fail("store: %v", err)
	}
	b.store = strings.TrimSpace(line)
	// Loopback addresses of its own keep a run apart from others on the same machine.
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	for i, zone := range zones {
		b.VMs = append(b.VMs, b.newVM(fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, zones, fmt.Sprintf("%s.%d", network, i+1)))
	}
	return b
}

// start starts a process and returns its standard output.
func (b *Bed) start(env []string, name string, args ...string) io.Reader {
	cmd := exec.Command(name, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fail("%v", err)
	}
	b.run(cmd, env)
	return out
}

func (b *Bed) run(cmd *exec.Cmd, env []string) {
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		b.Fail("start %s: %v", cmd.Path, err)
	}
	b.mu.Lock()
	b.processes = append(b.processes, cmd)
	b.mu.Unlock()
}

// Close ends all processes.
func (b *Bed) Close() {
	b.mu.Lock()
	processes := b.processes
	b.processes = nil
	b.mu.Unlock()
	for _, p := range processes {
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Kill()
		p.Wait()
	}
	os.RemoveAll(b.dir)
	b.record.Close()
}

// The ports of daemons and workers, which are free for a moment while one is started again, lie
// below those that the system gives to outgoing connections.
const (
	firstPort = 10_000
	endPort   = 30_000
)

// freeAddr returns a free address that it has not returned before.
func (b *Bed) freeAddr(ip string) string {
	for range 100 {
		addr := fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(endPort-firstPort))
		ln, err := net.Listen("tcp", addr)
		if err != nil || b.given[addr] {
			continue
		}
		ln.Close()
		b.given[addr] = true
		return addr
	}
	b.Fail("no port is free at %s", ip)
	return ""
}

func (b *Bed) newVM(name, zone string, zones []string, ip string) *VM {
	v := &VM{bed: b, Name: name, Zone: zone}
	for _, a := range []*string{&v.callers, &v.owner, &v.ready, &v.control, &v.peers, &v.upstream, &v.metrics} {
		*a = b.freeAddr(ip)
	}
	v.admin, v.local = b.freeAddr(ip), b.freeAddr(ip)
	v.Proxy = b.newProxy(ip, v.control)
	quoted, _ := json.Marshal(zones)
	text := fmt.Sprintf(settingsText, name, zone, quoted, v.callers, v.owner, v.peers, v.admin, v.local,
		b.store, v.upstream, Service, v.ready, v.control, v.metrics)
	v.settings = filepath.Join(b.dir, name+".yaml")
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		b.Fail("%v", err)
	}
	return v
}

// settingsText is deploy/settings.yaml.tmpl with the bounds of ikeja-mend.
const settingsText = `vm: %q
failure_domain: %q
failure_domains: %s
region: "lagos"
logging: info
gc_percent: 50
listen:
  callers: %q
  owner: %q
  peers: %q
  admin: %q
  local: %q
log:
  url: "http://%s"
platform:
  upstream: %q
  service: %q
  ready: %q
  heartbeats: %q
  metrics: %q
bounds:
  stop: 6s
  in_force: 2000ms
control:
  window: 50ms
  heartbeat: 500ms
  silent_after: 1500ms
  upstream_lapse: 6s
  grace: 2s
calls:
  max_body: 67108864
  link_mbps: 1000
  connect_timeout: 400ms
  upstream_idle: 4s
  inquire_after: 500ms
  retry_ratio: 0.2
  retry_burst: 3
`

// StartDaemon starts the VM's daemon with the command of the deploy file.
func (v *VM) StartDaemon() {
	logFile, err := os.OpenFile(v.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		v.bed.Fail("%v", err)
	}
	defer logFile.Close()
	cmd := exec.Command("target/comfreyd", "run")
	cmd.Stdout, cmd.Stderr = logFile, logFile
	v.bed.run(cmd, []string{"COMFREYGATE_NODE_FILE=" + v.settings})
	v.daemon, v.StartedAt = cmd, time.Now()
	v.bed.Note("daemon of %s started", v.Name)
}

// KillDaemon kills the VM's daemon.
func (v *VM) KillDaemon() {
	v.daemon.Process.Kill()
	v.daemon.Wait()
	v.bed.Note("daemon of %s killed", v.Name)
}

// Signal sends a signal to the VM's daemon.
func (v *VM) Signal(s syscall.Signal) {
	v.daemon.Process.Signal(s)
	v.bed.Note("daemon of %s gets signal %v", v.Name, s)
}

// Log returns what the VM's daemon has written.
func (v *VM) Log() string {
	text, _ := os.ReadFile(v.settings + ".log")
	return string(text)
}

// StartWorker starts a worker on the VM, with further flags. Its heartbeats go through the VM's
// proxy.
func (v *VM) StartWorker(id string, work time.Duration, flags ...string) *Worker {
	w := &Worker{ID: id, deleted: make(chan struct{}), Ended: make(chan struct{})}
	flags = append([]string{"-id", id, "-service", Service, "-addr", v.upstream,
		"-zone", v.Zone, "-control", v.Proxy.Addr, "-work", work.String()}, flags...)
	w.process = exec.Command(filepath.Join(v.bed.bin, "worker"), flags...)
	out, err := w.process.StdoutPipe()
	if err == nil {
		w.stdin, err = w.process.StdinPipe()
	}
	if err != nil {
		v.bed.Fail("%v", err)
	}
	v.bed.run(w.process, nil)
	v.Worker = w
	v.bed.Note("worker %s on %s started", id, v.Name)
	go v.bed.follow(w, out)
	return w
}

// follow records what a worker says.
func (b *Bed) follow(w *Worker, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		ms, text, _ := strings.Cut(lines.Text(), " ")
		var at int64
		fmt.Sscan(ms, &at)
		b.heard(w, time.UnixMilli(at), text)
	}
	close(w.Ended)
}

func (b *Bed) heard(w *Worker, at time.Time, text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	words := strings.Fields(text)
	switch {
	case words[0] == "beat":
		// The heartbeats of all workers would fill the record.
	case text == "delete acknowledged":
		w.DeletedAt = at
		close(w.deleted)
		b.note("worker %s: %s", w.ID, text)
	default:
		b.note("worker %s: %s", w.ID, text)
	}
	if len(words) < 2 || b.sent[words[1]] == nil {
		return
	}
	r := b.sent[words[1]]
	switch words[0] {
	case "run":
		r.RunAt, r.RunBy = append(r.RunAt, at), append(r.RunBy, w.ID)
	case "answered":
		r.Answered = true
	case "crashes":
		r.CrashedAt = at
	}
}

// Tell gives a worker a command.
func (w *Worker) Tell(command string) { io.WriteString(w.stdin, command+"\n") }

// Kill kills a worker.
func (w *Worker) Kill() {
	w.process.Process.Kill()
	w.process.Wait()
}

// AwaitDeleted waits until a worker's DELETE was acknowledged.
func (w *Worker) AwaitDeleted(b *Bed) {
	select {
	case <-w.deleted:
	case <-time.After(5 * time.Second):
		b.Fail("DELETE was not acknowledged")
	}
}

// Configure writes a configuration with a safe and an unsafe route to the store.
func (b *Bed) Configure(version int) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "path_prefix": prefix, "kind": kind, "timeout_ms": 2500, "target_latency_ms": 500,
			"priority": 1, "service": Service, "max_attempts": 2,
		}
	}
	doc, _ := json.Marshal(map[string]any{
		"version":  version,
		"services": []any{map[string]any{"name": Service, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"virtual_hosts": []any{map[string]any{"host": Host, "paths": []any{
			route("r-order", "/pufi791/", "unsafe"), route("r-lookup", "/lohu930/", "safe"),
		}}},
	})
	const key = "config"
	content := append(append([]byte{byte(len(key))}, key...), doc...)
	record := append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
	res, err := http.Post("http://"+b.store+"/log-append?topic=keyed.op&part=0", "application/octet-stream", bytes.NewReader(record))
	if err != nil {
		b.Fail("configure: %v", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b.Fail("configure: %s", res.Status)
	}
	b.Note("configuration %d acknowledged", version)
}

// AwaitReady waits until all daemons are ready.
func (b *Bed) AwaitReady() {
	for _, v := range b.VMs {
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				b.Fail("%s isn't ready", v.Name)
			}
			if res, err := http.Get("http://" + v.ready + "/ready"); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
		}
	}
}

// clientDeadline is how long a client waits.
const clientDeadline = 2500 * time.Millisecond

// ClientWaits is after which time a client that has no answer takes the connection for dead.
const ClientWaits = clientDeadline + 500*time.Millisecond

// Send sends a request of a kind, "unsafe" or "safe", to the daemon of a VM, and waits for its
// answer.
func (b *Bed) Send(v *VM, kind string) *Request {
	path, method := "/pufi791/order", http.MethodPost
	if kind == "safe" {
		path, method = "/lohu930/look", http.MethodGet
	}
	return b.SendTo(v, kind, method, path, ClientWaits)
}

// SendTo sends a request with a method and a path. The client leaves after its patience.
func (b *Bed) SendTo(v *VM, kind, method, path string, patience time.Duration) *Request {
	b.mu.Lock()
	b.requests++
	r := &Request{ID: fmt.Sprintf("%016x", b.requests), VM: v, Kind: kind, SentAt: time.Now()}
	b.sent[r.ID] = r
	b.note("client on %s sends %s %s", v.Name, kind, r.ID)
	b.mu.Unlock()
	status, signed, err := send(v.callers, method, path, r.ID, patience)
	b.mu.Lock()
	defer b.mu.Unlock()
	r.DoneAt, r.Status, r.Signed, r.Err = time.Now(), status, signed, err
	b.note("client on %s: %s ends with status %d signed=%v error=%v", v.Name, r.ID, status, signed, err)
	return r
}

func send(addr, method, path, id string, patience time.Duration) (status int, signed bool, err error) {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, body)
	if err != nil {
		return 0, false, err
	}
	req.Host = Host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	res, err := client.Do(req)
	if err != nil {
		return 0, false, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, false, err
	}
	return res.StatusCode, res.Header.Get("X-Response-Signature") != "", nil
}

// Load sends requests to all VMs until stop is closed, and returns once all have ended.
func (b *Bed) Load(perSecond int, stop <-chan struct{}) (wait func()) {
	var clients sync.WaitGroup
	for _, v := range b.VMs {
		clients.Add(1)
		go func() {
			defer clients.Done()
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ticker.C:
				case <-stop:
					return
				}
				kind := "unsafe"
				if n%2 == 1 {
					kind = "safe"
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					b.Send(v, kind)
				}()
			}
		}()
	}
	return clients.Wait
}

// Requests returns all requests.
func (b *Bed) Requests() []*Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*Request
	for i := 1; i <= b.requests; i++ {
		out = append(out, b.sent[fmt.Sprintf("%016x", i)])
	}
	return out
}

// Proxy passes heartbeats on to the control address of a daemon. It can delay one.
type Proxy struct {
	bed    *Bed
	Addr   string
	target string

	mu sync.Mutex
	// hold is set while the next heartbeat is to be delayed; held are its bytes.
	hold bool
	held []byte
	got  chan struct{}
}

func (b *Bed) newProxy(ip, target string) *Proxy {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		b.Fail("%v", err)
	}
	p := &Proxy{bed: b, Addr: ln.Addr().String(), target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// serve passes on one call, which has a connection of its own.
func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	call, err := readCall(c)
	if err != nil {
		return
	}
	p.mu.Lock()
	if p.hold && bytes.HasPrefix(call, []byte("PUT ")) {
		p.hold, p.held = false, call
		close(p.got)
		p.mu.Unlock()
		io.Copy(io.Discard, c) // until the worker gives up
		return
	}
	p.mu.Unlock()
	p.pass(call, c)
}

// readCall reads a whole call.
func readCall(c net.Conn) ([]byte, error) {
	var raw bytes.Buffer
	req, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c, &raw)))
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(req.Body)
	return raw.Bytes(), err
}

func (p *Proxy) pass(call []byte, answer io.Writer) {
	d, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer d.Close()
	d.Write(call)
	d.SetReadDeadline(time.Now().Add(time.Second))
	io.Copy(answer, d)
}

// HoldNext delays the next heartbeat, and returns once it was sent.
func (p *Proxy) HoldNext() {
	p.mu.Lock()
	p.hold, p.got = true, make(chan struct{})
	got := p.got
	p.mu.Unlock()
	select {
	case <-got:
		p.bed.Note("a heartbeat to %s is held up: %s", p.target, bytes.ReplaceAll(p.held, []byte("\r\n"), []byte(" | ")))
	case <-time.After(5 * time.Second):
		p.bed.Fail("no heartbeat was sent")
	}
}

// Release delivers the heartbeat that was held up.
func (p *Proxy) Release() {
	var answer bytes.Buffer
	p.pass(p.held, &answer)
	status, _, _ := strings.Cut(answer.String(), "\r\n")
	p.bed.Note("the late heartbeat arrives at %s, which answers %q", p.target, status)
}
