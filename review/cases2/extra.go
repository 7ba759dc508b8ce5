package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/comfreygate/comfreygate/review/bed2"
)

func init() { cases["extra"] = extraBytesAndUploads }

// Figures of the case.
const (
	guideBytes = 60_000 // the mean of the site's uploads
	guideWork  = 60 * time.Millisecond
	// guideClients send one upload after the other for guideTime.
	guideClients = 9
	guideTime    = 25 * time.Second
	// extraPart is the part of a faulty worker's answers after which it sends extra bytes.
	extraPart = 0.03
	// shedResponse is the response of a worker that sheds, as the pages show it.
	shedResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// extraBytesAndUploads has one worker of three send extra bytes, late, after a few of its answers. No
// upload may run twice.
func extraBytesAndUploads(r *bed2.Record, trouble bool) (bool, error) {
	d, err := bed2.New(r, bed2.Config{
		Zones: []string{"ikeja", "lekki", "yaba", "surulere"}, LinkMbps: 100, MemoryMB: 184, HeartbeatMs: 900, Bounds: bounds(nil),
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	if _, err := d.WriteConfig(guideConfig()); err != nil {
		return false, err
	}
	var workers []*bed2.Worker
	for i, at := range []struct{ name, zone string }{{"m1", "ikeja"}, {"m2", "ikeja"}, {"m3", "lekki"}} {
		m, err := d.AddMachine(at.name, at.zone, "orders")
		if err != nil {
			return false, err
		}
		w := &bed2.Worker{ID: "i-" + at.name, Machine: m, Slots: 12, Work: func(ctx context.Context, w *bed2.Worker, req *http.Request, body []byte) (int, []byte) {
			return answerAfter(guideWork)(ctx, w, req, body)
		}}
		if trouble && i == 0 {
			w.Extra, w.ExtraAfter = shedResponse, func() bool { return rand.Float64() < extraPart }
		}
		if err := w.Start(); err != nil {
			return false, err
		}
		defer w.Stop()
		workers = append(workers, w)
	}
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	if err := awaitServed(d, guide("", []byte("x"))); err != nil {
		return false, err
	}
	answers := sendGuides(d)
	return judgeGuides(r, workers, answers), nil
}

// sendGuides sends uploads and returns the status of each that was answered, by request ID.
func sendGuides(d *bed2.Deployment) map[string]int {
	var mu sync.Mutex
	answers := map[string]int{}
	body := bytes.Repeat([]byte("guide "), guideBytes/len("guide "))
	until := time.Now().Add(guideTime)
	var clients sync.WaitGroup
	for i := range guideClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("guide-%d-%d", i, n)
				a := d.Machines[i%len(d.Machines)].Send(guide(id, body))
				mu.Lock()
				answers[id] = a.Status
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return answers
}

// judgeGuides reports whether an upload has run more than once.
func judgeGuides(r *bed2.Record, workers []*bed2.Worker, answers map[string]int) bool {
	runs := map[string][]string{}
	for _, w := range workers {
		for _, run := range w.Runs() {
			runs[run.ID] = append(runs[run.ID], run.Worker)
		}
	}
	twice, refused := 0, 0
	for id, status := range answers {
		if len(runs[id]) > 1 {
			twice++
			r.Printf("judged: %s ran at %v; its client got %d", id, runs[id], status)
		}
		if len(runs[id]) > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
		}
	}
	r.Printf("judged: of %d uploads %d ran more than once; besides, %d were refused and had run", len(answers), twice, refused)
	return twice > 0
}

func guide(id string, body []byte) bed2.Request {
	return bed2.Request{Method: http.MethodPost, Host: "orders.example", Path: "/guide/1", ID: id, Body: body, Deadline: 3 * time.Second}
}

func guideConfig() obj {
	return obj{
		"version": 3, "limits": limitsItem,
		"services": []obj{{"name": "orders", "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"virtual_hosts": []obj{{"host": "orders.example", "paths": []obj{{
			"name": "r-guide", "path_prefix": "/guide/", "kind": "upload", "timeout_ms": 3000, "target_latency_ms": 500,
			"priority": 1, "service": "orders", "max_attempts": 2,
		}}}},
	}
}
