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

// StatusPublisher publishes the status of rollouts where operators order them.
type StatusPublisher interface {
	// Publish publishes the record that current returns as the status of the service's rollout,
	// unless that status is published already. It calls current only once it is certain that
	// the write cannot overwrite a status published after that call.
	Publish(ctx context.Context, service string, current func(context.Context) (rollout.Record, error)) error
}

// rolloutRetryDelay is the delay after a failed read of the rollout records.
const rolloutRetryDelay = 500 * time.Millisecond

// handleRolloutRequests starts the operations on the store's rollout records that a tick
// requested, in the background.
func (a *Agent) handleRolloutRequests(out system.Outbox) {
	if out.ReadRollouts && a.readingRollouts.CompareAndSwap(false, true) {
		go a.readRollouts()
	}
	for _, r := range out.CommitRollouts {
		go a.proposeRollout(r)
	}
	for _, r := range out.PublishRollouts {
		go a.publishRolloutStatus(r)
	}
}

func (a *Agent) readRollouts() {
	var read system.RolloutsRead
	read.Err = a.callStore("read roll-outs", func(ctx context.Context) error {
		n, err := a.log.Newest(ctx, store.RolloutTopic)
		read.Records = a.decodeRollouts(n.Entries)
		return err
	})
	if read.Err != nil {
		sleep(a.ctx, rolloutRetryDelay)
	}
	a.readingRollouts.Store(false)
	a.input(read)
}

func (a *Agent) decodeRollouts(entries []store.Entry) []rollout.Record {
	return decodeRecords(entries, a.logger, "read roll-outs", "roll-outs", func(e store.Entry) (r rollout.Record, ok bool) {
		err := json.Unmarshal(e.Data, &r)
		return r, err == nil && r.Check() == nil && r.Service == e.Key
	})
}

// proposeRollout writes a record to the store if it follows the stored one and no other daemon
// writes to the topic meanwhile. The daemon then adopts the record that the store has. If
// the result is unknown, as after a lost answer, a later tick requests the write again.
func (a *Agent) proposeRollout(r rollout.Record) {
	// callStore has logged errors of the store.
	_ = a.updateRollout(r.Service, func(last rollout.Record, _ uint64) (rollout.Record, error) {
		if !r.Follows(last) {
			return last, errSuperseded
		}
		return r, nil
	})
}

// errSuperseded means that another daemon has already advanced the rollout.
var errSuperseded = errors.New("rollout record is superseded by the stored one")

// updateRollout replaces a service's rollout record on the store by the one that next derives
// from it, if nothing is written to the topic between the read and the write (compare and
// swap). Afterwards the stored records, or the error, are queued as an input.
func (a *Agent) updateRollout(service string, next func(last rollout.Record, end uint64) (rollout.Record, error)) error {
	var read system.RolloutsRead
	var refusal error
	read.Err = a.callStore("agree on a roll-out", func(ctx context.Context) error {
		n, err := a.log.Newest(ctx, store.RolloutTopic)
		if err != nil {
			return err
		}
		read.Records = a.decodeRollouts(n.Entries)
		var r rollout.Record
		if r, refusal = next(findRollout(read.Records, service), n.End); refusal != nil {
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

// findRollout returns the record of a service, or the zero record if there is none.
func findRollout(records []rollout.Record, service string) rollout.Record {
	for _, r := range records {
		if r.Service == service {
			return r
		}
	}
	return rollout.Record{}
}

// OrderRollout orders a rollout. If it returns a RefusedError, the rollout was not ordered;
// after any other error that is unknown.
func (a *Agent) OrderRollout(service, target string, duration time.Duration) error {
	if err := a.checkOrdersAllowed(); err != nil {
		return err
	}
	if _, ok := a.CurrentConfig().Content.Services[service]; !ok {
		return &RefusedError{Reason: "there is no service " + service}
	}
	return a.updateRollout(service, func(last rollout.Record, end uint64) (rollout.Record, error) {
		order := rollout.Order{ID: max(last.ID, end) + 1, Service: service, Target: target, Duration: duration}
		if err := order.Check(); err != nil {
			return last, &RefusedError{Reason: err.Error()}
		}
		return order.Begin(last, time.Now()), nil
	})
}

// AbortRollout reverts a rollout in progress.
func (a *Agent) AbortRollout(service string) error {
	if err := a.checkOrdersAllowed(); err != nil {
		return err
	}
	return a.updateRollout(service, func(last rollout.Record, _ uint64) (rollout.Record, error) {
		if last.ID == 0 || last.Phase.Final() {
			return last, &RefusedError{Reason: "no rollout of " + service + " is in progress"}
		}
		return last.WithPhase(rollout.Reverted, "aborted by an operator"), nil
	})
}

// RefusedError means that an operator's request was refused and changed nothing.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// checkOrdersAllowed returns a RefusedError if rollouts are ordered through the DocumentSource.
func (a *Agent) checkOrdersAllowed() error {
	if a.source != nil {
		return &RefusedError{Reason: "rollouts cannot be ordered here: order them where the configuration is managed"}
	}
	return nil
}

// publishRolloutStatus publishes the phase of the stored rollout record for operators.
func (a *Agent) publishRolloutStatus(r rollout.Record) {
	err := a.callStore("tell of a roll-out", func(ctx context.Context) error {
		if a.statusPublisher == nil {
			return nil
		}
		return a.statusPublisher.Publish(ctx, r.Service, func(ctx context.Context) (_ rollout.Record, err error) {
			r, err = a.storedRollout(ctx, r)
			return r, err
		})
	})
	if err == nil {
		a.input(system.RolloutPublished{Record: r})
	}
}

// storedRollout returns the rollout record that the store holds for the service of r.
func (a *Agent) storedRollout(ctx context.Context, r rollout.Record) (rollout.Record, error) {
	n, err := a.log.Newest(ctx, store.RolloutTopic)
	if err != nil {
		return r, err
	}
	stored := findRollout(a.decodeRollouts(n.Entries), r.Service)
	if stored.ID == 0 {
		return r, errors.Errorf("the store has no rollout record of %s", r.Service)
	}
	return stored, nil
}
