// Command leavers plays a request that crashes each worker that begins to run it, and that comes
// again and again. Its client leaves before the crash. With TROUBLE=0 the client waits.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"comfreygate.review/standin/bed"
)

const (
	// patience is when the client leaves: half the objective of the route.
	patience = 250 * time.Millisecond
	// copies is how often the request comes, interval the time between two of them, and back how
	// long a crashed worker is gone.
	copies   = 14
	interval = 2500 * time.Millisecond
	back     = 2 * time.Second
	work     = 100 * time.Millisecond
	// mostRetries is how many retries may reach workers after the third crash and contact_ms.
	mostRetries = 3
)

func main() { os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func play(record, bin string, trouble bool) int {
	b := bed.New(record, bin, []string{"ikeja", "lekki", "yaba"})
	defer b.Close()
	b.Configure(7)
	for i, v := range b.VMs {
		v.StartDaemon()
		go keepWorker(v, i+1)
	}
	b.AwaitReady()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	wait := b.Load(10, stop)
	time.Sleep(2 * time.Second)
	waits := patience
	if !trouble {
		waits = bed.ClientWaits
	}
	for i := range copies {
		b.SendTo(b.VMs[i%len(b.VMs)], "poison", http.MethodGet, "/lohu930/poison", waits)
		time.Sleep(interval)
	}
	close(stop)
	wait()
	return judge(b)
}

// keepWorker runs the worker of a VM, and starts it anew, with a new id, after each crash.
func keepWorker(v *bed.VM, number int) {
	for n := 1; ; n++ {
		w := v.StartWorker(fmt.Sprintf("i-%04x%04x", number, n), work)
		<-w.Ended
		time.Sleep(back)
	}
}

// judge counts the copies of the request that reach workers later than contact_ms after the third
// crash. No daemon is disturbed, so that all machines are in touch all the while.
func judge(b *bed.Bed) int {
	crashes, runs, late, lost := 0, 0, 0, 0
	var third time.Time
	for _, r := range b.Requests() {
		if r.Kind != "poison" {
			if r.Kind == "unsafe" && len(r.RunAt) > 0 && r.Status != http.StatusOK {
				lost++
			}
			continue
		}
		runs += len(r.RunAt)
		if !third.IsZero() && r.SentAt.After(third.Add(bed.Contact)) && len(r.RunAt) > 0 {
			late++
		}
		if !r.CrashedAt.IsZero() {
			crashes += len(r.RunAt)
		}
		if crashes >= 3 && third.IsZero() {
			third = r.CrashedAt
		}
	}
	b.Note("copies of the request: %d; runs, each of which crashed a worker: %d; copies that reached a worker later than contact_ms after the third crash: %d; unsafe requests of others that a worker had begun to run and that failed: %d", copies, runs, late, lost)
	if late > mostRetries {
		b.Note("BUDGET is broken")
		return bed.Broken
	}
	b.Note("BUDGET held")
	return bed.Held
}
