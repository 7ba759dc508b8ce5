package suspect

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Enough is how many upstreams have ended under a request when it is run no more.
	// One end has as many suspects as runs were on it, 16 or more; two that coincide
	// are still common where calls are tried again elsewhere; three without an answer
	// in between are not.
	Enough = 3
	// Keep is how long a record is kept after its last change: by then somebody has
	// looked at what ended three upstreams. A request that still ends them is stopped
	// again after three more.
	Keep = 24 * time.Hour
	// skew is how far the clocks of two VMs may be apart. A record from later than that
	// counts as of now.
	skew = time.Minute
)

// End names one end of one upstream.
type End uint64

// EndOf names the n-th end that a life of a daemon saw of an upstream.
func EndOf(upstream string, incarnation, n uint64) End {
	h := xxhash.New()
	// Writing to a hash never fails.
	_, _ = h.WriteString(upstream)
	_, _ = h.Write(numbers(incarnation, n))
	return End(h.Sum64())
}

// Record is what is known of a request. Two records of one request merge into the same
// third one in whatever order, and however often, they come.
type Record struct {
	Digest Digest `json:"d"`
	// Round grows each time that an upstream answered the request: what ended before
	// ended by something else.
	Round uint32 `json:"r,omitempty"`
	// Vouched says that this round began without an answer: a daemon that had answered the
	// request before has vouched for it, or an operator has cleared it.
	Vouched bool `json:"v,omitempty"`
	// Ends are the upstreams that have ended under the request in this round, Enough at
	// most, in order.
	Ends []End `json:"e,omitempty"`
	// At is when the record last changed, in Unix milliseconds of the clock of the
	// daemon that changed it.
	At int64 `json:"t"`
}

// Quarantined reports whether the request is run no more.
func (r Record) Quarantined() bool { return len(r.Ends) >= Enough }

// Valid reports whether a record can be of a table's making.
func (r Record) Valid() bool { return r.Digest != 0 && len(r.Ends) <= Enough }

// merged returns what two records of a request say together.
func (r Record) merged(o Record) Record {
	switch {
	case o.Round > r.Round:
		return o
	case o.Round < r.Round:
		return r
	}
	ends := slices.Concat(r.Ends, o.Ends)
	slices.Sort(ends)
	ends = slices.Compact(ends)
	return Record{
		Digest: r.Digest, Round: r.Round, Vouched: r.Vouched || o.Vouched,
		Ends: ends[:min(len(ends), Enough)], At: max(r.At, o.At),
	}
}

// Same reports whether two records of a request say the same of it.
func (r Record) Same(o Record) bool {
	return r.Round == o.Round && r.Vouched == o.Vouched && slices.Equal(r.Ends, o.Ends)
}

// Expired reports whether a record is out of date.
func (r Record) Expired(now time.Time) bool { return now.UnixMilli()-r.At > Keep.Milliseconds() }

// numbers returns numbers as bytes to be hashed.
func numbers(words ...uint64) []byte {
	b := make([]byte, 0, 8*len(words))
	for _, w := range words {
		b = binary.BigEndian.AppendUint64(b, w)
	}
	return b
}

// hash returns a number that differs between records that are not the same.
func (r Record) hash() uint64 {
	words := []uint64{uint64(r.Digest), uint64(r.Round)}
	if r.Vouched {
		words = append(words, 0)
	}
	for _, e := range r.Ends {
		words = append(words, uint64(e))
	}
	return xxhash.Sum64(numbers(words...))
}
