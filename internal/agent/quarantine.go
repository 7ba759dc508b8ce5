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
	// quarantineReadWait is how long a read waits at the store for a quarantined request (long
	// polling). Daemons learn of quarantined requests from their peers; only a daemon that is
	// partitioned from all of them depends on the store, which answers a waiting read as soon as
	// a record is added.
	quarantineReadWait = 10 * time.Second
	// quarantineRetryDelay is the delay after a failed read. It can be longer than
	// readRetryDelay: the reads of the configuration detect soon enough that the store is
	// reachable again.
	quarantineRetryDelay = 2 * time.Second
)

// quarantineReader reads the store's records of quarantined requests. It is not safe for
// concurrent use.
type quarantineReader struct {
	follower *store.Follower
	logger   zerolog.Logger
}

// next returns all records on the first call, and on later calls the records added since, as
// soon as there are any or after quarantineReadWait.
func (q *quarantineReader) next(ctx context.Context) system.QuarantineRead {
	entries, complete, err := q.follower.Next(ctx, quarantineReadWait)
	if err != nil {
		return system.QuarantineRead{Err: err}
	}
	return system.QuarantineRead{Records: q.decode(entries), Complete: complete}
}

// decode returns the records of entries. An entry without a value is a record that was deleted.
func (q *quarantineReader) decode(entries []store.Entry) []suspect.Record {
	entries = slices.DeleteFunc(slices.Clone(entries), func(e store.Entry) bool { return len(e.Data) == 0 })
	return decodeRecords(entries, q.logger, "read quarantine", "quarantined requests", func(e store.Entry) (r suspect.Record, ok bool) {
		err := json.Unmarshal(e.Data, &r)
		return r, err == nil && r.Valid() && r.Digest.String() == e.Key
	})
}

func (a *Agent) readQuarantine() {
	r := a.quarantine.next(a.ctx)
	a.noteStoreEpoch()
	if r.Err != nil {
		sleep(a.ctx, quarantineRetryDelay)
	}
	a.input(r)
}

// storeQuarantine writes a record to the store. If it is not read back, a later tick requests
// the write again.
func (a *Agent) storeQuarantine(r suspect.Record) {
	data, err := json.Marshal(r)
	if err != nil {
		a.logger.Error().Str("step", "keep quarantine").Err(err).Msg("quarantine record could not be encoded; not stored")
		return
	}
	a.writeQuarantine(r.Digest, data)
}

// writeQuarantine writes the record of a request to the store. Empty data deletes the record.
func (a *Agent) writeQuarantine(d suspect.Digest, data []byte) {
	// callStore has logged an error.
	_ = a.callStore("keep quarantine", func(ctx context.Context) error {
		return a.log.AppendKeyed(ctx, store.QuarantineTopic, d.String(), data)
	})
}

// handleQuarantineRequests performs what a tick requested for quarantined requests: reads and
// writes of the store's records, and the check whether the owner can clear a newly
// quarantined request.
func (a *Agent) handleQuarantineRequests(out system.Outbox) {
	if out.ReadQuarantine && !a.readingQuarantine {
		a.readingQuarantine = true
		go a.readQuarantine()
	}
	for _, r := range out.Quarantined {
		a.owner.ClearIfAnswered(r)
	}
	for _, r := range out.StoreQuarantine {
		go a.storeQuarantine(r)
	}
	for _, d := range out.DeleteQuarantine {
		go a.writeQuarantine(d, nil)
	}
}

// watchSuspects triggers a tick after each change that the call path makes to the table of
// suspects.
func (a *Agent) watchSuspects() {
	for {
		select {
		case <-a.suspects.Changed():
			a.input(system.SuspectsChanged{})
		case <-a.ctx.Done():
			return
		}
	}
}

// ClearSuspect clears a suspect, so that the request may run again: on this daemon at once, on
// the others as soon as the change reaches them. It reports whether the request was a suspect.
func (a *Agent) ClearSuspect(d suspect.Digest) bool {
	cleared := a.suspects.ClearUnanswered(d)
	if cleared {
		a.logger.Info().Str("step", "clear suspect").Stringer("digest", d).Msg("suspect cleared by an operator; the request may run again")
	}
	return cleared
}
