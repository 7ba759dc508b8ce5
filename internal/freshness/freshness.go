// Package freshness decides whether a configuration is recent enough to serve calls that a
// newer one may forbid. All times are measured since this VM's boot, by a clock that
// continues while the VM is suspended; the clocks of other VMs are not trusted.
package freshness

import "time"

// Timestamp is the last time at which this daemon's configuration was certainly the newest.
// Zero means never.
type Timestamp time.Duration

// Fresh reports whether the configuration may still serve such calls now. bound is the time
// after which an accepted version must be obeyed by all daemons; zero means that there is no
// such bound. This is safe because the configuration includes all versions accepted before
// the timestamp, and a version accepted after it need not be obeyed until the bound has passed.
func (t Timestamp) Fresh(now, bound time.Duration) bool {
	return bound == 0 || t > 0 && now-time.Duration(t) < bound
}

// Age returns the time since the timestamp.
func (t Timestamp) Age(now time.Duration) time.Duration { return now - time.Duration(t) }

// FromPeer returns the timestamp for a confirmation from another VM: the other VM's
// configuration had the given age when the message that this VM had sent at the time sent
// was received there. The whole round trip is added to the age, since the clocks of the
// two VMs cannot be compared.
func FromPeer(sent, age time.Duration) Timestamp { return Timestamp(max(0, sent-age)) }

// sendTimesKept is the number of messages whose send times are kept: those of two seconds at
// eight messages per second. A connection that is silent for longer than that is closed.
const sendTimesKept = 16

// SendTimes keeps the send times of the last numbered messages on a connection.
type SendTimes struct {
	seq [sendTimesKept]uint64
	at  [sendTimesKept]time.Duration
}

// Sent records that the message with the given number was sent. Numbers begin at one.
func (s *SendTimes) Sent(seq uint64, now time.Duration) {
	s.seq[seq%sendTimesKept], s.at[seq%sendTimesKept] = seq, now
}

// At returns when a message was sent. It returns false if the message was not sent yet, or
// its send time is no longer kept.
func (s *SendTimes) At(seq uint64) (time.Duration, bool) {
	return s.at[seq%sendTimesKept], seq > 0 && s.seq[seq%sendTimesKept] == seq
}
