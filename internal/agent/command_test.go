package agent

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/lang"
)

// TestCommandsOfUnknownOutcomeLeaveNoWaiters guards against a table of waiters that grows with
// every command that is not read back.
func TestCommandsOfUnknownOutcomeLeaveNoWaiters(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, devlog.New()) // it is not started, so that it reads nothing back
	statement, err := lang.Parse("put service tickets ramp 5s")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, id := range []string{"a", "b", "a"} {
		o := a.Submit(ctx, config.Command{ID: id, Changes: statement.Changes})
		is.Equal(o.Status, config.StatusUnknown)
	}
	is.Equal(len(a.commands.waiters), 0)
}
