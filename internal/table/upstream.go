package table

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/wire"
)

// Local is an upstream on this daemon's VM.
type Local struct {
	wire.Upstream
	// Process is the upstream's own identifier of its process, or empty.
	Process string
	// Name is the upstream's name on this VM. The ID identifies one incarnation of it, so
	// that nothing recorded of an earlier incarnation is applied to this one.
	Name string
	// Incarnation identifies this incarnation of the upstream.
	Incarnation string
	// StartedMs is when this incarnation began, in Unix milliseconds by the upstream's own
	// clock. Of two incarnations with the same name the later one is current. Zero if
	// unknown.
	StartedMs int64
	// Addr is the address at which the upstream accepts calls.
	Addr string
	// Conns is the maximum number of connections to the upstream.
	Conns int
	// Sequence is the number of the last announcement; zero if they are not numbered.
	Sequence uint64
	// Ramped is set once the upstream has ramped up to all of its slots.
	Ramped bool
	// Until is when the upstream is removed unless it announces itself again.
	Until time.Time
}

// Numbered reports whether the upstream's announcements have sequence numbers. Others are sent
// over the loopback interface and never arrive late.
func (l *Local) Numbered() bool { return l.Sequence != 0 }

// Departure records that an incarnation of an upstream has said that it leaves.
type Departure struct {
	// StartedMs is when that incarnation began. Announcements of it and of earlier ones are
	// late and are ignored.
	StartedMs int64
	// Until is when late announcements are no longer expected.
	Until time.Time
	// Recalled is set if an earlier incarnation of this daemon was told, and a peer or the
	// store remembers it.
	Recalled bool
}

// DepartureMemory is who else remembers the departures on this daemon's VM, for the time after a
// restart.
type DepartureMemory struct {
	// Changed is the revision of this daemon's record at which a departure was last added.
	// HeldByPeer and HeldByStore are the highest revisions whose departures another daemon and
	// the store hold.
	Changed     uint64
	HeldByPeer  uint64
	HeldByStore uint64
	// Stored is what the store holds, as last read or written, Unstored is set if it is to be
	// told of a change.
	Stored   []wire.Departure
	Unstored bool
	// StoreFailed is set if the last call that reads or writes them has failed since a departure
	// was last added. A call that takes long has not.
	StoreFailed bool
	// OldestPeer is when the peer that had been running for longest when it last reported its
	// memory of this daemon was started; zero: none has reported.
	OldestPeer time.Time
	// StoreRead is set once the store has returned what it remembers, since the start of this
	// daemon. NextRead is when it is asked next.
	StoreRead bool
	NextRead  time.Time
}

// Candidate is an upstream that has announced itself and gets no calls yet: an announcement of
// one that is gone may have been delayed.
type Candidate struct {
	// Local is the row as of the last announcement.
	Local
	// FirstAt and LastAt are when the first and the last announcement were received, Count is
	// their number.
	FirstAt time.Time
	LastAt  time.Time
	Count   int
	// Remembered is set if this daemon had a row of the same incarnation before.
	Remembered bool
	// Answered is set once the process at its address has answered a health check as this
	// upstream, Healthy once it has also said that it is healthy.
	Answered bool
	Healthy  bool
	// NextCheck is when its health is checked next.
	NextCheck time.Time
	// Holder is the ID of the upstream that held its address when the candidate was first
	// announced, or "", HolderSequence the sequence number of that one's last announcement.
	Holder         string
	HolderSequence uint64
}
