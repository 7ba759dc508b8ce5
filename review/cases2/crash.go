package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/comfreygate/comfreygate/review/bed2"
)

func init() {
	cases["crash"] = answerOfACrashedWorker
	runWorker = serveWorker
}

// Figures of the case.
const (
	statementBytes = 200_000
	statementTime  = 400 * time.Millisecond
	crashAfter     = 200 * time.Millisecond
	crashes        = 4
	crashedFor     = 2 * time.Second
)

// answerOfACrashedWorker ends a worker with SIGKILL in the middle of an answer that has no length. What
// the client gets must not look like the whole answer.
func answerOfACrashedWorker(r *bed2.Record, trouble bool) (bool, error) {
	d, err := bed2.New(r, bed2.Config{
		Zones: []string{"ikeja", "lekki", "yaba"}, LinkMbps: 1000, MemoryMB: 284, HeartbeatMs: 870, Bounds: bounds(nil),
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	if _, err := d.WriteConfig(crashConfig()); err != nil {
		return false, err
	}
	// The worker of "orders" is beside another daemon than the one that its clients use.
	desk, err := d.AddMachine("desk", "ikeja", "tickets")
	if err != nil {
		return false, err
	}
	keep, err := d.AddMachine("keep", "ikeja", "orders")
	if err != nil {
		return false, err
	}
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	false200 := 0
	for n := range crashes {
		worker, err := startWorker(r, keep, fmt.Sprint("i-keep", n))
		if err != nil {
			return false, err
		}
		if err := awaitServed(d, statement("")); err != nil {
			worker.stop()
			return false, err
		}
		if trouble {
			time.AfterFunc(crashAfter, worker.crash)
		}
		id := fmt.Sprint("statement", n)
		a := desk.Send(statement(id))
		want := statementFor(id)
		whole := a.FromWorker() && a.Status == http.StatusOK && bytes.Equal(a.Body, want)
		looksWhole := a.FromWorker() && a.Status == http.StatusOK
		r.Printf("judged: %s looks like a complete answer: %t; it is the worker's whole body of %d bytes: %t", id, looksWhole, len(want), whole)
		if looksWhole && !whole {
			false200++
		}
		if !trouble && !whole {
			worker.stop()
			return false, errNotServed
		}
		worker.stop()
		time.Sleep(crashedFor)
	}
	r.Printf("judged: %d of %d answers were cut and looked complete", false200, crashes)
	return false200 > 0, nil
}

// workerProcess is a worker in a process of its own.
type workerProcess struct {
	r   *bed2.Record
	id  string
	cmd *exec.Cmd
}

func startWorker(r *bed2.Record, m *bed2.Machine, id string) (*workerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &workerProcess{r: r, id: id, cmd: exec.Command(self, workerCommand, m.WorkerAddr, m.Control, m.Service, m.Zone, id)}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	bed2.Started(p.cmd.Process)
	r.Printf("worker %s started in a process of its own", id)
	return p, nil
}

// crash ends the worker with SIGKILL.
func (p *workerProcess) crash() {
	p.r.Printf("trouble: worker %s crashes (SIGKILL)", p.id)
	// An error means that it has ended.
	_ = p.cmd.Process.Kill()
}

func (p *workerProcess) stop() {
	_ = p.cmd.Process.Kill()
	err := p.cmd.Wait()
	p.r.Printf("worker %s has ended: %v", p.id, err)
}

// serveWorker is runWorker. Its arguments are ADDR CONTROL SERVICE ZONE ID.
func serveWorker(args []string) int {
	const wantArgs = 5
	if len(args) != wantArgs {
		return 2
	}
	r, err := bed2.NewRecord(os.DevNull)
	if err != nil {
		return 2
	}
	w := &bed2.Worker{
		ID: args[4], Slots: 12, Unframed: statementTime,
		Machine: bed2.MachineOf(r, args[0], args[1], args[2], args[3], 870),
		Work: func(_ context.Context, _ *bed2.Worker, req *http.Request, _ []byte) (int, []byte) {
			return http.StatusOK, statementFor(req.Header.Get("X-Request-Id"))
		},
	}
	if err := w.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.Sleep(2 * time.Minute) // its parent ends it before
	return 0
}

func statementFor(id string) []byte {
	line := "statement of " + id + "\n"
	return []byte(strings.Repeat(line, statementBytes/len(line)+1)[:statementBytes])
}

func statement(id string) bed2.Request {
	return bed2.Request{Method: http.MethodGet, Host: "orders.example", Path: "/statement/1", ID: id, Deadline: 3 * time.Second}
}

func crashConfig() obj {
	service := func(name string) obj {
		return obj{"name": name, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}
	}
	return obj{
		"version": 3, "limits": limitsItem, "services": []obj{service("tickets"), service("orders")},
		"virtual_hosts": []obj{{"host": "orders.example", "paths": []obj{{
			"name": "r-statement", "path_prefix": "/statement/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 1500,
			"priority": 1, "service": "orders", "max_attempts": 2,
		}}}},
	}
}
