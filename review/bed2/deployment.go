package bed2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
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

	"github.com/comfreygate/comfreygate/platform/store"
)

// Programs of the project, as the build of the deploy file and build-2.sh leave them.
const (
	daemonProgram = "target/comfreyd"
	storeProgram  = "target/review2/logd"
	templateFile  = "deploy/settings.yaml.tmpl"
)

// processes are the processes that were started, for KillAll.
var processes struct {
	mu   sync.Mutex
	list []*os.Process
}

// Started records a process that KillAll ends.
func Started(p *os.Process) {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	processes.list = append(processes.list, p)
}

// KillAll ends all processes that were started. Those that have ended are left alone.
func KillAll() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	for _, p := range processes.list {
		// An error means that it has ended.
		_ = p.Kill()
	}
}

// startTimeout bounds the start of a process and of the deployment.
const startTimeout = 20 * time.Second

// Config describes a deployment.
type Config struct {
	Zones []string
	// Bounds are the bounds of the site, as in a settings file.
	Bounds map[string]any
	// MemoryMB and LinkMbps are the limits of each machine.
	MemoryMB int
	LinkMbps float64
	// HeartbeatMs is the interval of the workers' heartbeats.
	HeartbeatMs int
}

// Deployment is a running deployment.
type Deployment struct {
	Record *Record
	cfg    Config
	dir    string
	net    int
	store  *exec.Cmd
	// storeAddr is the address of the platform's store.
	storeAddr string
	Machines  []*Machine
}

// Machine is a VM: a daemon and the address of its worker.
type Machine struct {
	Name, Zone, Service, IP string
	// WorkerAddr, Outbound, Ready, Control and Metrics are the addresses of the settings file.
	WorkerAddr, Outbound, Ready, Control, Metrics string

	d        *Deployment
	settings string
	starts   int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// New starts the platform's store.
func New(r *Record, cfg Config) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: r, cfg: cfg, dir: dir, net: 1 + rand.IntN(200)}
	d.store = exec.Command(storeProgram)
	out, err := d.store.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := d.store.Start(); err != nil {
		return nil, err
	}
	Started(d.store.Process)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, err
	}
	d.storeAddr = strings.TrimSpace(line)
	return d, nil
}

// Close ends all processes and removes the temporary folder.
func (d *Deployment) Close() {
	for _, m := range d.Machines {
		m.Kill()
	}
	// The store has no state to lose, and its exit code says nothing.
	_ = d.store.Process.Kill()
	_ = d.store.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are kept in", d.dir)
	}
}

// AddMachine adds a machine with a worker of a service and starts its daemon.
func (d *Deployment) AddMachine(name, zone, service string) (*Machine, error) {
	m := &Machine{Name: name, Zone: zone, Service: service, d: d, IP: fmt.Sprintf("127.88.%d.%d", d.net, 10+len(d.Machines))}
	ports, err := freePorts(m.IP)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", m.IP, ports[i]) }
	m.WorkerAddr, m.Outbound, m.Ready, m.Control, m.Metrics = at(2), at(4), at(5), at(6), at(1)
	zones := fields{}
	for _, z := range d.cfg.Zones {
		zones[z] = "region"
	}
	bounds := fields{}
	for name, value := range d.cfg.Bounds {
		bounds[name] = value
	}
	tmpl, err := os.ReadFile(templateFile)
	if err != nil {
		return nil, err
	}
	text, err := render(string(tmpl), fields{
		"node_name": name, "zone": zone, "zones": zones, "region": "region", "ip": m.IP,
		"internal_ports": []int{ports[0], ports[1]}, "app_addr": m.WorkerAddr, "service": service,
		"listen":   fields{"inbound": at(3), "outbound": m.Outbound, "ready": m.Ready, "control": m.Control},
		"limits":   fields{"link_mbps": d.cfg.LinkMbps, "memory_mb": d.cfg.MemoryMB},
		"bounds":   bounds,
		"platform": fields{"address": d.storeAddr},
	})
	if err != nil {
		return nil, err
	}
	m.settings = filepath.Join(d.dir, name+".yaml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.Machines = append(d.Machines, m)
	return m, m.Start()
}

// portsPerMachine is how many ports a machine uses. The first two are used at 127.0.0.1 too.
const portsPerMachine = 7

// freePorts returns ports that are free now, below those that the system gives to outgoing connections.
func freePorts(ip string) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < portsPerMachine && tries < 1000; tries++ {
		port := 10_000 + rand.IntN(20_000)
		if free(ip, port) && free("127.0.0.1", port) {
			ports = append(ports, port)
		}
	}
	if len(ports) < portsPerMachine {
		return nil, errors.New("no free ports")
	}
	return ports, nil
}

func free(ip string, port int) bool {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	ln.Close()
	return true
}

// Start starts the daemon, with the command of the deploy file.
func (m *Machine) Start() error {
	m.starts++
	out, err := os.Create(filepath.Join(m.d.dir, fmt.Sprintf("%s.%d.log", m.Name, m.starts)))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(daemonProgram, "run")
	cmd.Env = []string{"COMFREYGATE_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	Started(cmd.Process)
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		m.d.Record.Printf("daemon %s ended: %v", m.Name, err)
		close(done)
	}()
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	m.d.Record.Printf("daemon %s started", m.Name)
	return nil
}

// Signal sends a signal to the daemon.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	m.d.Record.Printf("daemon %s gets signal %d (%v)", m.Name, int(s), s)
	// An error means that the daemon has ended.
	_ = cmd.Process.Signal(s)
}

// Done returns a channel that is closed when the daemon has ended.
func (m *Machine) Done() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.done
}

// Kill ends the daemon with SIGKILL and waits for its end.
func (m *Machine) Kill() {
	select {
	case <-m.Done():
		return
	default:
	}
	m.Signal(syscall.SIGKILL)
	<-m.Done()
}

// ResidentMB returns the memory of the daemon that is resident, in MB, or 0 if it has ended.
func (m *Machine) ResidentMB() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	var kb int
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		return 0
	}
	return kb / 1000
}

// Metric returns a counter from the daemon's metrics, or -1.
func (m *Machine) Metric(name string) int {
	res, err := http.Get("http://" + m.Metrics + "/metrics")
	if err != nil {
		return -1
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return -1
	}
	_, rest, ok := strings.Cut(string(b), "counter "+name+"\n")
	var value int
	if _, err := fmt.Sscanf(strings.TrimSpace(rest), "count: %d", &value); !ok || err != nil {
		return -1
	}
	return value
}

// AwaitReady waits until all daemons are ready twice in a row, a second apart.
func (d *Deployment) AwaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for inRow := 0; inRow < 2; {
		if time.Now().After(deadline) {
			return errors.New("the daemons did not become ready")
		}
		inRow++
		for _, m := range d.Machines {
			res, err := http.Get("http://" + m.Ready + "/ready")
			if err != nil {
				inRow = 0
				continue
			}
			res.Body.Close()
			if res.StatusCode != http.StatusOK {
				inRow = 0
			}
		}
		time.Sleep(time.Second)
	}
	return nil
}

// WriteConfig writes the operator's configuration to the store and returns when it was acknowledged.
func (d *Deployment) WriteConfig(config any) (time.Time, error) {
	b, err := json.Marshal(config)
	if err != nil {
		return time.Time{}, err
	}
	record, err := store.EncodeKeyed("config", b)
	if err != nil {
		return time.Time{}, err
	}
	res, err := http.Post("http://"+d.storeAddr+"/log-append?topic=keyed.op&part=0", "application/octet-stream", bytes.NewReader(record))
	if err != nil {
		return time.Time{}, err
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return time.Time{}, fmt.Errorf("the store answered %s", res.Status)
	}
	d.Record.Printf("operator: the store acknowledged op/config %s", b)
	return time.Now(), nil
}
