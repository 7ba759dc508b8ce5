package outcome

import (
	"strconv"
	"strings"
	"time"
)

// LongBody is the size in bytes from which a body is sent concurrently with waiting for
// the answer. The other end may answer without reading the body, and a socket buffers less
// than this before a write blocks.
const LongBody = 16 << 10

// Load is an upstream's load, which its owner reports with every answer.
type Load struct {
	InFlight int
	Queued   int
	Slots    int
	// Service is the mean time that the upstream takes for an attempt, at its Pace.
	Service time.Duration
	// Pace is how long work takes at the upstream at this moment, as a multiple of the usual
	// time; zero or 1: as usual. It is not part of the encoded load.
	Pace float64
	// Intake is how long a body of LongBody or more has to wait at present before it may
	// be sent to the owner.
	Intake time.Duration
	// Egress is how long a response of LongBody or more would wait for the link of the
	// owner's VM. It is not part of the encoded load.
	Egress time.Duration
}

// loadFields is the number of integers in an encoded load.
const loadFields = 5

// Encode returns the load as the value of a header.
func (l Load) Encode() string {
	b := make([]byte, 0, 32)
	for i, n := range [loadFields]int64{int64(l.InFlight), int64(l.Queued), int64(l.Slots), l.Service.Microseconds(), l.Intake.Microseconds()} {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendInt(b, n, 10)
	}
	return string(b)
}

// DecodeLoad parses the value of a header that Encode returned. It returns false for any
// other text.
func DecodeLoad(s string) (Load, bool) {
	var n [loadFields]int64
	for i := range n {
		field, rest, more := strings.Cut(s, " ")
		v, err := strconv.ParseInt(field, 10, 64)
		if err != nil || more != (i < loadFields-1) {
			return Load{}, false
		}
		n[i] = v
		s = rest
	}
	return Load{
		InFlight: int(n[0]), Queued: int(n[1]), Slots: int(n[2]),
		Service: time.Duration(n[3]) * time.Microsecond, Intake: time.Duration(n[4]) * time.Microsecond,
	}, true
}
