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

// TestCallsAreCompressedBetweenDomainsOnly guards against compressed calls to an owner that does not
// advertise that it accepts them, to an owner of the daemon's own failure domain, and to any owner
// while compression is not in force.
func TestCallsAreCompressedBetweenDomainsOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		setting     config.Compression
		loadControl config.LoadControl
		inForce     bool
	}{
		{config.CompressionAuto, config.LoadControlOn, true},
		{config.CompressionAuto, config.LoadControlOff, false},
		{config.CompressionAuto, config.LoadControlAuto, false}, // no limit, no large answers
		{config.CompressionOn, config.LoadControlOff, true},
		{config.CompressionOff, config.LoadControlOn, false},
	} {
		params := table.DefaultParams()
		params.Compression, params.LoadControl = c.setting, c.loadControl
		w := table.New(wire.Member{ID: "vm", Owner: "here", Domain: "d", Compress: true}, params, suspect.NewTable(time.Now), now, 1)
		for _, m := range []wire.Member{
			{ID: "near", Owner: "10.0.0.1:80", Domain: "d", Compress: true},
			{ID: "far", Owner: "10.0.0.2:80", Domain: "e", Compress: true},
			{ID: "old", Owner: "10.0.0.3:80", Domain: "e"},
		} {
			m.Upstreams = []wire.Upstream{{ID: m.ID + "/u", Service: "s", Slots: 4}}
			w.Members[m.ID] = &table.Member{Member: m, RenewedAt: now}
		}
		w.MembersChanged()
		content := config.NewContent()
		content.Services["s"] = config.Service{Name: "s"}
		state, err := config.Document{Version: 5, Content: content}.State()
		is.NoErr(err)
		w.Config.State = state
		v := Build(w, nil)
		is.Equal(v.Compress, c.inForce)
		is.Equal(len(v.Services["s"].Upstreams), 3)
		for _, u := range v.Services["s"].Upstreams {
			is.Equal(u.Compress, c.inForce && u.Daemon == "far")
		}
	}
}
