// Command extrabytes plays a faulty worker that sends additional bytes after complete answers.
// With TROUBLE=0 the worker is sound. With TROUBLE=shed the bytes look like the answer of a worker
// that sheds, and TWICE is judged in place of REFUSED.
package main

import (
	"fmt"
	"os"
	"time"

	"comfreygate.review/standin/bed"
)

const (
	// part is the part of its answers after which the faulty worker, one of three, sends
	// additional bytes: no more than in the site file's days (share 0.6, x 0.03).
	part     = 0.03
	work     = 100 * time.Millisecond
	measured = 25 * time.Second
)

func main() { os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE"))) }

func play(record, bin, trouble string) int {
	b := bed.New(record, bin, []string{"ikeja", "lekki", "yaba"})
	defer b.Close()
	b.Configure(7)
	for i, v := range b.VMs {
		v.StartDaemon()
		var flags []string
		if i == 0 && trouble != "0" {
			flags = []string{"-extra", fmt.Sprint(part)}
		}
		if i == 0 && trouble == "shed" {
			flags = append(flags, "-shed")
		}
		v.StartWorker(fmt.Sprintf("i-aaaa%04d", i+1), work, flags...)
	}
	b.AwaitReady()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	wait := b.Load(20, stop)
	time.Sleep(measured)
	close(stop)
	wait()
	if trouble == "shed" {
		return judgeTwice(b)
	}
	return judge(b)
}

// judgeTwice counts the requests that break TWICE: not idempotent, and run more than once.
func judgeTwice(b *bed.Bed) int {
	broken := 0
	for _, r := range b.Requests() {
		if r.Kind == "unsafe" && len(r.RunAt) > 1 {
			broken++
			b.Note("request %s ran at %v", r.ID, r.RunBy)
		}
	}
	b.Note("unsafe requests that ran more than once: %d", broken)
	if broken > 0 {
		b.Note("TWICE is broken")
		return bed.Broken
	}
	b.Note("TWICE held")
	return bed.Held
}

// judge counts the requests that break REFUSED: not idempotent, answered with a status that
// promises that they have not run, and run.
func judge(b *bed.Bed) int {
	refused, broken := 0, 0
	for _, r := range b.Requests() {
		promise := r.Status == 429 || r.Status == 503 || r.Status == 408 || r.Status == 421
		if r.Kind != "unsafe" || !promise {
			continue
		}
		refused++
		if len(r.RunAt) > 0 {
			broken++
			b.Note("request %s was answered %d, and ran at %v", r.ID, r.Status, r.RunBy)
		}
	}
	b.Note("unsafe requests that were told that they have not run: %d; of these run: %d", refused, broken)
	if broken > 0 {
		b.Note("REFUSED is broken")
		return bed.Broken
	}
	b.Note("REFUSED held")
	return bed.Held
}
