package system

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// documentOf returns a document with the given number of routes. The timeout of its policy
// is as many seconds as the version.
func documentOf(version uint64, routes int) config.Document {
	c := config.NewContent()
	c.Services["s"] = config.Service{Name: "s"}
	c.Policies["p"] = config.Policy{Name: "p", Urgency: config.Normal, Timeout: time.Duration(version) * time.Second}
	for i := range routes {
		name := "r" + strconv.Itoa(i)
		c.Routes[name] = config.Route{Name: name, Host: "h", Path: "/" + name + "/", Service: "s", Policy: "p", Open: true}
	}
	return config.Document{Version: version, Content: c}
}

// documentWorld returns the tables of a daemon that reads configuration documents.
func documentWorld() *table.World {
	p := testParams()
	p.Documents = true
	return table.New(wire.Member{ID: "vm", Domain: "d", Peer: "vm"}, p, noSuspects(), time.Unix(1000, 0), 1)
}

func TestDocumentVersionsOnlyIncrease(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	Tick(w, at, []Input{DocumentRead{Document: documentOf(5, 3)}})
	Tick(w, at, []Input{DocumentRead{Document: documentOf(4, 9)}})
	is.Equal(w.Config.State.Version, uint64(5))
	bad := documentOf(9, 3)
	delete(bad.Content.Policies, "p")
	Tick(w, at, []Input{DocumentRead{Document: bad}})
	is.Equal(w.Config.State.Version, uint64(5)) // refused as a whole
	is.True(w.Alarms[AlarmDocument] != "")
	Tick(w, at, []Input{DocumentRead{Document: documentOf(11, 3)}})
	is.Equal(w.Config.State.Version, uint64(11))
	is.Equal(w.Alarms[AlarmDocument], "")
}

// TestUndecodableDocumentRaisesAlarm reads a document that cannot be decoded: the store
// must count as up, the version held must stay in force, and the alarm must state the
// reason.
func TestUndecodableDocumentRaisesAlarm(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	Tick(w, at, []Input{DocumentRead{Document: documentOf(5, 3)}})
	Tick(w, at, []Input{DocumentRead{Err: &config.InvalidError{Err: errors.New("cut short")}}})
	is.True(w.Log.Up)
	is.Equal(w.Config.State.Version, uint64(5))
	is.Equal(w.Alarms[AlarmDocument], "cut short")
	is.True(w.Log.CaughtUp) // so a restarted daemon may serve what its peers hold
}

// TestDeltaLeadsToTheSameState sends the delta between two versions, as a daemon does in
// a storm of changes. A daemon that holds the first version must arrive at the sender's
// state; one that holds another version, or arrives at another hash, must not apply the
// delta.
func TestDeltaLeadsToTheSameState(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1001, 0)
	sender, receiver := documentWorld(), documentWorld()
	Tick(sender, at, []Input{DocumentRead{Document: documentOf(5, 30)}})
	Tick(receiver, at, []Input{DocumentRead{Document: documentOf(5, 30)}})
	Tick(sender, at, []Input{DocumentRead{Document: documentOf(8, 20)}})
	Tick(sender, at, []Input{DocumentRead{Document: documentOf(12, 40)}})
	d, ok := delta(sender, 5)
	is.True(ok)
	l := &table.Link{ID: 1, Peer: "other"}
	var out Outbox
	receiveDelta(receiver, at, l, d, &out)
	is.Equal(receiver.Config.State.Hash, sender.Config.State.Hash)

	unrelated := documentWorld()
	Tick(unrelated, at, []Input{DocumentRead{Document: documentOf(6, 2)}})
	receiveDelta(unrelated, at, l, d, &out)
	is.Equal(unrelated.Config.State.Version, uint64(6)) // other start version: not applied
	d.Hash = "other"
	mismatched := documentWorld()
	Tick(mismatched, at, []Input{DocumentRead{Document: documentOf(5, 30)}})
	receiveDelta(mismatched, at, l, d, &out)
	is.Equal(mismatched.Config.State.Version, uint64(5)) // other resulting hash: not applied
}

// TestLateAnnouncementsChangeNothing guards against upstreams that get calls again after
// they left: announcements that were delayed arrive after the upstream began to drain, was
// removed, or was displaced by another process at its address.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := w.Started.Add(w.Params.AnnouncementDelay) // no announcement is from before the daemon's start
	announceUpstream := func(id string, sequence uint64, draining bool) {
		Tick(w, at, []Input{Announced{Local: table.Local{
			Upstream: wire.Upstream{ID: id, Service: "s", Slots: 4, Draining: draining},
			Name:     id, Incarnation: id, Process: id, Addr: "a:1", Sequence: sequence,
		}}})
	}
	announceUpstream("one", 4, false)
	announceUpstream("one", 6, true)
	announceUpstream("one", 5, false)
	is.True(w.Locals["one"].Draining)
	announceUpstream("two", 1, false) // a new process at the address
	is.Equal(w.Locals["one"], nil)
	announceUpstream("one", 7, false)
	is.Equal(len(w.Locals), 1)
	Tick(w, at, []Input{Removed{Name: "two"}})
	announceUpstream("two", 2, false)
	is.Equal(len(w.Locals), 0)
}

// TestDaemonAtReusedAddressDisplaces starts a daemon at the address of one that stopped
// without notice. If the old member did not lapse at once, calls to its upstreams would
// reach the new daemon and be refused until the old member lapses minutes later.
func TestDaemonAtReusedAddressDisplaces(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	var out Outbox
	old := wire.Member{ID: "old", Domain: "d", Peer: "p:1", Owner: "o:1", Incarnation: 10, Seq: 1}
	other := wire.Member{ID: "other", Domain: "d", Peer: "p:2", Owner: "o:2", Incarnation: 11, Seq: 1}
	mergeMembers(w, at, 0, wire.Members{Records: []wire.Member{old, other}}, &out)
	is.True(!w.Members["old"].Lapsed)
	mergeMembers(w, at, 0, wire.Members{Records: []wire.Member{
		{ID: "new", Domain: "d", Peer: "p:1", Owner: "o:1", Incarnation: 20, Seq: 1},
	}}, &out)
	is.True(w.Members["old"].Lapsed)
	is.True(!w.Members["new"].Lapsed)
	is.True(!w.Members["other"].Lapsed)
	old.Heartbeat.Seq = 9 // a delayed record does not restore the member
	old.Seq = 2
	mergeMembers(w, at, 0, wire.Members{Records: []wire.Member{old}}, &out)
	is.True(w.Members["old"].Lapsed)
	mergeMembers(w, at, 0, wire.Members{Heartbeats: []wire.MemberHeartbeat{{ID: "old", Incarnation: 10, Heartbeat: wire.Heartbeat{Seq: 12}}}}, &out)
	is.True(w.Members["old"].Lapsed)
}

// TestMemberThatMovedIsNotDisplaced starts a daemon at the former address of a member that
// has moved to another address: that member must not lapse.
func TestMemberThatMovedIsNotDisplaced(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	w.Links[1] = &table.Link{ID: 1, Peer: "p", HeardAt: at, EchoAt: at}
	receiveRecord := func(id, owner string, incarnation uint64) {
		rec := wire.Member{ID: id, Domain: "d", Peer: owner, Owner: owner, Incarnation: incarnation, Seq: 1}
		Tick(w, at, []Input{Received{Link: 1, Message: wire.Members{Records: []wire.Member{rec}}}})
	}
	receiveRecord("a", "x:1", 10)
	receiveRecord("a", "y:1", 20)
	receiveRecord("b", "x:1", 30)
	is.True(!w.Members["a"].Lapsed)
	is.True(!w.Members["b"].Lapsed)
	receiveRecord("c", "y:1", 40)
	is.True(w.Members["a"].Lapsed) // another daemon has its address now
}

// TestEachDocumentReadIsLogged guards against documents that are read without a trace: each
// read must emit an event with the document's version and whether it was applied.
func TestEachDocumentReadIsLogged(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	documentEvents := func(r DocumentRead) []event.Event {
		var list []event.Event
		for _, e := range Tick(w, time.Unix(1001, 0), []Input{r}).Events {
			if e.Kind == event.DocumentRead || e.Kind == event.DocumentRefused {
				e.Clock = 0
				list = append(list, e)
			}
		}
		return list
	}
	is.Equal(documentEvents(DocumentRead{Document: documentOf(5, 3)}), []event.Event{
		{Kind: event.DocumentRead, Version: 5, Detail: "takes the place of version 0, 3 routes"},
	})
	is.Equal(documentEvents(DocumentRead{Document: documentOf(4, 3)}), []event.Event{
		{Kind: event.DocumentRead, Version: 4, Detail: "no later than version 5, which is held"},
	})
	is.Equal(documentEvents(DocumentRead{Err: &config.InvalidError{Err: errors.New("cut short")}}), []event.Event{
		{Kind: event.DocumentRefused, Detail: "version 5 stays: cut short"},
	})
	is.Equal(documentEvents(DocumentRead{}), nil) // nothing was read
	is.Equal(w.Config.Since, time.Unix(1001, 0))
}

// TestAlarmsClearIfVersionCameFromPeer guards against alarms that outlive their cause: a
// daemon may read a version from the store that it has already received from a peer. The
// alarms of the version before must be cleared then as well.
func TestAlarmsClearIfVersionCameFromPeer(t *testing.T) {
	is := is.New(t)
	w, other := documentWorld(), documentWorld()
	at := time.Unix(1001, 0)
	flawed := documentOf(7, 12)
	for name, r := range flawed.Content.Routes {
		r.Service = "not-listed"
		flawed.Content.Routes[name] = r
	}
	Tick(w, at, []Input{DocumentRead{Document: flawed}})
	is.Equal(w.Config.State.Version, uint64(7))
	is.True(strings.Contains(w.Alarms[AlarmFlaws], "route r0: names service not-listed, which is not listed; taken as listed"))
	Tick(w, at, []Input{DocumentRead{Err: &config.InvalidError{Err: errors.New("cut short")}}})
	is.True(w.Alarms[AlarmDocument] != "")

	Tick(other, at, []Input{DocumentRead{Document: documentOf(9, 3)}})
	var out Outbox
	is.True(adopt(w, at, other.Config.State, &out)) // received from a peer
	Tick(w, at, []Input{DocumentRead{Document: documentOf(9, 3)}})
	is.Equal(w.Alarms[AlarmFlaws], "")
	is.Equal(w.Alarms[AlarmDocument], "")
}
