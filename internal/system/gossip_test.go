package system

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// TestChangesCrossDomainsByRootsOnly guards against daemons that exchange members with another
// failure domain although a root of their own domain does: a start then costs the square of the
// fleet in bytes between domains. A daemon without a connection in its own domain must exchange
// members with other domains, since no root of its domain can supply it.
func TestChangesCrossDomainsByRootsOnly(t *testing.T) {
	now := time.Unix(1010, 0)
	for _, c := range []struct {
		name   string
		root   bool
		since  time.Duration
		opened time.Duration
		inside bool
		want   bool
	}{
		{"root", true, time.Hour, 0, true, true},
		{"root only just", true, 0, 0, true, false},
		{"not a root", false, time.Hour, 0, true, false},
		{"not a root, connection about to be closed", false, time.Hour, unwantedGrace, true, false},
		{"not a root, connection that the peer needs", false, time.Hour, time.Minute, true, true},
		{"not a root, alone in its domain", false, time.Hour, 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := documentWorld()
			w.MembersTree.Root, w.MembersTree.RoleChangedAt = c.root, now.Add(-c.since)
			w.Links[1] = &table.Link{ID: 1, Peer: "far", Domain: "e", Opened: now.Add(-c.opened)}
			want := []table.LinkID{}
			if c.inside {
				w.Links[2] = &table.Link{ID: 2, Peer: "near", Domain: "d"}
				want = append(want, 2)
			}
			if c.want {
				want = append([]table.LinkID{1}, want...)
			}
			queueRecord(w, now, w.Self.ID, 0)
			var out Outbox
			runGossip(w, now.Add(w.Params.Window), &out)
			is.Equal(linksOf(out), want)

			out = Outbox{}
			receivePing(w, now, w.Links[1], wire.Ping{Seq: 1, Position: 9, Members: 9}, &out)
			if c.inside {
				receivePing(w, now, w.Links[2], wire.Ping{Seq: 1, Members: 9}, &out)
			}
			is.Equal(linksOf(out), want)
		})
	}
}

// linksOf returns the connections on which messages are sent, each once.
func linksOf(out Outbox) []table.LinkID {
	list := []table.LinkID{}
	for _, s := range out.Sends {
		if !slices.Contains(list, s.Link) {
			list = append(list, s.Link)
		}
	}
	return list
}
