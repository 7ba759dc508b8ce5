// Command cases runs a case of the second review: cases NAME RECORD. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it runs
// without the disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/comfreygate/comfreygate/review/bed2"
)

// testCase runs a case and reports whether the rule was broken.
type testCase func(r *bed2.Record, trouble bool) (broken bool, err error)

// cases are the cases by name. Each file adds its own.
var cases = map[string]testCase{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) > 1 && os.Args[1] == workerCommand && runWorker != nil {
		return runWorker(os.Args[2:])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return 2
	}
	r, err := bed2.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.Close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		bed2.KillAll()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.Printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		r.Printf("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	r.Printf("the rule held")
	fmt.Println("held")
	return 0
}

// workerCommand runs a worker in a process of its own, with runWorker.
const workerCommand = "worker"

var runWorker func(args []string) int

var errNotServed = errors.New("the deployment does not serve")

// awaitServed sends a request to each machine until all of them answer with the worker's 200.
func awaitServed(d *bed2.Deployment, req bed2.Request) error {
	deadline := time.Now().Add(20 * time.Second)
	for n := 0; ; n++ {
		served := 0
		for _, m := range d.Machines {
			probe := req
			probe.ID = fmt.Sprintf("ready%s%d", m.Name, n)
			if a := m.Send(probe); a.FromWorker() {
				served++
			}
		}
		if served == len(d.Machines) {
			return nil
		}
		if time.Now().After(deadline) {
			return errNotServed
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// obj is a JSON object.
type obj = map[string]any

// limitsItem are the limits that the users' pages show for callers.
var limitsItem = obj{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// bounds returns the bounds of the grown sites, with more of them added.
func bounds(more obj) obj {
	b := obj{
		"contact_ms": 3000, "ack_ms": 5000, "drain_ms": 2500, "grace_s": 6, "lost_ms": 200, "config_ms": 2500,
		"outer_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 170, "recovery_s": 15,
	}
	for name, value := range more {
		b[name] = value
	}
	return b
}

// answerAfter returns the work of a worker that answers after a time.
func answerAfter(took time.Duration) func(context.Context, *bed2.Worker, *http.Request, []byte) (int, []byte) {
	return func(ctx context.Context, _ *bed2.Worker, r *http.Request, _ []byte) (int, []byte) {
		select {
		case <-time.After(took):
			return http.StatusOK, []byte("done " + r.Header.Get("X-Request-Id"))
		case <-ctx.Done():
			return http.StatusGatewayTimeout, []byte("too late")
		}
	}
}
