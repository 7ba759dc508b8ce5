package agent

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/platform/store"
)

const (
	// tickEvery is the longest time between ticks. Inputs bring the next one
	// forward.
	tickEvery = 200 * time.Millisecond
	// batchMax bounds the inputs of one tick.
	batchMax = 512
	// readWait is how long a read waits at the log for a new record. Together
	// with the log's timeout it bounds how long a reader can hang on a
	// connection that has gone silent. The longer, the fewer reads by those
	// who poll while they know nobody: at 2 s a start of 120 daemons that
	// took 12 s beside other work caused 614.
	readWait = 5 * time.Second
	// readRetry is the pause after a read that failed.
	readRetry = 500 * time.Millisecond
	// publishRetry is the mean pause before addresses are left on the store
	// again after a failure; half to one and a half of it, so that daemons
	// do not return together.
	publishRetry = time.Second
	// seedsMax bounds the addresses taken from the log, the newest first.
	seedsMax = 64
)

// inspect runs a function between ticks.
type inspect struct {
	run  func(*table.World)
	done chan struct{}
}

// Inspect calls run with the tables while no tick runs. It must not keep
// references to them. False: the daemon has stopped.
func (a *Agent) Inspect(run func(*table.World)) bool {
	in := inspect{run: run, done: make(chan struct{})}
	a.input(in)
	select {
	case <-in.done:
		return true
	case <-a.stop.Done():
		return false
	}
}

// nothing is inspected only to wait until the inputs so far are in force.
func nothing(*table.World) {}

// loop runs the ticks. It alone touches the tables.
func (a *Agent) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []system.Input
		var inspections []inspect
		select {
		case in := <-a.inputs:
			batch, inspections = a.drain(in)
		case <-timer.C:
		case <-a.stop.Done():
			return
		}
		a.tick(batch)
		for _, i := range inspections {
			i.run(a.world)
			close(i.done)
		}
		timer.Reset(a.untilNext())
	}
}

// drain returns the inputs that wait now. Inspections are run after the tick,
// so that they see what was put in before them.
func (a *Agent) drain(first system.Input) (batch []system.Input, inspections []inspect) {
	for in, more := first, true; more && len(batch) < batchMax; {
		if i, ok := in.(inspect); ok {
			inspections = append(inspections, i)
		} else {
			batch = append(batch, in)
		}
		select {
		case in = <-a.inputs:
		default:
			more = false
		}
	}
	return batch, inspections
}

// untilNext returns the time to the next tick if nothing arrives.
func (a *Agent) untilNext() time.Duration {
	next := tickEvery
	for _, due := range []time.Time{a.world.Outgoing.Due, a.pushDue(), a.viewDue()} {
		if !due.IsZero() {
			next = min(next, max(0, time.Until(due)))
		}
	}
	return next
}

func (a *Agent) viewDue() time.Time {
	if !a.world.ViewSoon {
		return time.Time{}
	}
	return a.world.ViewAfter
}

func (a *Agent) pushDue() time.Time {
	if !a.world.Config.PushDirty {
		return time.Time{}
	}
	return a.world.Config.NextPush
}

func (a *Agent) tick(batch []system.Input) {
	a.world.Boot = boottime.Now()
	out := system.Tick(a.world, time.Now(), batch)
	if out.Refresh {
		a.install(view.Build(a.world, a.view))
	}
	if a.view != nil && a.view.Version >= a.world.Config.State.Version {
		a.ingress.Vouch(out.Stamp)
	}
	a.configMetrics.update(a.world)
	for _, e := range out.Events {
		a.configMetrics.count(e)
		a.note(e)
	}
	for _, s := range out.Sends {
		a.transport.Send(s)
	}
	for _, id := range out.Closes {
		a.transport.Close(id)
	}
	for _, d := range out.Dials {
		a.transport.Dial(d)
	}
	a.commands.settle(a.world.Config.State)
	a.useLog(out)
	a.useQuarantine(out)
	a.useRollouts(out)
}

// note keeps an event and logs the ones an operator should see.
func (a *Agent) note(e event.Event) {
	a.events.Add(e)
	level := a.logger.Debug()
	switch e.Kind {
	case event.Alarm:
		level = a.logger.Error()
	case event.LogDown, event.DocumentRefused, event.LinkLost, event.UpstreamGone, event.Quarantined, event.RolloutStopped, event.RolloutRefused, event.ConfigStale:
		level = a.logger.Warn()
	case event.CommandAccepted, event.CommandRejected, event.Applied, event.LogUp, event.UpstreamUp, event.UpstreamDraining,
		event.Rollout, event.DocumentRead, event.MemberUp, event.MemberLapsed, event.ParentChanged, event.RootChanged, event.ConfigFresh:
		level = a.logger.Info()
	}
	level.Str("step", string(e.Kind)).Str("peer", e.Peer).Str("service", e.Service).
		Uint64("version", e.Version).Str("request", e.Request).Msg(e.Detail)
}

// useLog does what a tick wants of the platform's log, in the background.
func (a *Agent) useLog(out system.Outbox) {
	if out.ReadLog && a.source != nil {
		if a.reading.CompareAndSwap(false, true) {
			go a.readDocument(out.ReadWait)
		}
	} else if out.ReadLog && !time.Now().Before(out.ReadAfter) && a.reading.CompareAndSwap(false, true) {
		go a.readLog(out.ReadFrom)
	}
	if out.Append != nil {
		go a.appendLog(store.ConfigTopic, out.Append)
	}
	if out.PublishSelf {
		go a.publishSelf()
	}
	if out.FindSeeds {
		go a.findSeeds()
	}
}

func (a *Agent) readLog(from uint64) {
	asked := boottime.Now()
	batch, err := a.log.Read(a.stop, store.Query{Topic: store.ConfigTopic, From: from, Wait: readWait})
	if err != nil {
		sleep(a.stop, readRetry)
	}
	a.reading.Store(false)
	a.input(system.LogRead{From: from, Batch: batch, Err: err, Asked: asked})
}

// readDocument waits for a document later than the last one read.
func (a *Agent) readDocument(wait time.Duration) {
	asked := boottime.Now()
	doc, orders, err := a.source.Next(a.stop, wait)
	if err != nil {
		sleep(a.stop, readRetry)
	}
	a.reading.Store(false)
	if len(orders) > 0 {
		a.input(system.Ordered{Orders: orders})
	}
	a.input(system.DocumentRead{Document: doc, Err: err, Asked: asked})
}

func (a *Agent) appendLog(topic string, data []byte) {
	// use has logged a failure; the tick that wanted the record asks again.
	_ = a.use("append", func(ctx context.Context) error {
		_, err := a.log.Append(ctx, topic, data)
		return err
	})
}

// use makes one call to the store and logs its failure.
func (a *Agent) use(step string, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(a.stop, time.Duration(a.settings.Log.Timeout))
	defer cancel()
	err := call(ctx)
	if err != nil {
		a.logger.Warn().Str("step", step).Str("peer", a.settings.Log.URL).Err(err).Msg("call to the store failed")
	}
	return err
}

// address is a record of the members topic.
type address struct {
	Peer string `json:"peer"`
}

func (a *Agent) publishSelf() {
	data, err := json.Marshal(address{Peer: a.self.Peer})
	if err != nil {
		a.logger.Error().Str("step", "publish addresses").Err(err).Msg("not published")
		return
	}
	for a.stop.Err() == nil {
		err := a.use("publish addresses", func(ctx context.Context) error {
			return a.log.AppendKeyed(ctx, store.MemberTopic, a.settings.VM, data)
		})
		if err == nil {
			return
		}
		sleep(a.stop, publishRetry/2+rand.N(publishRetry))
	}
}

// findSeeds looks on the log for daemons that have left their addresses.
func (a *Agent) findSeeds() {
	var newest store.Newest
	err := a.use("find daemons", func(ctx context.Context) (err error) {
		newest, err = a.log.Newest(ctx, store.MemberTopic)
		return err
	})
	if err != nil {
		return
	}
	a.input(system.SelfListed{Listed: a.listed(newest.Entries), Others: len(newest.Entries)})
	if addrs := addresses(newest.Entries, a.logger); len(addrs) > 0 {
		a.input(system.SeedsFound{Addrs: addrs})
	}
}

// listed reports whether this daemon's record is among the entries.
func (a *Agent) listed(entries []store.Entry) bool {
	return slices.ContainsFunc(entries, func(e store.Entry) bool {
		var rec address
		return e.Key == a.settings.VM && json.Unmarshal(e.Data, &rec) == nil && rec.Peer == a.self.Peer
	})
}

// addresses returns the addresses that daemons have left, the newest first.
func addresses(entries []store.Entry, logger zerolog.Logger) []string {
	slices.SortFunc(entries, func(x, y store.Entry) int { return cmp.Compare(y.Offset, x.Offset) })
	addrs := known(entries, logger, "find daemons", "addresses", func(e store.Entry) (string, bool) {
		var rec address
		err := json.Unmarshal(e.Data, &rec)
		return rec.Peer, err == nil && rec.Peer != ""
	})
	return addrs[:min(len(addrs), seedsMax)]
}
