package main

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/comfreygate/comfreygate/review/bed2"
)

func init() { cases["nested"] = nestedCallAfterSIGTERM }

// Times of the case, from the SIGTERM on.
const (
	graceTime     = 6 * time.Second
	orderSent     = 1 * time.Second
	checkSent     = 4700 * time.Millisecond
	checkWork     = 600 * time.Millisecond
	checkDeadline = time.Second
	// orderRest is how long the worker of the order works once it has the answer to its call.
	orderRest = 50 * time.Millisecond
)

// nestedCallAfterSIGTERM stops a daemon while its worker is at work on an order that makes a call of
// its own late. The order has come from another machine, which is not stopped. The call must be
// refused, or answered by its worker.
func nestedCallAfterSIGTERM(r *bed2.Record, trouble bool) (bool, error) {
	d, err := bed2.New(r, bed2.Config{
		Zones: []string{"ikeja", "lekki", "yaba"}, LinkMbps: 100, MemoryMB: 536, HeartbeatMs: 900, Bounds: bounds(nil),
	})
	if err != nil {
		return false, err
	}
	defer d.Close()
	if _, err := d.WriteConfig(nestedConfig()); err != nil {
		return false, err
	}
	front, err := d.AddMachine("front", "ikeja", "tickets")
	if err != nil {
		return false, err
	}
	back, err := d.AddMachine("back", "ikeja", "orders")
	if err != nil {
		return false, err
	}
	stop := make(chan time.Time, 1)
	calls := make(chan bed2.Answer, 1)
	worker, err := front.StartWorker("i-front", 12, func(ctx context.Context, w *bed2.Worker, req *http.Request, _ []byte) (int, []byte) {
		if req.Header.Get("X-Request-Id") != "order" {
			return http.StatusOK, []byte("done")
		}
		time.Sleep(time.Until((<-stop).Add(checkSent)))
		return orderWithCall(ctx, w, calls)
	})
	if err != nil {
		return false, err
	}
	defer worker.Stop()
	other, err := back.StartWorker("i-back", 12, answerAfter(checkWork))
	if err != nil {
		return false, err
	}
	defer other.Stop()
	if err := d.AwaitReady(); err != nil {
		return false, err
	}
	for _, at := range []struct{ host, path string }{{"tickets.example", "/order/1"}, {"orders.example", "/check/1"}} {
		if err := awaitServed(d, bed2.Request{Method: http.MethodGet, Host: at.host, Path: at.path, Deadline: checkDeadline}); err != nil {
			return false, err
		}
	}
	stopped := time.Now()
	if trouble {
		r.Printf("trouble: the platform stops the daemon of %s", front.Name)
		front.Signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, front.Kill) // as the platform does after grace_s
	}
	stop <- stopped
	time.Sleep(time.Until(stopped.Add(orderSent)))
	go back.Send(bed2.Request{Method: http.MethodPost, Host: "tickets.example", Path: "/order/1", ID: "order", Body: []byte("order"), Deadline: 10 * time.Second})
	var call bed2.Answer
	select {
	case call = <-calls:
	case <-time.After(10 * time.Second):
		return false, errors.New("the worker made no call")
	}
	time.Sleep(time.Until(stopped.Add(graceTime + time.Second)))
	return judgeCall(r, stopped, call, other.Runs()), nil
}

// orderWithCall makes the call of the order and answers the order: with 500 if the call fails.
func orderWithCall(ctx context.Context, w *bed2.Worker, calls chan<- bed2.Answer) (status int, answer []byte) {
	got := make(chan bed2.Answer, 1)
	go func() {
		a := w.Machine.Send(bed2.Request{Method: http.MethodGet, Host: "orders.example", Path: "/check/1", ID: "order.1", Deadline: checkDeadline})
		calls <- a
		got <- a
	}()
	select {
	case a := <-got:
		if !a.FromWorker() {
			return http.StatusInternalServerError, []byte("the call has failed")
		}
	case <-ctx.Done():
		return http.StatusGatewayTimeout, []byte("too late")
	}
	time.Sleep(orderRest)
	return http.StatusOK, []byte("done")
}

// judgeCall reports whether the call was passed on to its worker and broken off: it has no complete
// answer, or one of the daemon's own instead of the worker's.
func judgeCall(r *bed2.Record, stopped time.Time, call bed2.Answer, runs []bed2.Run) bool {
	ran := false
	for _, run := range runs {
		ran = ran || run.ID == "order.1"
	}
	r.Printf("judged: the call was sent %d ms after the SIGTERM with a deadline of %v; run %t; got: %v",
		call.Sent.Sub(stopped).Milliseconds(), checkDeadline, ran, call)
	return ran && !call.FromWorker()
}

func nestedConfig() obj {
	service := func(name string) obj {
		return obj{"name": name, "health_path": "/health", "max_connections": 600, "protocol": "h1", "tls": false}
	}
	route := func(name, prefix, kind, service string, timeoutMs, targetMs int) obj {
		return obj{"name": name, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": targetMs, "priority": 1, "service": service, "max_attempts": 2}
	}
	return obj{
		"version": 3, "limits": limitsItem, "services": []obj{service("tickets"), service("orders")},
		"virtual_hosts": []obj{
			{"host": "tickets.example", "paths": []obj{route("r-order", "/order/", "unsafe", "tickets", 10_000, 1500)}},
			{"host": "orders.example", "paths": []obj{route("r-check", "/check/", "safe", "orders", 1000, 300)}},
		},
	}
}
