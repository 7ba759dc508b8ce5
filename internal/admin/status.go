package admin

import (
	"context"
	"maps"
	"slices"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
)

// GetStatus implements api.Handler.
func (h *handler) GetStatus(context.Context) (*api.Status, error) {
	out := &api.Status{Lagging: []string{}}
	h.agent.Inspect(func(w *table.World) { fillStatus(w, out) })
	return out, nil
}

func fillStatus(w *table.World, out *api.Status) {
	s := w.Config.State
	out.VM = w.Self.ID
	out.FailureDomain = w.Self.Domain
	out.Version = int64(w.Self.Heartbeat.Applied)
	out.Hash = s.Hash
	out.Members = 1
	out.LogUp = w.Log.Up
	out.Ready = w.Ready
	out.Root = api.NewOptBool(w.MembersTree.Root)
	if w.MembersTree.Parent != "" {
		out.Parent = api.NewOptString(w.MembersTree.Parent)
	}
	if w.Self.Heartbeat.Applied >= s.Version {
		out.Applied++
	} else {
		out.Lagging = append(out.Lagging, w.Self.ID)
	}
	for _, id := range slices.Sorted(maps.Keys(w.Members)) {
		row := w.Members[id]
		if row.Lapsed || row.Leaving {
			continue
		}
		out.Members++
		if row.Heartbeat.Applied >= s.Version {
			out.Applied++
		} else {
			out.Lagging = append(out.Lagging, id)
		}
	}
	for _, alarm := range slices.Sorted(maps.Keys(w.Alarms)) {
		out.Alarms = append(out.Alarms, alarm+": "+w.Alarms[alarm])
	}
}

// ListEvents implements api.Handler.
func (h *handler) ListEvents(context.Context) ([]api.Event, error) {
	list := h.agent.Events().List()
	out := make([]api.Event, 0, len(list))
	for _, e := range list {
		out = append(out, apiEvent(e))
	}
	return out, nil
}

func apiEvent(e event.Event) api.Event {
	out := api.Event{Clock: e.Clock, VM: e.VM, Kind: string(e.Kind)}
	if e.Version > 0 {
		out.Version = api.NewOptInt64(int64(e.Version))
	}
	for _, f := range []struct {
		dst *api.OptString
		src string
	}{{&out.Peer, e.Peer}, {&out.Service, e.Service}, {&out.Request, e.Request}, {&out.Detail, e.Detail}} {
		if f.src != "" {
			*f.dst = api.NewOptString(f.src)
		}
	}
	return out
}
