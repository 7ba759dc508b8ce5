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

func (a *Agent) decodeRollouts(entries []store.Entry) []rollout.Record {
	return known(entries, a.logger, "read roll-outs", "roll-outs", func(e store.Entry) (r rollout.Record, ok bool) {
		err := json.Unmarshal(e.Data, &r)
		return r, err == nil && r.Check() == nil && r.Service == e.Key
	})
}

// agreeRollout leaves a record on the store if it follows the one there and nobody writes
// meanwhile. Whatever is there then is followed; where nothing is known, as after a lost
// answer, the tick asks again.
func (a *Agent) agreeRollout(r rollout.Record) {
	// advance has logged a failure.
	_ = a.advance(r.Service, func(last rollout.Record, _ uint64) (rollout.Record, error) {
		if !r.Follows(last) {
			return last, errOvertaken
		}
		return r, nil
	})
}

// errOvertaken says that others have gone on with a roll-out.
var errOvertaken = errors.New("others have gone on")

// advance puts what next makes of a service's last record in its place on the store, if
// nobody writes meanwhile. The tick learns what is there then.
func (a *Agent) advance(service string, next func(last rollout.Record, end uint64) (rollout.Record, error)) error {
	var read system.RolloutsRead
	var refusal error
	read.Err = a.use("agree on a roll-out", func(ctx context.Context) error {
		n, err := a.log.Newest(ctx, store.RolloutTopic)
		if err != nil {
			return err
		}
		read.Records = a.decodeRollouts(n.Entries)
		var r rollout.Record
		if r, refusal = next(lastRollout(read.Records, service), n.End); refusal != nil {
			return nil
		}
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if err = a.log.AppendKeyedAt(ctx, store.RolloutTopic, service, data, n.End); err == nil {
			read.Records = []rollout.Record{r}
		}
		return err
	})
	a.input(read)
	if read.Err == nil {
		return refusal
	}
	return read.Err
}

// lastRollout returns a service's record among these, or the zero record.
func lastRollout(records []rollout.Record, service string) rollout.Record {
	for _, r := range records {
		if r.Service == service {
			return r
		}
	}
	return rollout.Record{}
}

// OrderRollout orders a roll-out. An error that is a RefusedError says that it was not
// ordered, any other leaves that open.
func (a *Agent) OrderRollout(service, target string, within time.Duration) error {
	if err := a.mayOrder(); err != nil {
		return err
	}
	if _, ok := a.Held().Content.Services[service]; !ok {
		return &RefusedError{Reason: "there is no service " + service}
	}
	return a.advance(service, func(last rollout.Record, end uint64) (rollout.Record, error) {
		order := rollout.Order{ID: max(last.ID, end) + 1, Service: service, Target: target, Duration: within}
		if err := order.Check(); err != nil {
			return last, &RefusedError{Reason: err.Error()}
		}
		return order.Begin(last, time.Now()), nil
	})
}

// AbortRollout reverts a roll-out that goes on.
func (a *Agent) AbortRollout(service string) error {
	if err := a.mayOrder(); err != nil {
		return err
	}
	return a.advance(service, func(last rollout.Record, _ uint64) (rollout.Record, error) {
		if last.ID == 0 || last.Phase.Final() {
			return last, &RefusedError{Reason: "no roll-out of " + service + " goes on"}
		}
		return last.To(rollout.Reverted, "aborted by an operator"), nil
	})
}

// RefusedError says that an operator's wish was not followed and changed nothing.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// mayOrder refuses where orders come from elsewhere.
func (a *Agent) mayOrder() error {
	if a.source != nil {
		return &RefusedError{Reason: "roll-outs are ordered where the configuration comes from"}
	}
	return nil
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
	if err != nil {
		return r, err
	}
	held := lastRollout(a.decodeRollouts(n.Entries), r.Service)
	if held.ID == 0 {
		return r, errors.Errorf("the store holds no roll-out of %s", r.Service)
	}
	return held, nil
}
