// Package system holds all control decisions of a daemon. They are systems that run over
// the entity tables at each tick, in a fixed order. A tick is given the time and the
// inputs that arrived since the last one, and returns the actions to take. It does no
// I/O, so tests can run any sequence of messages, losses and clock readings.
package system

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform/store"
)

// Opened reports that a control connection was dialed or accepted.
type Opened struct {
	Link   table.LinkID
	Dialed bool
	Probe  bool
	// Addr is the address dialed, "" if accepted.
	Addr string
}

// Closed reports that a connection was closed.
type Closed struct {
	Link   table.LinkID
	Reason string
}

// DialFailed reports that dialing an address failed.
type DialFailed struct {
	Addr   string
	Reason string
}

// Received is a message from a peer.
type Received struct {
	Link    table.LinkID
	Message wire.Message
}

// LogRead is the result of a read of the configuration stream that started at offset
// From, or its error.
type LogRead struct {
	From  uint64
	Batch store.Batch
	Err   error
	// StartedAt is the boot time at which the read began, or zero if it was not recorded.
	StartedAt time.Duration
	// ReadBack is set if Outbox.ReadBack requested the read.
	ReadBack bool
}

// ReadBack requests a read of the configuration stream beside the one that may be waiting at
// the log: a command that this daemon appended has not been read back.
type ReadBack struct{}

// Announced is an upstream's announcement to the daemon on its VM.
type Announced struct {
	Local table.Local
}

// Deregistered reports that an upstream is draining and takes no new calls.
type Deregistered struct{ ID string }

// Removed reports that an upstream's process is about to exit.
type Removed struct {
	// Name is the upstream's own name for itself on this VM.
	Name string
	// StartedMs is when the exiting incarnation began, or zero for the one in the table.
	StartedMs int64
}

// StoreEpoch carries the epoch that the store named in an answer.
type StoreEpoch struct{ Epoch uint64 }

// SeedsFound carries addresses of daemons that were read from the log.
type SeedsFound struct {
	Addrs []string
	// Domains holds the failure domains of addresses for which it is known.
	Domains map[string]string
}

// SelfListed reports whether the log lists this daemon's current addresses, and the
// number of other daemons listed there.
type SelfListed struct {
	Listed bool
	Others int
}

// Leave starts the graceful shutdown of this daemon.
type Leave struct{}

// Input is any of the types above.
type Input any

// Dial is a connection to open.
type Dial struct {
	Addr  string
	Probe bool
}

// Send is a message for a connection.
type Send struct {
	Link    table.LinkID
	Message wire.Message
}

// Outbox collects the actions of a tick. Sends are carried out before closes.
type Outbox struct {
	Sends  []Send
	Closes []table.LinkID
	Dials  []Dial
	Events []event.Event
	// ReadLog requests a read of the configuration stream from offset ReadFrom.
	ReadLog  bool
	ReadFrom uint64
	// ReadWait is how long the read may wait for a new document.
	ReadWait time.Duration
	// ReadAfter is the earliest time at which that read may begin.
	ReadAfter time.Time
	// ReadWithoutWait is set if that read must not wait for a new record: a daemon that reads the
	// log is not ready until a read has reached the end of the log.
	ReadWithoutWait bool
	// ReadBack requests another read from ReadFrom that does not wait, whether or not a read
	// is in progress.
	ReadBack bool
	// Append is a record to append to the configuration stream, or nil.
	Append []byte
	// PublishSelf requests that this daemon's addresses are written to the log, FindSeeds
	// that the addresses of other daemons are read from the log.
	PublishSelf bool
	FindSeeds   bool
	// ReadQuarantine requests a read of the quarantined requests in the store.
	// StoreQuarantine are records to write to the store, DeleteQuarantine are the digests
	// of records to delete from it.
	ReadQuarantine   bool
	StoreQuarantine  []suspect.Record
	DeleteQuarantine []suspect.Digest
	// Quarantined are the requests that entered quarantine in this tick.
	Quarantined []suspect.Record
	// ReadRollouts requests a read of the rollout records in the store. CommitRollouts are
	// records to write there, each only if nobody else has written meanwhile.
	// PublishRollouts are records whose phase is to be published in the store for
	// operators.
	ReadRollouts    bool
	CommitRollouts  []rollout.Record
	PublishRollouts []rollout.Record
	// HealthChecks are the health checks to make of upstreams on this VM.
	HealthChecks []HealthCheck
	// ReadDepartures requests a read of the store's record of the departures on this VM,
	// StoreDepartures, if not nil, that it is written or deleted.
	ReadDepartures  bool
	StoreDepartures *DepartureRecord
	// FreshAt is the last time at which the configuration held was known to be the newest,
	// or zero if it never was.
	FreshAt freshness.Timestamp
	// Refresh requests a new view for the call path.
	Refresh bool
}

func (o *Outbox) send(l table.LinkID, m wire.Message) {
	o.Sends = append(o.Sends, Send{Link: l, Message: m})
}

func (o *Outbox) event(e event.Event) { o.Events = append(o.Events, e) }

// Tick runs all systems once. The order matters: the inputs update the tables before any
// system decides, so that each decision uses everything known at now.
func Tick(w *table.World, now time.Time, in []Input) Outbox {
	var out Outbox
	noteStall(w, now)
	for _, input := range in {
		applyInput(w, now, input, &out)
	}
	runUpstreams(w, now, &out)
	runMembers(w, now, &out)
	runTopology(w, now, &out)
	runLinks(w, now, &out)
	runReadiness(w, now, &out)
	runCheckpoints(w, now, &out)
	runGossip(w, now, &out)
	runSuspects(w, now, &out)
	runRollouts(w, now, &out)
	runFreshness(w, &out)
	updateVersions(w, now)
	if viewDue(w, now) {
		w.ViewDirty, w.ViewSoon = false, false
		w.ViewAfter = now.Add(w.Params.Window)
		out.Refresh = true
	}
	return out
}

// stallThreshold is the time without a tick from which a daemon counts as stalled: frozen, or on a
// VM that was suspended. It is well above the interval of the ticks.
const stallThreshold = time.Second

// noteStall notes whether this daemon has stalled before this tick.
func noteStall(w *table.World, now time.Time) {
	if !w.LastTick.IsZero() && max(now.Sub(w.LastTick), w.Boot-w.LastTickBoot) > stallThreshold {
		w.AwakeSince = now
	}
	w.LastTick, w.LastTickBoot = now, w.Boot
}

// viewDue reports whether the call path gets a new view at this tick.
func viewDue(w *table.World, now time.Time) bool {
	return w.ViewDirty || w.ViewSoon && !now.Before(w.ViewAfter)
}

func applyInput(w *table.World, now time.Time, input Input, out *Outbox) {
	switch v := input.(type) {
	case Opened:
		addLink(w, now, v, out)
	case Closed:
		removeLink(w, now, v, out)
	case DialFailed:
		w.RecordDialFailure(v.Addr, now)
	case Received:
		receiveMessage(w, now, v, out)
	case LogRead:
		receiveLog(w, now, v, out)
	case ReadBack:
		out.ReadBack = mayReadLog(w, now)
	case DocumentRead:
		receiveDocument(w, now, v, out)
	case Announced:
		receiveAnnouncement(w, now, v.Local, out)
	case Deregistered:
		drainUpstream(w, v.ID, out)
	case Removed:
		removeUpstream(w, now, v, out)
	case HealthChecked:
		receiveHealth(w, v, out)
	case DeparturesRead:
		receiveStoredDepartures(w, now, v, out)
	case DeparturesStored:
		receiveDeparturesStored(w, v)
	case StoreEpoch:
		receiveStoreEpoch(w, now, v, out)
	case SeedsFound:
		addSeeds(w, now, v.Addrs, v.Domains)
	case SelfListed:
		receiveSelfListed(w, now, v)
	case QuarantineRead:
		receiveStoredQuarantine(w, v)
	case OrdersRead:
		receiveOrders(w, v, out)
	case RolloutsRead:
		receiveStoredRollouts(w, now, v, out)
	case RolloutPublished:
		receiveRolloutPublished(w, v.Record)
	case SuspectsChanged: // runSuspects reads the change from the table
	case Leave:
		w.Self.Leaving = true
		touchSelf(w)
		out.event(event.Event{Kind: event.Draining})
	}
}

func receiveMessage(w *table.World, now time.Time, r Received, out *Outbox) {
	l := w.Links[r.Link]
	if l == nil {
		return
	}
	l.HeardAt = now
	if hello, ok := r.Message.(wire.Hello); ok {
		receiveHello(w, now, l, hello, out)
		return
	}
	if busy, ok := r.Message.(wire.Busy); ok {
		receiveBusy(w, now, l, busy, out)
		return
	}
	if !l.Up() {
		// The first message on a connection must identify the sender.
		out.Closes = append(out.Closes, l.ID)
		return
	}
	switch m := r.Message.(type) {
	case wire.Ping:
		receivePing(w, now, l, m, out)
	case wire.Members:
		mergeMembers(w, now, l.ID, m, out)
	case wire.MembersPull:
		answerMembersPull(w, now, l, m, out)
	case wire.MembersDigests:
		requestUnknownMembers(w, l, m, out)
	case wire.MembersRequest:
		answerMembersRequest(w, now, l, m, out)
	case wire.Pull:
		answerPull(w, now, l, m, out)
	case wire.Records:
		receiveRecords(w, now, l, m, out)
	case wire.Delta:
		receiveDelta(w, now, l, m, out)
	case wire.Snapshot:
		receiveSnapshot(w, now, l, m, out)
	case wire.Suspects:
		receiveSuspects(w, l, m)
	case wire.Rollouts:
		receivePeerRollouts(w, now, l, m, out)
	case wire.Tally:
		receiveTally(w, l, m, out)
	case wire.FreshnessConfirmation:
		receiveConfirmation(w, l, m)
	case wire.Departures:
		receiveDepartures(w, now, l, m, out)
	case wire.DeparturesHeld:
		receiveDeparturesHeld(w, m)
	}
}

func raiseAlarm(w *table.World, alarm, detail string, out *Outbox) {
	if w.Alarms[alarm] == detail {
		return
	}
	w.Alarms[alarm] = detail
	out.event(event.Event{Kind: event.Alarm, Detail: alarm + ": " + detail})
}

func clearAlarm(w *table.World, alarm string) { delete(w.Alarms, alarm) }

// Names of alarms, as shown to operators.
const (
	AlarmHash      = "hash-mismatch"
	AlarmRegressed = "log-regressed"
	AlarmGap       = "log-gap"
	AlarmFloor     = "below-floor"
	AlarmDuplicate = "duplicate-vm"
	AlarmRules     = "later-rules"
	AlarmDocument  = "bad-document"
	AlarmFlaws     = "flawed-document"
)
