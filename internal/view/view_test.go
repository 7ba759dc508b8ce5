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

// TestMemberWithoutAddressDoesNotBlockView guards against daemons that keep an old
// configuration in force because one record of another daemon is unusable.
func TestMemberWithoutAddressDoesNotBlockView(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := table.New(wire.Member{ID: "vm", Owner: "here"}, table.DefaultParams(), suspect.NewTable(time.Now), now, 1)
	for _, m := range []wire.Member{
		{ID: "sound", Owner: "10.0.0.1:80", Upstreams: []wire.Upstream{{ID: "sound/u", Service: "s", Slots: 4}}},
		{ID: "odd", Upstreams: []wire.Upstream{{ID: "odd/u", Service: "s", Slots: 4}}},
	} {
		w.Members[m.ID] = &table.Member{Member: m, RenewedAt: now}
	}
	w.MembersChanged()
	c := config.NewContent()
	c.Services["s"] = config.Service{Name: "s"}
	state, err := config.Document{Version: 5, Content: c}.State()
	is.NoErr(err)
	w.Config.State = state
	v := Build(w, nil)
	is.NoErr(v.Consistent())
	is.Equal(v.Version, uint64(5))
	is.Equal(len(v.Services["s"].Upstreams), 1)
	is.Equal(v.Services["s"].Upstreams[0].ID, "sound/u")
}
