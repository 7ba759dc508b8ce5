package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/review/bed2"
)

func init() { cases["stream"] = answerOfASlowWorker }

// Figures of the case.
const (
	exportWork   = 130 * time.Millisecond
	slowFactor   = 5
	exportBytes  = 2_000_000
	smallBytes   = 20_000
	smallExports = 24 // before each large one
	atOnce       = 6
	exports      = 8
	// cutsAllowed is the number of cuts that the rule allows.
	cutsAllowed = 3
)

// answerOfASlowWorker has a worker answer slowly, but completely, with a few large answers that take a
// while on the link of its machine. The clients must get them whole.
func answerOfASlowWorker(r *bed2.Record, trouble bool) (bool, error) {
	d, err := bed2.New(r, bed2.Config{
		Zones: []string{"ne-a", "ne-b", "ne-c"}, LinkMbps: 10, MemoryMB: 184, HeartbeatMs: 900, Bounds: bounds(nil),
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	if _, err := d.WriteConfig(streamConfig()); err != nil {
		return false, err
	}
	desk, err := d.AddMachine("desk", "ne-a", "locator")
	if err != nil {
		return false, err
	}
	keep, err := d.AddMachine("keep", "ne-a", "telemetry")
	if err != nil {
		return false, err
	}
	w, err := desk.StartWorker("i-desk", 6, answerAfter(exportWork))
	if err != nil {
		return false, err
	}
	defer w.Stop()
	worker, err := keep.StartWorker("i-keep", 6, func(_ context.Context, _ *bed2.Worker, req *http.Request, _ []byte) (int, []byte) {
		id, size := req.Header.Get("X-Request-Id"), smallBytes
		if strings.HasPrefix(id, "export") {
			size = exportBytes
		}
		if took := exportWork; trouble && size == exportBytes {
			time.Sleep(slowFactor * took)
		} else {
			time.Sleep(took)
		}
		return http.StatusOK, bytes.Repeat([]byte(id+"\n"), size/(len(id)+1)+1)[:size]
	})
	if err != nil {
		return false, err
	}
	defer worker.Stop()
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	if err := awaitServed(d, export("")); err != nil {
		return false, err
	}
	if trouble {
		r.Printf("trouble: the worker at %s turns slow, %d times", keep.Name, slowFactor)
	}
	cut := 0
	for n := range exports {
		sendSmall(desk, n)
		client := desk.NewClient()
		sendUntilServed(client.Send, fmt.Sprint("first-", n))
		a := client.Send(export(fmt.Sprint("export", n)))
		if a.Err != nil || a.FromWorker() && len(a.Body) != exportBytes {
			cut++
		}
		client.Close()
	}
	r.Printf("judged: %d of %d answers were cut on kept connections; the rule allows %d", cut, exports, cutsAllowed)
	return cut > cutsAllowed, nil
}

// sendSmall sends exports with small answers, which most are, some at once.
func sendSmall(m *bed2.Machine, round int) {
	var clients sync.WaitGroup
	for i := range atOnce {
		clients.Go(func() {
			for n := range smallExports / atOnce {
				sendUntilServed(m.Send, fmt.Sprintf("small-%d-%d-%d", round, i, n))
			}
		})
	}
	clients.Wait()
}

// maxTries and retryPause say how a client comes back after a refusal.
const (
	maxTries   = 10
	retryPause = 300 * time.Millisecond
)

// sendUntilServed sends an export with a small answer, and again after a pause if it was refused. Each
// attempt has an ID of its own.
func sendUntilServed(send func(bed2.Request) bed2.Answer, id string) {
	for try := range maxTries {
		if a := send(export(fmt.Sprintf("%s-%d", id, try))); a.FromWorker() {
			return
		}
		time.Sleep(retryPause)
	}
}

func export(id string) bed2.Request {
	return bed2.Request{Method: http.MethodGet, Host: "telemetry.example", Path: "/export/1", ID: id, Deadline: 5 * time.Second}
}

func streamConfig() obj {
	service := func(name string) obj {
		return obj{"name": name, "health_path": "/health", "max_connections": 590, "protocol": "h1", "tls": false}
	}
	return obj{
		"version": 3, "limits": limitsItem, "services": []obj{service("locator"), service("telemetry")},
		"virtual_hosts": []obj{{"host": "telemetry.example", "paths": []obj{{
			"name": "r-export", "path_prefix": "/export/", "kind": "download", "timeout_ms": 5000, "target_latency_ms": 800,
			"priority": 2, "service": "telemetry", "max_attempts": 2,
		}}}},
	}
}
