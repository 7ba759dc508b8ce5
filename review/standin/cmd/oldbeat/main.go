// Command oldbeat plays a final fault, after which heartbeats of workers that have crashed in it
// arrive late. With TROUBLE=0 there is no final fault and no heartbeat is late; with
// TROUBLE=fault there is the final fault only; with TROUBLE=crash only the workers crash, are
// down for longer than their entries last, and heartbeats of before arrive late.
package main

import (
	"fmt"
	"os"
	"time"

	"comfreygate.review/standin/bed"
)

const (
	// down is how long all machines are without power, late how long after their return the
	// heartbeats of before arrive, and measured how long the recovery is measured.
	down     = 2 * time.Second
	late     = 3 * time.Second
	measured = 8 * time.Second
	// crashDown is how long the workers are down with TROUBLE=crash.
	crashDown = 8 * time.Second
	work      = 100 * time.Millisecond
)

func main() { os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE"))) }

func play(record, bin, trouble string) int {
	b := bed.New(record, bin, []string{"ikeja", "lekki", "yaba"})
	defer b.Close()
	b.Configure(7)
	for i, v := range b.VMs {
		v.StartDaemon()
		v.StartWorker(fmt.Sprintf("i-0ld%05d", i+1), work)
	}
	b.AwaitReady()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	wait := b.Load(10, stop)
	time.Sleep(5 * time.Second)

	if trouble != "0" && trouble != "fault" {
		for _, v := range b.VMs {
			v.Proxy.HoldNext()
		}
	}
	faultAt := time.Now()
	b.Configure(8)
	switch trouble {
	case "0":
	case "crash":
		crashWorkers(b)
	default:
		loseAllPower(b)
	}
	backAt := time.Now()
	time.Sleep(late)
	if trouble != "0" && trouble != "fault" {
		for _, v := range b.VMs {
			v.Proxy.Release()
		}
	}
	time.Sleep(time.Until(backAt.Add(bed.Recovery + measured)))
	close(stop)
	wait()
	return judge(b, faultAt, backAt)
}

// loseAllPower ends all daemons and workers at once and starts them again. The workers have new
// ids.
func loseAllPower(b *bed.Bed) {
	for _, v := range b.VMs {
		v.KillDaemon()
		v.Worker.Kill()
		b.Note("worker %s killed", v.Worker.ID)
	}
	time.Sleep(down)
	for _, v := range b.VMs {
		v.StartDaemon()
	}
	startWorkersAnew(b)
}

func crashWorkers(b *bed.Bed) {
	for _, v := range b.VMs {
		v.Worker.Kill()
		b.Note("worker %s killed", v.Worker.ID)
	}
	time.Sleep(crashDown)
	startWorkersAnew(b)
}

func startWorkersAnew(b *bed.Bed) {
	for i, v := range b.VMs {
		v.StartWorker(fmt.Sprintf("i-new%05d", i+1), work)
	}
}

// judge compares the part that was served before the final fault with that of the requests
// sent later than recovery_s after the return of the machines.
func judge(b *bed.Bed, faultAt, backAt time.Time) int {
	var before, after share
	for _, r := range b.Requests() {
		switch {
		case r.SentAt.Before(faultAt.Add(-time.Second)):
			before.count(r)
		case r.SentAt.After(backAt.Add(bed.Recovery)):
			after.count(r)
		}
	}
	b.Note("served before the final fault: %d of %d; later than recovery_s after the return: %d of %d", before.served, before.sent, after.served, after.sent)
	if 4*before.served >= before.sent && 4*after.served < after.sent {
		b.Note("RECOVER is broken")
		return bed.Broken
	}
	b.Note("RECOVER held")
	return bed.Held
}

type share struct{ sent, served int }

func (s *share) count(r *bed.Request) {
	s.sent++
	if r.Status == 200 && r.Signed {
		s.served++
	}
}
