package harness

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/itest/fault"
)

// Token is the operator token of every cluster.
const Token = "itest-operator-token"

// Cluster runs a log, daemons and upstreams, each as a process of its own.
type Cluster struct {
	T   testing.TB
	bin Binaries
	dir string
	log *process
	// LogProxy forwards the daemons' connections to the log.
	LogProxy *fault.Proxy
	LogURL   string
	VMs      []*VM
	// Settings holds YAML lines that are added to every daemon's settings.
	Settings string
	// LinkMbps is the speed of each VM's link in the daemons' settings, in Mbit/s; zero: no
	// limit.
	LinkMbps float64
	// Probe is the interval at which a daemon compares its state with a random other
	// daemon. Default: 1s.
	Probe string
	// MaxBody bounds the bodies of requests, in bytes; zero: as by default.
	MaxBody int64
	// MaxDescriptors limits the open file descriptors of each daemon's process; zero: as the
	// test's own.
	MaxDescriptors int
	upstreamCount  int
	// localAddrs are the addresses at which daemons have listened for upstreams.
	localMu    sync.Mutex
	localAddrs map[string]bool
}

// VM is a daemon with its own IP address, and the upstreams beside it.
type VM struct {
	c      *Cluster
	Name   string
	Domain string
	IP     string
	Addrs  agent.Addresses
	// callersAddr is Addrs.Callers. It is atomic because calls are sent while the daemon
	// restarts.
	callersAddr atomic.Pointer[string]
	// Peers and Owner are proxies in front of the daemon's listeners for other daemons.
	Peers *fault.Proxy
	Owner *fault.Proxy
	// local is a proxy in front of the daemon's listener for upstreams, whose address stays
	// the same when the daemon restarts.
	local        *fault.Proxy
	proc         *process
	incarnations int
	// Platform holds the addresses of the interfaces to the platform, if it runs the daemon.
	Platform PlatformAddresses
}

// PlatformAddresses are the addresses that the settings of a daemon on the platform name. Unlike
// its own, they stay the same when it restarts.
type PlatformAddresses struct {
	Upstream, Ready, Heartbeats, Metrics string
	// Service is the service of the upstream.
	Service string
}

// settings returns the lines of a daemon's settings, or none without the platform.
func (p PlatformAddresses) settings() string {
	if p.Service == "" {
		return ""
	}
	return fmt.Sprintf("platform: {upstream: %q, service: %q, ready: %q, heartbeats: %q, metrics: %q}\n", p.Upstream, p.Service, p.Ready, p.Heartbeats, p.Metrics)
}

// Upstream is an upstream process.
type Upstream struct {
	ID   string
	Addr string
	proc *process
}

var (
	ipMu   sync.Mutex
	lastIP = 1
)

// firstNetwork and networks bound the second byte of the loopback addresses. Test processes that run
// at the same time mostly have different ones.
const (
	firstNetwork = 77
	networks     = 150
)

// newIP returns a loopback address that no other VM of this test process uses.
func newIP() string {
	ipMu.Lock()
	defer ipMu.Unlock()
	lastIP++
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networks, lastIP/250, 1+lastIP%250)
}

// New returns a cluster with a running log and no VMs.
func New(t testing.TB) *Cluster {
	t.Helper()
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	c := &Cluster{T: t, bin: bin, dir: t.ArtifactDir(), localAddrs: map[string]bool{}}
	c.log = start(t, c.path("log.out"), bin.Log)
	addr := c.log.awaitLine("127.0.0.1:")
	c.LogURL = "http://" + addr
	c.LogProxy = c.proxy("127.0.0.1")
	c.LogProxy.SetTarget(addr)
	return c
}

func (c *Cluster) proxy(ip string) *fault.Proxy {
	p, err := fault.Listen(ip)
	if err != nil {
		c.T.Fatal(err)
	}
	c.T.Cleanup(p.Close)
	return p
}

func (c *Cluster) path(name string) string { return filepath.Join(c.dir, name) }

// settingsFormat sets short time-outs and intervals, so that failure tests run quickly.
const settingsFormat = `
vm: %s
failure_domain: %s
logging: debug
events: 20000
listen:
  callers: "%[3]s:0"
  admin: "%[3]s:0"
  peers: "%[3]s:0"
  owner: "%[3]s:0"
  local: "%[11]s"
  source: %[3]s
  advertise_peers: "%[4]s"
  advertise_owner: "%[5]s"
log: {url: "http://%[6]s", timeout: 1s, retention: 20s}
control:
  peers: [%[7]s]
  window: 20ms
  heartbeat: 200ms
  silent_after: 1s
  renew: 1s
  lapse: 6s
  upstream_lapse: 1s
  grace: 1s
  probe: %[9]s
calls: {drain: 500ms, connect_timeout: 300ms, inquire_after: 300ms, link_mbps: %[10]v, max_response: 16777216, max_body: %[12]d}
%[8]s
`

// AddVM adds a VM and starts its daemon. The first two VMs are the seeds that every
// daemon contacts to join the cluster.
func (c *Cluster) AddVM(name, domain string) *VM {
	c.T.Helper()
	ip := newIP()
	vm := c.newVM(name, domain, ip)
	vm.Start()
	return vm
}

// AddPlatformVM is AddVM with a daemon that runs on the platform, beside an upstream of a service.
func (c *Cluster) AddPlatformVM(name, domain, service string) *VM {
	c.T.Helper()
	vm := c.newVM(name, domain, newIP())
	vm.Platform = PlatformAddresses{Service: service}
	for _, addr := range []*string{&vm.Platform.Upstream, &vm.Platform.Ready, &vm.Platform.Heartbeats, &vm.Platform.Metrics} {
		*addr = c.freeAddr(vm.IP)
	}
	vm.Start()
	return vm
}

func (c *Cluster) newVM(name, domain, ip string) *VM {
	vm := &VM{c: c, Name: name, Domain: domain, IP: ip, Peers: c.proxy(ip), Owner: c.proxy(ip), local: c.proxy("127.0.0.1")}
	c.VMs = append(c.VMs, vm)
	return vm
}

// Ports that stay free while the process that uses them restarts are drawn from below those that the
// system gives to outgoing connections.
const (
	firstPort = 10_000
	endPort   = 30_000
)

// unusedLocalAddr returns a free loopback address that this cluster has not used before. An upstream
// of a daemon that was killed goes on announcing itself at that daemon's address.
func (c *Cluster) unusedLocalAddr() string {
	c.localMu.Lock()
	defer c.localMu.Unlock()
	for {
		if addr := c.freeAddr("127.0.0.1"); !c.localAddrs[addr] {
			c.localAddrs[addr] = true
			return addr
		}
	}
}

// freeAddr returns an address that is free now. Only this VM uses its IP address.
func (c *Cluster) freeAddr(ip string) string {
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(endPort-firstPort)))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
	c.T.Fatalf("no port is free at %s", ip)
	return ""
}

// Start starts the VM's daemon, for the first time or after it was stopped.
func (v *VM) Start() {
	c := v.c
	c.T.Helper()
	var seeds []string
	for _, other := range c.VMs[:min(2, len(c.VMs))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.Peers.Addr()))
	}
	text := fmt.Sprintf(settingsFormat, v.Name, v.Domain, v.IP, v.Peers.Addr(), v.Owner.Addr(),
		c.LogProxy.Addr(), strings.Join(seeds, ", "), v.Platform.settings()+c.Settings, cmp.Or(c.Probe, "1s"), c.LinkMbps, c.unusedLocalAddr(), cmp.Or(c.MaxBody, settings.Default().Calls.MaxBody))
	file := c.path(v.Name + ".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.T.Fatal(err)
	}
	v.incarnations++
	c.T.Setenv("COMFREY_TOKEN", Token)
	command := []string{c.bin.Daemon, "run", "--settings", file}
	if c.MaxDescriptors > 0 {
		limit := fmt.Sprintf(`ulimit -n %d && exec "$@"`, c.MaxDescriptors)
		command = append([]string{"/bin/sh", "-c", limit, "sh"}, command...)
	}
	v.proc = start(c.T, c.path(fmt.Sprintf("%s.%d.out", v.Name, v.incarnations)), command[0], command[1:]...)
	var line struct {
		Listen agent.Addresses `json:"listen"`
	}
	if err := json.Unmarshal([]byte(v.proc.awaitLine(`"listen":`)), &line); err != nil {
		c.T.Fatal(err)
	}
	v.Addrs = line.Listen
	v.callersAddr.Store(&line.Listen.Callers)
	v.Peers.SetTarget(v.Addrs.Peers)
	v.Owner.SetTarget(v.Addrs.Owner)
	v.local.SetTarget(v.Addrs.Local)
}

// Kill sends SIGKILL to the daemon.
func (v *VM) Kill() { v.proc.kill() }

// Stop stops the daemon gracefully and returns its exit code.
func (v *VM) Stop() int { return v.proc.stop() }

// PeakMemory returns the most memory, in bytes, that the daemon's process has had resident.
func (v *VM) PeakMemory() int64 { return v.proc.peakMemory() }

// Running reports whether the daemon's process has not exited.
func (v *VM) Running() bool { return v.proc.running() }

// OpenDescriptors returns how many file descriptors the daemon's process has open.
func (v *VM) OpenDescriptors() int { return v.proc.openDescriptors() }

// Pause freezes the daemon until Resume.
func (v *VM) Pause() { v.proc.signal(syscall.SIGSTOP) }

// Resume resumes a paused daemon.
func (v *VM) Resume() { v.proc.signal(syscall.SIGCONT) }

// AddUpstream starts an upstream on the VM and waits until it listens. It does not find the
// daemon again if that restarts.
func (v *VM) AddUpstream(service string, args ...string) *Upstream {
	return v.addUpstream(v.Addrs.Local, service, args)
}

// AddLastingUpstream is AddUpstream with an upstream that announces itself again when the
// daemon has restarted.
func (v *VM) AddLastingUpstream(service string, args ...string) *Upstream {
	return v.addUpstream(v.local.Addr(), service, args)
}

func (v *VM) addUpstream(daemon, service string, args []string) *Upstream {
	c := v.c
	c.T.Helper()
	c.upstreamCount++
	u := &Upstream{ID: fmt.Sprintf("up%d", c.upstreamCount)}
	args = append([]string{
		"-id", u.ID, "-service", service, "-daemon", daemon, "-journal", c.path("journal"),
	}, args...)
	u.proc = start(c.T, c.path(u.ID+".out"), c.bin.Upstream, args...)
	u.Addr = u.proc.awaitLine("127.0.0.1:")
	return u
}

// Deregister deregisters the upstream at the VM's daemon; its process keeps running.
func (v *VM) Deregister(u *Upstream) {
	v.c.T.Helper()
	req, err := http.NewRequest(http.MethodDelete, "http://"+v.Addrs.Local+"/v1/upstreams/"+u.ID, nil)
	if err != nil {
		v.c.T.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		v.c.T.Fatal(err)
	}
	res.Body.Close()
}

// Kill sends SIGKILL to the upstream.
func (u *Upstream) Kill() { u.proc.kill() }

// Stop stops the upstream gracefully and returns its exit code.
func (u *Upstream) Stop() int { return u.proc.stop() }

// SetDelay sets the time that each call takes at the upstream.
func (u *Upstream) SetDelay(t testing.TB, d time.Duration) {
	u.control(t, fmt.Sprintf("/.delay?ms=%d", d.Milliseconds()))
}

// SetRateLimit sets the rate limit that the upstream states in its answers, in requests per
// second; an empty text: none.
func (u *Upstream) SetRateLimit(t testing.TB, limit string) { u.control(t, "/.limit?rate="+limit) }

// StateDraining makes the upstream state in its answers that it is draining, and nowhere else.
func (u *Upstream) StateDraining(t testing.TB) { u.control(t, "/.drain") }

// control changes how the upstream behaves.
func (u *Upstream) control(t testing.TB, path string) {
	t.Helper()
	res, err := http.Get("http://" + u.Addr + path)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}

// JournalEntry is one line of the journal that all upstreams write.
type JournalEntry struct {
	Verb     string
	Request  string
	Upstream string
	// At is when a request was received, to the millisecond. It is set for the verb "run".
	At time.Time
}

// Journal returns the upstreams' journal entries in the order in which they were written.
func (c *Cluster) Journal() []JournalEntry {
	f, err := os.Open(c.path("journal"))
	if err != nil {
		return nil
	}
	defer f.Close()
	var entries []JournalEntry
	scan := bufio.NewScanner(f)
	for scan.Scan() {
		var r JournalEntry
		var atMs int64
		if n, _ := fmt.Sscan(scan.Text(), &r.Verb, &r.Request, &r.Upstream, &atMs); n >= 3 {
			if n > 3 {
				r.At = time.UnixMilli(atMs)
			}
			entries = append(entries, r)
		}
	}
	return entries
}

// RunCounts returns how often each request ran, by request ID.
func (c *Cluster) RunCounts() map[string]int {
	runs := map[string]int{}
	for _, r := range c.Journal() {
		if r.Verb == "run" {
			runs[r.Request]++
		}
	}
	return runs
}

type token struct{}

// Bearer implements api.SecuritySource.
func (token) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: Token}, nil
}

// Client returns a client of the VM's administration API.
func (v *VM) Client() *api.Client {
	cl, err := api.NewClient("http://"+v.Addrs.Admin, token{}, api.WithClient(&http.Client{Timeout: 10 * time.Second}))
	if err != nil {
		v.c.T.Fatal(err)
	}
	return cl
}

// Execute runs a statement at the VM's daemon.
func (v *VM) Execute(text string) (*api.Answer, error) {
	return v.Client().RunCommand(context.Background(), &api.CommandRequest{Text: text, Author: api.NewOptString("itest")})
}

// MustExecute runs a command, fails the test unless it is accepted, and returns its
// version.
func (v *VM) MustExecute(text string) int64 {
	v.c.T.Helper()
	a, err := v.Execute(text)
	if err != nil {
		v.c.T.Fatal(err)
	}
	o := a.Outcome.Value
	if o.Status != api.OutcomeStatusAccepted {
		v.c.T.Fatalf("command %s: outcome %s, want accepted: %s", text, o.Status, o.Reason.Or(""))
	}
	return o.Version.Value
}

// Status returns the status of the VM's daemon.
func (v *VM) Status() (*api.Status, error) { return v.Client().GetStatus(context.Background()) }

// AwaitVersion waits until the VMs have at least this version in force.
func (c *Cluster) AwaitVersion(version int64, vms ...*VM) {
	c.T.Helper()
	for _, v := range vms {
		Eventually(c.T, v.Name, func() error {
			s, err := v.Status()
			if err != nil {
				return err
			}
			if !s.Ready || s.Version < version {
				return fmt.Errorf("version %d in force (ready %v), want %d", s.Version, s.Ready, version)
			}
			return nil
		})
	}
}

// AwaitMembers waits until each of the VMs has n live daemons in its membership.
func (c *Cluster) AwaitMembers(n int, vms ...*VM) {
	c.T.Helper()
	for _, v := range vms {
		Eventually(c.T, v.Name, func() error {
			s, err := v.Status()
			if err != nil {
				return err
			}
			if s.Members != n {
				return fmt.Errorf("%d live daemons in its membership, want %d", s.Members, n)
			}
			return nil
		})
	}
}

// AwaitUpstreams waits until each of the VMs lists n live upstreams.
func (c *Cluster) AwaitUpstreams(n int, vms ...*VM) {
	c.T.Helper()
	for _, v := range vms {
		Eventually(c.T, v.Name, func() error {
			a, err := v.Execute("show upstreams where state = live")
			if err != nil {
				return err
			}
			if len(a.Rows) != n {
				return fmt.Errorf("lists %d live upstreams, want %d", len(a.Rows), n)
			}
			return nil
		})
	}
}
