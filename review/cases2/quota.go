package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/review/bed2"
)

func init() { cases["quota"] = quotaWithoutCoordinator }

// Figures of the case and of the rule QUOTA.
const (
	highRate, lowRate = 100, 10 // requests a second, and the burst
	demand            = 90      // requests a second of the tenant, all in one zone
	quotaWindow       = 5 * time.Second
	quotaOverage      = 0.1
	quotaSlack        = 20
	configBound       = 2500 * time.Millisecond
)

// quotaWithoutCoordinator loses the machine that counts a zone's calls for good, and lowers a tenant's
// limit afterwards. The other machines of the zone must keep to the new limit.
func quotaWithoutCoordinator(r *bed2.Record, trouble bool) (bool, error) {
	d, err := bed2.New(r, bed2.Config{
		Zones: []string{"ahm-a", "ahm-b", "ahm-c"}, LinkMbps: 200, MemoryMB: 536, HeartbeatMs: 900,
		Bounds: bounds(obj{"strict_revoke": true, "revoke_ms": 5000, "quota_window_s": 5, "quota_overage": quotaOverage, "quota_slack": quotaSlack}),
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	if _, err := d.WriteConfig(quotaConfig(3, highRate)); err != nil {
		return false, err
	}
	var workers []*bed2.Worker
	var zone []*bed2.Machine
	for _, at := range []struct{ name, zone string }{{"a1", "ahm-a"}, {"b1", "ahm-b"}, {"b2", "ahm-b"}, {"b3", "ahm-b"}, {"c1", "ahm-c"}} {
		m, err := d.AddMachine(at.name, at.zone, "portal")
		if err != nil {
			return false, err
		}
		w, err := m.StartWorker("i-"+at.name, 18, answerAfter(20*time.Millisecond))
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
		if at.zone == "ahm-b" {
			zone = append(zone, m)
		}
	}
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	if err := awaitServed(d, request("", "key-other")); err != nil {
		return false, err
	}
	load := startLoad(zone)
	defer load.stop()
	time.Sleep(12 * time.Second)
	if trouble {
		lost := coordinatorOf(r, zone)
		r.Printf("trouble: machine %s is lost for good, with its worker; its clients go to the other machines of the zone", lost.Name)
		load.move(lost)
		lost.Kill()
		for _, w := range workers {
			if w.Machine == lost {
				w.Stop()
			}
		}
	}
	time.Sleep(5 * time.Second)
	acked, err := d.WriteConfig(quotaConfig(7, lowRate))
	if err != nil {
		return false, err
	}
	binds := acked.Add(configBound + quotaWindow)
	time.Sleep(time.Until(binds.Add(3 * quotaWindow)))
	load.stop()
	return judgeQuota(r, workers, load.sentAt(), binds), nil
}

// judgeQuota reports whether more requests of the tenant were both sent and run in a window than its
// limit allows, from the time on from which the limit binds.
func judgeQuota(r *bed2.Record, workers []*bed2.Worker, sent map[string]time.Time, binds time.Time) bool {
	var runs []bed2.Run
	for _, w := range workers {
		for _, run := range w.Runs() {
			if run.Tenant == "reps" {
				runs = append(runs, run)
			}
		}
	}
	allowed := (lowRate*quotaWindow.Seconds()+lowRate)*(1+quotaOverage) + quotaSlack
	most, at := 0, binds
	for from := binds; from.Before(binds.Add(2 * quotaWindow)); from = from.Add(100 * time.Millisecond) {
		seen := map[string]bool{}
		for _, run := range runs {
			if !sent[run.ID].Before(from) && run.At.Before(from.Add(quotaWindow)) {
				seen[run.ID] = true
			}
		}
		if len(seen) > most {
			most, at = len(seen), from
		}
	}
	r.Printf("judged: at most %d requests of the tenant were sent and run in a window of %v, %.1f s after the limit came to bind; allowed are %.0f", most, quotaWindow, at.Sub(binds).Seconds(), allowed)
	return float64(most) > allowed
}

// quotaConfig is the configuration with a rate for the tenant "reps".
func quotaConfig(version, rate int) obj {
	tenant := func(name, key string, rate int) obj {
		return obj{"name": name, "api_keys": []string{key}, "priority": 1, "rate_per_s": rate, "burst": rate}
	}
	return obj{
		"version": version, "limits": limitsItem,
		"services": []obj{{"name": "portal", "health_path": "/health", "max_connections": 450, "protocol": "h1", "tls": false}},
		"tenants":  []obj{tenant("reps", "key-reps", rate), tenant("other", "key-other", 200)},
		"virtual_hosts": []obj{{"host": "claims.example", "paths": []obj{{
			"name": "r-status", "path_prefix": "/status/", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 800,
			"priority": 1, "service": "portal", "max_attempts": 2, "public": false,
		}}}},
	}
}

func request(id, key string) bed2.Request {
	return bed2.Request{Method: http.MethodGet, Host: "claims.example", Path: "/status/1", ID: id, Key: key, Deadline: 3 * time.Second}
}

// coordinatorOf returns the machine that counts the zone's calls: it is the one that asks no other.
func coordinatorOf(r *bed2.Record, zone []*bed2.Machine) *bed2.Machine {
	best, least := zone[0], -1
	for _, m := range zone {
		asks := m.Metric("limits.asks")
		r.Printf("daemon %s has asked another one for %d grants and reports", m.Name, asks)
		if least < 0 || asks < least {
			best, least = m, asks
		}
	}
	return best
}

// load sends the tenant's requests to the machines of a zone in turn.
type load struct {
	mu       sync.Mutex
	machines []*bed2.Machine
	sent     map[string]time.Time
	done     chan struct{}
	once     sync.Once
	clients  sync.WaitGroup
}

func startLoad(machines []*bed2.Machine) *load {
	l := &load{machines: machines, sent: map[string]time.Time{}, done: make(chan struct{})}
	l.clients.Add(1)
	go l.run()
	return l
}

func (l *load) run() {
	defer l.clients.Done()
	ticker := time.NewTicker(time.Second / demand)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-l.done:
			return
		}
		id := fmt.Sprintf("reps%06d", n)
		l.mu.Lock()
		m := l.machines[n%len(l.machines)]
		l.sent[id] = time.Now()
		l.mu.Unlock()
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			m.Send(request(id, "key-reps"))
		}()
	}
}

// move makes the clients of a machine go to the others.
func (l *load) move(from *bed2.Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var left []*bed2.Machine
	for _, m := range l.machines {
		if m != from {
			left = append(left, m)
		}
	}
	l.machines = left
}

func (l *load) stop() {
	l.once.Do(func() { close(l.done) })
	l.clients.Wait()
}

func (l *load) sentAt() map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}
