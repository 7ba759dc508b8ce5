package suspect

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Enough is the number of upstreams that must have crashed while running a request
	// for it to be quarantined. One crash makes suspects of all requests that ran at the
	// upstream, 16 or more. That a harmless request is a suspect of two crashes is still
	// common where calls are retried at other upstreams; of three crashes without an
	// answer in between it is not.
	Enough = 3
	// Keep is how long a record is kept after its last change: long enough for somebody
	// to investigate what crashed three upstreams. A request that still crashes them
	// after that is quarantined again after three more crashes.
	Keep = 24 * time.Hour
	// maxClockSkew is how far the clocks of two VMs may differ. A record with a later
	// timestamp than that allows is treated as changed now.
	maxClockSkew = time.Minute
)

// End identifies one crash of one upstream.
type End uint64

// EndOf returns the identifier of the n-th crash of an upstream that a daemon saw during
// the given incarnation of the daemon.
func EndOf(upstream string, incarnation, n uint64) End {
	h := xxhash.New()
	// Writing to a hash never fails.
	_, _ = h.WriteString(upstream)
	_, _ = h.Write(bigEndianBytes(incarnation, n))
	return End(h.Sum64())
}

// Record is what is known of one request. Merging records of a request gives the same
// result in whatever order, and however often, they are merged.
type Record struct {
	Digest Digest `json:"d"`
	// Round increases each time the request is cleared, usually because an upstream
	// answered it: the crashes of earlier rounds had another cause and no longer count.
	Round uint32 `json:"r,omitempty"`
	// Vouched is set if this round began without an answer: the request was cleared by a
	// daemon whose upstream had answered it earlier, or by an operator.
	Vouched bool `json:"v,omitempty"`
	// Ends are the crashes that the request is suspected of in this round, sorted, at
	// most Enough of them.
	Ends []End `json:"e,omitempty"`
	// At is when the record last changed, in Unix milliseconds by the clock of the daemon
	// that changed it.
	At int64 `json:"t"`
}

// Quarantined reports whether the request must not be run any more.
func (r Record) Quarantined() bool { return len(r.Ends) >= Enough }

// Valid reports whether a record could have been produced by a Table.
func (r Record) Valid() bool { return r.Digest != 0 && len(r.Ends) <= Enough }

// merged returns the merge of two records of the same request: the record of the later
// round or, within one round, the union of their crashes.
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

// Same reports whether two records of a request are equal but for the time of their last
// change.
func (r Record) Same(o Record) bool {
	return r.Round == o.Round && r.Vouched == o.Vouched && slices.Equal(r.Ends, o.Ends)
}

// Expired reports whether a record is past its retention period.
func (r Record) Expired(now time.Time) bool { return now.UnixMilli()-r.At > Keep.Milliseconds() }

// bigEndianBytes returns the numbers in big-endian encoding, to be hashed.
func bigEndianBytes(nums ...uint64) []byte {
	b := make([]byte, 0, 8*len(nums))
	for _, w := range nums {
		b = binary.BigEndian.AppendUint64(b, w)
	}
	return b
}

// hash returns a hash of all that Same compares, and of the digest.
func (r Record) hash() uint64 {
	nums := []uint64{uint64(r.Digest), uint64(r.Round)}
	if r.Vouched {
		nums = append(nums, 0)
	}
	for _, e := range r.Ends {
		nums = append(nums, uint64(e))
	}
	return xxhash.Sum64(bigEndianBytes(nums...))
}
