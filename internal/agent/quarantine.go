package agent

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/platform/store"
)

const (
	// quarantineWait is how long a read waits at the store for a quarantined request.
	// News come from other daemons; only one that is cut off from all of them waits
	// for the store, which wakes it at once.
	quarantineWait = 10 * time.Second
	// quarantineRetry is the pause after a read that failed: the reads of the
	// configuration tell soon enough that the store is back.
	quarantineRetry = 2 * time.Second
)

// quarantineReader reads the store's records of quarantined requests. Only one goroutine
// at a time may use it.
type quarantineReader struct {
	topic  *store.Follower
	logger zerolog.Logger
}

// next returns what the store holds: the first time all, then what is added, as soon as
// it is or after quarantineWait.
func (q *quarantineReader) next(ctx context.Context) system.QuarantineRead {
	entries, whole, err := q.topic.Next(ctx, quarantineWait)
	if err != nil {
		return system.QuarantineRead{Err: err}
	}
	return system.QuarantineRead{Records: q.decode(entries), Whole: whole}
}

// decode returns the records of entries. One without a value was dropped.
func (q *quarantineReader) decode(entries []store.Entry) []suspect.Record {
	entries = slices.DeleteFunc(slices.Clone(entries), func(e store.Entry) bool { return len(e.Data) == 0 })
	return known(entries, q.logger, "read quarantine", "quarantined requests", func(e store.Entry) (r suspect.Record, ok bool) {
		err := json.Unmarshal(e.Data, &r)
		return r, err == nil && r.Valid() && r.Digest.String() == e.Key
	})
}

func (a *Agent) readQuarantine() {
	r := a.quarantine.next(a.stop)
	if r.Err != nil {
		sleep(a.stop, quarantineRetry)
	}
	a.readingQuarantine.Store(false)
	a.input(r)
}

// keepQuarantine leaves a record on the store. The tick that wanted it asks again if it
// is not read back.
func (a *Agent) keepQuarantine(r suspect.Record) {
	data, err := json.Marshal(r)
	if err != nil {
		a.logger.Error().Str("step", "keep quarantine").Err(err).Msg("not kept")
		return
	}
	a.writeQuarantine(r.Digest, data)
}

// writeQuarantine writes the record of a request; without data it is dropped.
func (a *Agent) writeQuarantine(d suspect.Digest, data []byte) {
	// use has logged a failure.
	_ = a.use("keep quarantine", func(ctx context.Context) error {
		return a.log.AppendKeyed(ctx, store.QuarantineTopic, d.String(), data)
	})
}

// useQuarantine does what a tick wants of the store's records.
func (a *Agent) useQuarantine(out system.Outbox) {
	if out.ReadQuarantine && a.readingQuarantine.CompareAndSwap(false, true) {
		go a.readQuarantine()
	}
	for _, r := range out.Quarantined {
		a.owner.Vouch(r)
	}
	for _, r := range out.KeepQuarantine {
		go a.keepQuarantine(r)
	}
	for _, d := range out.DropQuarantine {
		go a.writeQuarantine(d, nil)
	}
}

// watchSuspects lets a tick follow each change that the call path makes.
func (a *Agent) watchSuspects() {
	for {
		select {
		case <-a.suspects.Changed():
			a.input(system.Suspected{})
		case <-a.stop.Done():
			return
		}
	}
}

// ClearSuspect lets a request run again, here at once and everywhere else as soon as it is
// told. It reports whether it was suspected.
func (a *Agent) ClearSuspect(d suspect.Digest) bool {
	cleared := a.suspects.Vouch(d)
	if cleared {
		a.logger.Info().Str("step", "clear suspect").Stringer("digest", d).Msg("cleared by an operator")
	}
	return cleared
}
