package system

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/wire"
)

// TestRefusedDaemonDialsAnother opens a connection to a daemon that has reached its limit
// of connections. The refusal must name other daemons, and the refused daemon must dial
// one of them at its next tick instead of waiting to retry.
func TestRefusedDaemonDialsAnother(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1001, 0)
	full := documentWorld()
	full.Params.MaxLinks = 0
	var out Outbox
	mergeMembers(full, at, 0, wire.Members{Records: []wire.Member{
		{ID: "b", Domain: "d", Peer: "b:1", Owner: "b:2", Incarnation: 1, Seq: 1},
		{ID: "c", Domain: "d", Peer: "c:1", Owner: "c:2", Incarnation: 1, Seq: 1, Leaving: true},
	}}, &out)
	sent := Tick(full, at, []Input{Opened{Link: 7}}).Sends
	is.Equal(len(sent), 1)
	busy := sent[0].Message.(wire.Busy)
	is.Equal(busy.Peers, []string{"b:1"}) // not a leaving one

	refused := documentWorld()
	Tick(refused, at, []Input{Opened{Link: 1, Dialed: true, Addr: "full:1"}})
	dials := Tick(refused, at.Add(tickInterval), []Input{Received{Link: 1, Message: busy}}).Dials
	is.Equal(dials, []Dial{{Addr: "b:1"}})
}
