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
	// maxTickInterval is the longest time between ticks. An input triggers a tick at once.
	maxTickInterval = 200 * time.Millisecond
	// maxBatch bounds the inputs of one tick.
	maxBatch = 512
	// logReadWait is how long a read waits at the log for a new record (long polling). Together
	// with the log's timeout it bounds how long a reader can block on a connection that has
	// stalled. A longer wait means fewer reads by daemons that poll while they have no peers: at
	// 2 s, a start of 120 daemons that took 12 s on a busy machine caused 614 reads.
	logReadWait = 5 * time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 500 * time.Millisecond
	// publishRetryDelay is the mean delay before a failed publication of this daemon's address
	// is retried. The delay is drawn from 0.5 to 1.5 times this value, so that daemons do not
	// retry at the same time.
	publishRetryDelay = time.Second
	// maxSeeds bounds the peer addresses used from the log. The newest are used.
	maxSeeds = 64
)

// inspection is an input that runs a function between ticks.
type inspection struct {
	run  func(*table.World)
	done chan struct{}
}

// Inspect calls run with the entity tables between two ticks, after the inputs that were
// queued before have been applied. The function run must not keep references to the tables.
// Inspect returns false if the daemon has stopped.
func (a *Agent) Inspect(run func(*table.World)) bool {
	in := inspection{run: run, done: make(chan struct{})}
	a.input(in)
	select {
	case <-in.done:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// noop is passed to Inspect to wait until the inputs queued so far have been applied.
func noop(*table.World) {}

// loop runs the ticks. Only this goroutine accesses the entity tables.
func (a *Agent) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []system.Input
		var inspections []inspection
		select {
		case in := <-a.inputs:
			batch, inspections = a.collectInputs(in)
		case <-timer.C:
		case <-a.ctx.Done():
			return
		}
		a.tick(batch)
		for _, i := range inspections {
			i.run(a.world)
			close(i.done)
		}
		timer.Reset(a.untilNextTick())
	}
}

// collectInputs returns the inputs that are queued now, up to maxBatch. Inspections are
// returned separately: they run after the tick, so that they see the effect of the inputs
// queued before them.
func (a *Agent) collectInputs(first system.Input) (batch []system.Input, inspections []inspection) {
	for in, more := first, true; more && len(batch) < maxBatch; {
		if i, ok := in.(inspection); ok {
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

// untilNextTick returns the time until the next tick if no input arrives.
func (a *Agent) untilNextTick() time.Duration {
	next := maxTickInterval
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
	a.noteReadsDone(batch)
	out := system.Tick(a.world, time.Now(), batch)
	if out.Refresh {
		a.install(view.Build(a.world, a.view))
	}
	if a.view != nil && a.view.Version >= a.world.Config.State.Version {
		a.ingress.SetFreshAt(out.FreshAt)
	}
	a.configMetrics.update(a.world)
	for _, e := range out.Events {
		a.configMetrics.countEvent(e)
		a.recordEvent(e)
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
	a.commands.update(a.world.Config.State)
	a.notifyDepartureWaiters()
	a.handleHealthChecks(out)
	a.handleDepartureRequests(out)
	a.handleLogRequests(out)
	a.handleQuarantineRequests(out)
	a.handleRolloutRequests(out)
}

// noteReadsDone clears the marks of the reads of the store whose results are in the batch.
func (a *Agent) noteReadsDone(batch []system.Input) {
	for _, in := range batch {
		switch in := in.(type) {
		case system.LogRead:
			a.readingConfig = a.readingConfig && in.ReadBack
		case system.DocumentRead:
			a.readingConfig = false
		case system.QuarantineRead:
			a.readingQuarantine = false
		}
	}
}

// recordEvent adds an event to the ring and logs it. Events that an operator should see are
// logged above the debug level.
func (a *Agent) recordEvent(e event.Event) {
	a.events.Add(e)
	level := a.logger.Debug()
	switch e.Kind {
	case event.Alarm:
		level = a.logger.Error()
	case event.LogDown, event.StoreRestored, event.DocumentRefused, event.LinkLost, event.UpstreamRemoved, event.Quarantined, event.RolloutStopped, event.RolloutRefused, event.ConfigStale:
		level = a.logger.Warn()
	case event.CommandAccepted, event.CommandRejected, event.Applied, event.LogUp, event.UpstreamUp, event.UpstreamDraining, event.AnnouncedLate, event.UpstreamPending,
		event.Rollout, event.DocumentRead, event.MemberUp, event.MemberLapsed, event.ParentChanged, event.RootChanged, event.ConfigFresh:
		level = a.logger.Info()
	}
	level.Str("step", string(e.Kind)).Str("peer", e.Peer).Str("service", e.Service).
		Uint64("version", e.Version).Str("request", e.Request).Msg(e.Detail)
}

// handleHealthChecks starts the health checks that a tick requested, in the background.
func (a *Agent) handleHealthChecks(out system.Outbox) {
	if a.healthChecker == nil {
		return
	}
	for _, c := range out.HealthChecks {
		go a.checkHealth(c)
	}
}

// handleLogRequests starts the log operations that a tick requested, in the background.
func (a *Agent) handleLogRequests(out system.Outbox) {
	if out.ReadLog && a.source != nil {
		if !a.readingConfig {
			a.readingConfig = true
			go a.readDocument(out.ReadWait)
		}
	} else if out.ReadLog && !time.Now().Before(out.ReadAfter) && !a.readingConfig {
		a.readingConfig = true
		go a.readLog(out.ReadFrom, out.ReadWithoutWait)
	}
	if out.ReadBack {
		go a.readBack(out.ReadFrom)
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

func (a *Agent) readLog(from uint64, withoutWait bool) {
	startedAt := boottime.Now()
	wait := logReadWait
	if withoutWait {
		wait = 0
	}
	batch, err := a.log.Read(a.ctx, store.Query{Topic: store.ConfigTopic, From: from, Wait: wait})
	a.noteStoreEpoch()
	if err != nil {
		sleep(a.ctx, readRetryDelay)
	}
	a.input(system.LogRead{From: from, Batch: batch, Err: err, StartedAt: startedAt})
}

// readBack reads what the log holds from an offset on, without waiting for more. It is only a
// second way to the records, so that an error counts as no outage of the log.
func (a *Agent) readBack(from uint64) {
	startedAt := boottime.Now()
	var batch store.Batch
	err := a.callStore("read back", func(ctx context.Context) (err error) {
		batch, err = a.log.Read(ctx, store.Query{Topic: store.ConfigTopic, From: from})
		return err
	})
	if err == nil {
		a.input(system.LogRead{From: from, Batch: batch, StartedAt: startedAt, ReadBack: true})
	}
}

// readDocument reads the next document from the source, waiting up to wait for one later than
// the last one read.
func (a *Agent) readDocument(wait time.Duration) {
	startedAt := boottime.Now()
	doc, orders, err := a.source.Next(a.ctx, wait)
	a.noteStoreEpoch()
	if err != nil {
		sleep(a.ctx, readRetryDelay)
	}
	if len(orders) > 0 {
		a.input(system.OrdersRead{Orders: orders})
	}
	a.input(system.DocumentRead{Document: doc, Err: err, StartedAt: startedAt})
}

func (a *Agent) appendLog(topic string, data []byte) {
	// callStore has logged an error. A later tick requests the append again.
	_ = a.callStore("append", func(ctx context.Context) error {
		_, err := a.log.Append(ctx, topic, data)
		return err
	})
}

// noteStoreEpoch tells the loop of a new epoch of the store.
func (a *Agent) noteStoreEpoch() {
	if epoch := a.log.Epoch(); a.storeEpoch.Swap(epoch) != epoch {
		a.input(system.StoreEpoch{Epoch: epoch})
	}
}

// callStore makes one call to the store, bounded by the store's timeout, and logs an error.
func (a *Agent) callStore(step string, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(a.ctx, time.Duration(a.settings.Log.Timeout))
	defer cancel()
	err := call(ctx)
	a.noteStoreEpoch()
	if err != nil {
		a.logger.Warn().Str("step", step).Str("peer", a.settings.Log.URL).Err(err).Msg("call to the store failed")
	}
	return err
}

// memberRecord is a record of the members topic: the address at which a daemon accepts peers.
type memberRecord struct {
	Peer string `json:"peer"`
	// Domain is the daemon's failure domain. Records of earlier builds have none.
	Domain string `json:"domain,omitempty"`
}

func (a *Agent) publishSelf() {
	data, err := json.Marshal(memberRecord{Peer: a.self.Peer, Domain: a.self.Domain})
	if err != nil {
		a.logger.Error().Str("step", "publish addresses").Err(err).Msg("daemon address could not be encoded; not published")
		return
	}
	for a.ctx.Err() == nil {
		err := a.callStore("publish addresses", func(ctx context.Context) error {
			return a.log.AppendKeyed(ctx, store.MemberTopic, a.settings.VM, data)
		})
		if err == nil {
			return
		}
		sleep(a.ctx, publishRetryDelay/2+rand.N(publishRetryDelay))
	}
}

// findSeeds reads the addresses that daemons have published on the log.
func (a *Agent) findSeeds() {
	var newest store.NewestRecords
	err := a.callStore("find daemons", func(ctx context.Context) (err error) {
		newest, err = a.log.Newest(ctx, store.MemberTopic)
		return err
	})
	if err != nil {
		return
	}
	a.input(system.SelfListed{Listed: a.selfListed(newest.Entries), Others: a.othersListed(newest.Entries)})
	if addrs := newestAddresses(newest.Entries, a.logger); len(addrs) > 0 {
		a.input(system.SeedsFound{Addrs: addrs, Domains: domainsByAddress(newest.Entries)})
	}
}

// selfListed reports whether the entries contain this daemon's record with its current address and
// failure domain.
func (a *Agent) selfListed(entries []store.Entry) bool {
	return slices.ContainsFunc(entries, func(e store.Entry) bool {
		var rec memberRecord
		return e.Key == a.settings.VM && json.Unmarshal(e.Data, &rec) == nil && rec == memberRecord{Peer: a.self.Peer, Domain: a.self.Domain}
	})
}

// othersListed returns how many entries are records of other daemons.
func (a *Agent) othersListed(entries []store.Entry) int {
	others := 0
	for _, e := range entries {
		if e.Key != a.settings.VM {
			others++
		}
	}
	return others
}

// newestAddresses returns the addresses that daemons have published, the newest first, up to
// maxSeeds.
func newestAddresses(entries []store.Entry, logger zerolog.Logger) []string {
	slices.SortFunc(entries, func(x, y store.Entry) int { return cmp.Compare(y.Offset, x.Offset) })
	addrs := decodeRecords(entries, logger, "find daemons", "addresses", func(e store.Entry) (string, bool) {
		var rec memberRecord
		err := json.Unmarshal(e.Data, &rec)
		return rec.Peer, err == nil && rec.Peer != ""
	})
	return addrs[:min(len(addrs), maxSeeds)]
}

// domainsByAddress returns the failure domains of the addresses that daemons have published.
// Records without a domain and malformed ones, which newestAddresses reports, are left out.
func domainsByAddress(entries []store.Entry) map[string]string {
	domains := map[string]string{}
	for _, e := range entries {
		var rec memberRecord
		if json.Unmarshal(e.Data, &rec) == nil && rec.Peer != "" && rec.Domain != "" {
			domains[rec.Peer] = rec.Domain
		}
	}
	return domains
}
