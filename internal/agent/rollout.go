package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/platform/store"
)

// Teller lets operators read how far roll-outs have come, where they ordered them.
type Teller interface {
	// Tell puts what current returns where operators read of the service, unless it is
	// there already. It asks once it is certain that nothing that was told later than
	// that is written over.
	Tell(ctx context.Context, service string, current func(context.Context) (rollout.Record, error)) error
}

// rolloutRetry is the pause after a call for roll-outs that failed.
const rolloutRetry = 500 * time.Millisecond

// useRollouts does what a tick wants of the store's records of roll-outs.
func (a *Agent) useRollouts(out system.Outbox) {
	if out.ReadRollouts && a.readingRollouts.CompareAndSwap(false, true) {
		go a.readRollouts()
	}
	for _, r := range out.AgreeRollouts {
		go a.agreeRollout(r)
	}
	for _, r := range out.TellRollouts {
		go a.tellRollout(r)
	}
}

func (a *Agent) readRollouts() {
	var read system.RolloutsRead
	read.Err = a.use("read roll-outs", func(ctx context.Context) error {
		n, err := a.log.Newest(ctx, store.RolloutTopic)
		read.Records = a.decodeRollouts(n.Entries)
		return err
	})
	if read.Err != nil {
		sleep(a.stop, rolloutRetry)
	}
	a.readingRollouts.Store(false)
	a.input(read)
}

// decodeRollouts returns the records of entries. What another writer left is left out.
func (a *Agent) decodeRollouts(entries []store.Entry) []rollout.Record {
	var records []rollout.Record
	foreign := 0
	for _, e := range entries {
		var r rollout.Record
		if json.Unmarshal(e.Data, &r) != nil || r.Check() != nil || r.Service != e.Key {
			foreign++
			continue
		}
		records = append(records, r)
	}
	if foreign > 0 {
		a.logger.Warn().Str("step", "read roll-outs").Int("records", foreign).Msg("no roll-outs, left out")
	}
	return records
}

// agreeRollout leaves a record on the store if it follows the one there and nobody writes
// meanwhile. Whatever is there then is followed; where nothing is known, as after a lost
// answer, the tick asks again.
func (a *Agent) agreeRollout(r rollout.Record) {
	var read system.RolloutsRead
	read.Err = a.use("agree on a roll-out", func(ctx context.Context) error {
		n, err := a.log.Newest(ctx, store.RolloutTopic)
		if err != nil {
			return err
		}
		read.Records = a.decodeRollouts(n.Entries)
		for _, held := range read.Records {
			if held.Service == r.Service && !r.Follows(held) {
				return nil
			}
		}
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		err = a.log.AppendKeyedAt(ctx, store.RolloutTopic, r.Service, data, n.End)
		if err == nil {
			read.Records = []rollout.Record{r}
		}
		return err
	})
	a.input(read)
}

// tellRollout lets operators read the phase that the store holds.
func (a *Agent) tellRollout(r rollout.Record) {
	err := a.use("tell of a roll-out", func(ctx context.Context) error {
		if a.teller == nil {
			return nil
		}
		return a.teller.Tell(ctx, r.Service, func(ctx context.Context) (_ rollout.Record, err error) {
			r, err = a.heldRollout(ctx, r)
			return r, err
		})
	})
	if err == nil {
		a.input(system.RolloutTold{Record: r})
	}
}

// heldRollout returns the store's record of the roll-out's service.
func (a *Agent) heldRollout(ctx context.Context, r rollout.Record) (rollout.Record, error) {
	n, err := a.log.Newest(ctx, store.RolloutTopic)
	for _, held := range a.decodeRollouts(n.Entries) {
		if held.Service == r.Service {
			return held, err
		}
	}
	if err == nil {
		err = errors.Errorf("the store holds no roll-out of %s", r.Service)
	}
	return r, err
}
