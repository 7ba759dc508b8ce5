package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/platform/store"
)

const (
	// maxUnknownCommands bounds the commands of unknown outcome that are kept for operators.
	maxUnknownCommands = 256
	// outcomeTimeout bounds the wait for a command to be read back from the log.
	outcomeTimeout = 5 * time.Second
	// readBackInterval is the interval at which a daemon reads the log itself while a command
	// that it appended has not been read back. The readers may be blocked on a connection to
	// the log that has become silent.
	readBackInterval = time.Second
)

// reasonManagedByPlatform is the reason for which commands are rejected if the configuration
// is delivered by a DocumentSource.
const reasonManagedByPlatform = "the configuration here is the platform operator's: change it there"

// UnknownCommand is a command whose outcome was not known in time.
type UnknownCommand struct {
	ID     string
	Author string
	Reason string
	At     time.Time
}

// commandTable tracks the commands submitted through this daemon.
type commandTable struct {
	mu      sync.Mutex
	state   *config.State
	waiters map[string][]chan struct{}
	unknown []UnknownCommand
}

// update stores the new state. It wakes the waiters whose command has an outcome in it, and
// removes the commands whose outcome is no longer unknown.
func (t *commandTable) update(s *config.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == s {
		return
	}
	t.state = s
	for id, waiters := range t.waiters {
		if _, ok := s.Outcome(id); !ok {
			continue
		}
		for _, w := range waiters {
			close(w)
		}
		delete(t.waiters, id)
	}
	stillUnknown := t.unknown[:0]
	for _, u := range t.unknown {
		if _, ok := s.Outcome(u.ID); !ok {
			stillUnknown = append(stillUnknown, u)
		}
	}
	t.unknown = stillUnknown
}

// subscribe returns a channel that is closed when the command has an outcome. unsubscribe must
// follow.
func (t *commandTable) subscribe(id string) chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	ch := make(chan struct{})
	if t.state != nil {
		if _, ok := t.state.Outcome(id); ok {
			close(ch)
			return ch
		}
	}
	t.waiters[id] = append(t.waiters[id], ch)
	return ch
}

// unsubscribe removes a channel that subscribe returned.
func (t *commandTable) unsubscribe(id string, ch chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiters[id] = slices.DeleteFunc(t.waiters[id], func(w chan struct{}) bool { return w == ch })
	if len(t.waiters[id]) == 0 {
		delete(t.waiters, id)
	}
}

func (t *commandTable) outcome(id string) (config.Outcome, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == nil {
		return config.Outcome{}, false
	}
	return t.state.Outcome(id)
}

func (t *commandTable) recordUnknown(u UnknownCommand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unknown = append(t.unknown, u)
	t.unknown = t.unknown[max(0, len(t.unknown)-maxUnknownCommands):]
}

// UnknownCommands returns the commands submitted here whose outcome is not known.
func (a *Agent) UnknownCommands() []UnknownCommand {
	a.commands.mu.Lock()
	defer a.commands.mu.Unlock()
	return append([]UnknownCommand(nil), a.commands.unknown...)
}

// CurrentConfig returns this daemon's current configuration.
func (a *Agent) CurrentConfig() *config.State {
	s := config.Empty()
	a.Inspect(func(w *table.World) { s = w.Config.State })
	return s
}

// Submit appends a command to the log and waits until its outcome has been read back. An empty
// ID is replaced by a new one. If the append fails, outcomeTimeout passes or ctx ends first,
// the status is StatusUnknown: the operator may query the outcome by ID, or submit the same
// command again with the same ID, which executes it at most once.
func (a *Agent) Submit(ctx context.Context, cmd config.Command) config.Outcome {
	if cmd.ID == "" {
		cmd.ID = uuid.NewString()
	}
	if a.source != nil {
		return config.Outcome{ID: cmd.ID, Author: cmd.Author, Status: config.Rejected, Reason: reasonManagedByPlatform}
	}
	if err := cmd.Validate(); err != nil {
		return config.Outcome{ID: cmd.ID, Author: cmd.Author, Status: config.Rejected, Reason: err.Error()}
	}
	if o, ok := a.commands.outcome(cmd.ID); ok {
		return o
	}
	data, err := config.Record{Command: &cmd}.Encode()
	if err != nil {
		return config.Outcome{ID: cmd.ID, Author: cmd.Author, Status: config.Rejected, Reason: err.Error()}
	}
	done := a.commands.subscribe(cmd.ID)
	defer a.commands.unsubscribe(cmd.ID, done)
	if _, err := a.log.Append(ctx, store.ConfigTopic, data); err != nil {
		return a.unknownOutcome(cmd, err.Error())
	}
	a.events.Add(event.Event{Kind: event.CommandAppended, Request: cmd.ID})
	return a.awaitOutcome(ctx, cmd, done)
}

// awaitOutcome waits until a command that was appended to the log has been read back, which
// closes done.
func (a *Agent) awaitOutcome(ctx context.Context, cmd config.Command, done <-chan struct{}) config.Outcome {
	timer := time.NewTimer(outcomeTimeout)
	defer timer.Stop()
	readBack := time.NewTicker(readBackInterval)
	defer readBack.Stop()
	for {
		select {
		case <-done:
			o, _ := a.commands.outcome(cmd.ID)
			return o
		case <-readBack.C:
			a.logger.Info().Str("step", "read-back").Str("request", cmd.ID).Msg("command has not been read back from the log: requesting another read")
			a.input(system.ReadBack{})
		case <-timer.C:
			return a.unknownOutcome(cmd, "command was not read back from the log in time")
		case <-ctx.Done():
			return a.unknownOutcome(cmd, "request was cancelled before the command was read back from the log")
		}
	}
}

func (a *Agent) unknownOutcome(cmd config.Command, reason string) config.Outcome {
	a.commands.recordUnknown(UnknownCommand{ID: cmd.ID, Author: cmd.Author, Reason: reason, At: time.Now()})
	return config.Outcome{ID: cmd.ID, Author: cmd.Author, Status: config.StatusUnknown, Reason: reason}
}

// Reseed appends a checkpoint of this daemon's configuration to a replacement log. It refuses
// while another daemon is known to have a later version in force.
func (a *Agent) Reseed(ctx context.Context) (version uint64, refusal string) {
	if a.source != nil {
		return 0, reasonManagedByPlatform
	}
	var state *config.State
	a.Inspect(func(w *table.World) {
		state = w.Config.State
		refusal = reseedRefusal(w)
	})
	if refusal != "" || state == nil {
		return 0, refusal
	}
	data, err := system.CheckpointRecord(state, a.settings.VM, true)
	if err != nil {
		return 0, err.Error()
	}
	if _, err := a.log.Append(ctx, store.ConfigTopic, data); err != nil {
		return 0, err.Error()
	}
	return state.Version, ""
}

func reseedRefusal(w *table.World) string {
	if _, gap := w.Alarms[system.AlarmGap]; !gap && !w.Log.Regressed {
		return "this daemon follows the log, itself or through its peers: no reseed is needed (show alarms at a root)"
	}
	for id, row := range w.Members {
		if !row.Lapsed && row.Heartbeat.Applied > w.Config.State.Version {
			return "daemon " + id + " has a later version in force: run reseed on that daemon"
		}
	}
	return ""
}
