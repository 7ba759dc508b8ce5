package system

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// While all daemons start, nearly each of them ranks among the roots for some time, since it
// knows few members yet. The rules in this file bound what such a daemon reads from the store,
// however long the start takes: the daemons that are most likely to stay roots read first and
// supply the others, which then only read the end of the log.

// unsettledWaitFraction is the longest wait of a daemon whose role is unsettled before it
// reads the log, as a fraction of Params.InForce, the time within which a change must be in
// force. The remainder is left for distributing the changes that the daemon reads.
const unsettledWaitFraction = 0.5

// startPeriods is the time after the start of a daemon for which its role may be unsettled, as a
// multiple of Params.InForce. A later difference between its members and those of its peers means
// that other daemons start; the roots must go on reading then.
const startPeriods = 2

// isSettled reports whether this daemon's role is reliable: its members match those of a peer,
// there is no peer that could know more, or the daemon started long ago.
func isSettled(w *table.World, now time.Time) bool {
	if now.Sub(w.Started) >= startPeriods*w.Params.InForce || membersMatchPeer(w) {
		return true
	}
	for _, l := range w.Links {
		if !l.Probe {
			return false
		}
	}
	return w.Log.CaughtUp || !w.DialsAny()
}

// membersMatchPeer reports whether a peer knows the same members.
func membersMatchPeer(w *table.World) bool {
	digest, _ := w.MemberDigests()
	for _, l := range w.Links {
		if l.Up() && l.Members == digest && len(w.Members) > 0 {
			return true
		}
	}
	return false
}

// unsettledWaits reports whether a daemon whose role is unsettled must wait before its next
// read of the log. Before its first read it waits for a peer that supplies the configuration.
// Afterwards it pauses whenever it has reached the end of the log.
func unsettledWaits(w *table.World, now time.Time) bool {
	log := &w.Log
	if log.Failed || log.Regressed || log.Scanning || isSettled(w, now) {
		return false
	}
	longest := unsettledWait(w, 1)
	first := w.Started.Add(w.Params.Grace)
	switch {
	case log.CaughtUp:
		pause := unsettledWait(w, estimatedRank(w.Self))
		if w.Params.Revoke > 0 {
			// All roots may be unsettled at the same time. Without their reads, the
			// configuration becomes stale on all daemons.
			pause = min(pause, w.Params.Revoke/readsPerRevocationBound)
		}
		return now.Before(log.EndReadAt.Add(pause))
	case log.Up: // reads on to the end
		return false
	case anyPeerAhead(w):
		return now.Before(first.Add(longest))
	case w.Config.State.Position > 0:
		return false
	}
	return now.Before(first.Add(unsettledWait(w, estimatedRank(w.Self))))
}

// unsettledWait returns the given fraction of the longest wait of a daemon whose role is unsettled.
func unsettledWait(w *table.World, fraction float64) time.Duration {
	return time.Duration(fraction * unsettledWaitFraction * float64(w.Params.InForce))
}

// estimatedRank estimates the rank of a member in the order of its failure domain, as a fraction
// from 0 for the first to 1 for the last, without knowing the other members: members are ordered
// by narrowness, then by hash.
func estimatedRank(m wire.Member) float64 {
	n := float64(narrowness(m))
	return (n + float64(rankHash(m.Domain, m.ID))/math.MaxUint64) / (n + 1)
}

// rankHash orders members of the same narrowness within their failure domain.
func rankHash(domain, id string) uint64 { return xxhash.Sum64String(domain + "\x00" + id) }

// readsQuarantineUnsettled reports whether a daemon whose role is unsettled reads the
// quarantine from the store: once, if no peer supplied the configuration, so that the
// quarantine is known soon after a start of the whole fleet.
func readsQuarantineUnsettled(w *table.World) bool {
	return w.Log.ReadFromStart && !w.Quarantine.Read
}

func anyPeerAhead(w *table.World) bool {
	for _, l := range neighbours(w) {
		if peerIsAhead(w, l) {
			return true
		}
	}
	return false
}
