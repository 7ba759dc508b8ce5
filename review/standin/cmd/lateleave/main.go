// Command lateleave plays a worker that leaves, a daemon that is killed after it has
// acknowledged that, and a heartbeat of before that arrives late. With TROUBLE=0 the daemon
// isn't killed and no heartbeat is late.
package main

import (
	"os"
	"time"

	"comfreygate.review/standin/bed"
)

const (
	// late is how late the heartbeat arrives, stay is how long the worker goes on serving after
	// the acknowledgement.
	late = 2500 * time.Millisecond
	stay = 6500 * time.Millisecond
	work = 300 * time.Millisecond
)

func main() { os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func play(record, bin string, trouble bool) int {
	b := bed.New(record, bin, []string{"ikeja", "lekki", "yaba"})
	defer b.Close()
	b.Configure(7)
	for i, v := range b.VMs {
		v.StartDaemon()
		v.StartWorker([]string{"i-aaaa0001", "i-bbbb0001", "i-cccc0001"}[i], work)
	}
	b.AwaitReady()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	wait := b.Load(12, stop)
	time.Sleep(4 * time.Second)

	leaver := b.VMs[0]
	if trouble {
		leaver.Proxy.HoldNext()
	}
	heldAt := time.Now()
	leaver.Worker.Tell("delete")
	leaver.Worker.AwaitDeleted(b)
	if trouble {
		time.Sleep(200 * time.Millisecond)
		leaver.KillDaemon()
		time.Sleep(500 * time.Millisecond)
		leaver.StartDaemon()
		time.Sleep(time.Until(heldAt.Add(late)))
		leaver.Proxy.Release()
	}
	time.Sleep(time.Until(leaver.Worker.DeletedAt.Add(stay)))
	b.Note("worker %s ends", leaver.Worker.ID)
	leaver.Worker.Kill()
	time.Sleep(3 * time.Second)
	close(stop)
	wait()
	return judge(b, leaver)
}

// judge counts the requests that break DRAIN: those that reach the worker later than drain_ms
// after the acknowledgement, sent when the machine that took the request and the one that sent
// it on, the worker's, were in touch.
func judge(b *bed.Bed, leaver *bed.VM) int {
	acknowledged := leaver.Worker.DeletedAt
	inTouch := func(v *bed.VM, at time.Time) bool { return at.After(v.StartedAt.Add(bed.Contact)) }
	after, broken, lost := 0, 0, 0
	for _, r := range b.Requests() {
		for i, by := range r.RunBy {
			if by != leaver.Worker.ID || !r.RunAt[i].After(acknowledged.Add(bed.DrainFor)) {
				continue
			}
			after++
			if inTouch(r.VM, r.SentAt) && inTouch(leaver, r.SentAt) {
				broken++
				if r.Kind == "unsafe" && r.Status != 200 {
					lost++
				}
			}
		}
	}
	b.Note("requests that reached the worker later than drain_ms after the acknowledgement: %d; by machines in touch: %d; of these unsafe, run and not answered by it: %d", after, broken, lost)
	if broken > 0 {
		b.Note("DRAIN is broken")
		return bed.Broken
	}
	b.Note("DRAIN held")
	return bed.Held
}
