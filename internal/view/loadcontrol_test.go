package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// TestPartsOfLoadControlAreSwitchedOffAlone switches each part off in turn. It guards against a
// part that stays in force, one that takes others with it, and one that is in force where load
// control is not.
func TestPartsOfLoadControlAreSwitchedOffAlone(t *testing.T) {
	is := is.New(t)
	params := table.DefaultParams()
	build := func() *View {
		return Build(table.New(wire.Member{ID: "vm"}, params, suspect.NewTable(time.Now), time.Now(), 1), nil)
	}
	for _, off := range config.LoadControlParts {
		params.LoadControl, params.DisabledParts = config.LoadControlOn, []config.LoadControlPart{off}
		v := build()
		for _, part := range config.LoadControlParts {
			is.Equal(v.Controls(part), part != off)
		}
		params.LoadControl, params.DisabledParts = config.LoadControlOff, nil
		is.True(!build().Controls(off))
	}
}
