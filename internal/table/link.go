package table

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// LinkID identifies a control connection within this process. IDs are never reused; zero
// means no connection.
type LinkID uint64

// Link is a control connection to another daemon, the peer.
type Link struct {
	ID LinkID
	// Peer is the ID of the member that this daemon is connected to, "" until its hello has
	// arrived.
	Peer   string
	Domain string
	// Dialed is set if this daemon opened the connection.
	Dialed bool
	// Met is set once a dialed peer's hello has arrived, which includes the highest
	// version that the peer saw this daemon apply (see Config.Floor).
	Met bool
	// Probe marks a short-lived connection that only compares states, so that a
	// partitioned tree still converges.
	Probe bool
	// Addr is the address that was dialed.
	Addr   string
	Opened time.Time
	// HeardAt is when a message last arrived; EchoAt is when the peer last acknowledged a
	// ping of this daemon.
	HeardAt time.Time
	EchoAt  time.Time

	// PingSeq and PingAt are the sequence number and the time of the last ping sent.
	// SeenSeq is the highest number received, Echoed the highest number that the peer
	// acknowledged.
	PingSeq uint64
	PingAt  time.Time
	SeenSeq uint64
	Echoed  uint64
	// Base, Position and Hash identify the configuration that the peer holds; Members is
	// the digest of the members that the peer knows.
	Base     uint64
	Position uint64
	Hash     string
	Members  uint64
	// TakesSuspects is set if the peer accepts records of suspects.
	TakesSuspects bool
	// TakesRollouts is set if the peer accepts the states of rollouts.
	TakesRollouts bool
	// TakesConfirmations is set if the peer accepts confirmations of freshness.
	TakesConfirmations bool
	// TakesDepartures is set if the peer accepts Departures and DeparturesHeld messages.
	TakesDepartures bool
	// Pings holds the send times of the last pings.
	Pings freshness.SendTimes
	// Confirmation is the peer's last confirmation of the freshness of its configuration.
	// ConfirmationSent is the timestamp in the last confirmation sent to the peer.
	Confirmation     Confirmation
	ConfirmationSent freshness.Timestamp
	// Tallies are the counts of calls during rollouts that the peer has summed over its
	// own calls and those of the daemons below it in the distribution tree, by service.
	Tallies map[string]wire.Tally
	// Sent is the position up to which records were pushed.
	Sent uint64
	// PullAfter is when the next pull may be sent.
	PullAfter time.Time
	// MembersPulled is when members were last pulled.
	MembersPulled time.Time
}

// Up reports whether the peer's hello has arrived.
func (l *Link) Up() bool { return l.Peer != "" }

// LinkTo returns a connection to the member other than a probe, or nil.
func (w *World) LinkTo(id string) *Link {
	for _, l := range w.Links {
		if l.Peer == id && !l.Probe {
			return l
		}
	}
	return nil
}

// Backoff delays attempts to dial an address that this daemon could not reach. It is local
// and never sent to other daemons.
type Backoff struct {
	Failures int
	Until    time.Time
	// Dialing is set during an attempt.
	Dialing bool
}

// The range of the backoff before jitter.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 15 * time.Second
)

// RecordDialFailure records a failed attempt to dial the address and doubles its backoff.
func (w *World) RecordDialFailure(addr string, now time.Time) {
	b := w.backoff(addr)
	b.Dialing = false
	wait := minBackoff << min(b.Failures, 10)
	wait = min(wait, maxBackoff)
	b.Failures++
	jitter := time.Duration(w.Rand.Int64N(int64(wait)))
	b.Until = now.Add(wait/2 + jitter)
}

// DeferDial records that the daemon at the address requested not to be dialed before until.
func (w *World) DeferDial(addr string, until time.Time) {
	b := w.backoff(addr)
	b.Dialing = false
	b.Until = until
}

// ClearBackoff records that the address was reached, which ends its backoff.
func (w *World) ClearBackoff(addr string) { delete(w.Backoffs, addr) }

// Reachable reports whether the address may be dialed now.
func (w *World) Reachable(addr string, now time.Time) bool {
	b := w.Backoffs[addr]
	return b == nil || (!b.Dialing && !now.Before(b.Until))
}

// Dialing reports whether an attempt to dial the address is in progress.
func (w *World) Dialing(addr string) bool {
	b := w.Backoffs[addr]
	return b != nil && b.Dialing
}

// DialsAny reports whether any attempt to dial is in progress.
func (w *World) DialsAny() bool {
	for _, b := range w.Backoffs {
		if b.Dialing {
			return true
		}
	}
	return false
}

// SetDialing records that an attempt to dial the address begins or ends.
func (w *World) SetDialing(addr string, dialing bool) { w.backoff(addr).Dialing = dialing }

func (w *World) backoff(addr string) *Backoff {
	b := w.Backoffs[addr]
	if b == nil {
		b = &Backoff{}
		w.Backoffs[addr] = b
	}
	return b
}
