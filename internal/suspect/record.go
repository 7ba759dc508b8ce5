package suspect

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// QuarantineThreshold is the number of crashes after which a request is quarantined,
	// each of an upstream that was running the request. One crash makes suspects of all
	// requests that ran at the upstream, 16 or more. It is still common that a harmless
	// request is suspected of two crashes where calls are retried at other upstreams, but not
	// that it is suspected of three without an answer in between. Only if upstreams crash before
	// their daemons know of one another's crashes can a harmless request be suspected of three;
	// Record.Unattributed keeps it out of quarantine.
	QuarantineThreshold = 3
	// Retention is how long a record is kept after its last change: long enough for
	// somebody to investigate what crashed three upstreams. A request that crashes
	// upstreams later than that is quarantined again after three more crashes.
	Retention = 24 * time.Hour
	// maxClockSkew is how far the clocks of two VMs may differ. A record with a later
	// timestamp than that allows is treated as changed now.
	maxClockSkew = time.Minute
)

// CrashID identifies one crash of one upstream.
type CrashID uint64

// NewCrashID returns the identifier of the n-th crash of an upstream that a daemon saw in
// the given incarnation of that daemon.
func NewCrashID(upstream string, incarnation, n uint64) CrashID {
	h := xxhash.New()
	// Writing to a hash never fails.
	_, _ = h.WriteString(upstream)
	_, _ = h.Write(bigEndianBytes(incarnation, n))
	return CrashID(h.Sum64())
}

// Run is an announced run of a suspect: while it lasts, other daemons start no copy of the
// request.
type Run struct {
	// Seq increases with each announced run of a round.
	Seq uint32 `json:"n"`
	// Upstream is the ID of the upstream that runs the request.
	Upstream string `json:"u"`
	Ended    bool   `json:"e,omitempty"`
}

// maxUpstreamIDBytes is the maximum length of the ID of an upstream in a record, in bytes.
const maxUpstreamIDBytes = 255

// latestRun returns the later of two runs of a round. Of runs that were announced at the same
// time, all daemons keep the same one.
func latestRun(a, b Run) Run {
	if cmp.Or(cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Upstream, b.Upstream)) < 0 || a.Seq == b.Seq && a.Upstream == b.Upstream && b.Ended {
		return b
	}
	return a
}

// Record is what a daemon knows about one suspected request. Merging records of a request
// gives the same result in whatever order, and however often, they are merged.
type Record struct {
	Digest Digest `json:"d"`
	// Round increases each time the request is cleared, usually because an upstream
	// answered it: the crashes of earlier rounds had another cause and no longer count.
	Round uint32 `json:"r,omitempty"`
	// ClearedUnanswered is set if this round began without an answer: the request was
	// cleared by a daemon whose upstream had answered it earlier, or by an operator.
	ClearedUnanswered bool `json:"v,omitempty"`
	// Crashes are the crashes that the request is suspected of in this round, sorted, at
	// most QuarantineThreshold of them.
	Crashes []CrashID `json:"e,omitempty"`
	// Unattributed is set while none of the crashes is attributed to the request: at each
	// upstream other requests may have caused the crash as well.
	Unattributed bool `json:"u,omitempty"`
	// Run is the last run of the request that was announced in this round, unless the request
	// is quarantined.
	Run Run `json:"run,omitzero"`
	// At is when the record last changed, in Unix milliseconds by the clock of the daemon
	// that changed it.
	At int64 `json:"t"`
}

// Quarantined reports whether the request must not be run any more.
func (r Record) Quarantined() bool { return len(r.Crashes) >= QuarantineThreshold && !r.Unattributed }

// Valid reports whether a record could have been produced by a Table.
func (r Record) Valid() bool {
	return r.Digest != 0 && len(r.Crashes) <= QuarantineThreshold && len(r.Run.Upstream) <= maxUpstreamIDBytes
}

// merged returns the merge of two records of the same request: the record of the later
// round or, within one round, the union of their crashes.
func (r Record) merged(o Record) Record {
	switch {
	case o.Round > r.Round:
		return o
	case o.Round < r.Round:
		return r
	}
	crashes := slices.Concat(r.Crashes, o.Crashes)
	slices.Sort(crashes)
	crashes = slices.Compact(crashes)
	merged := Record{
		Digest: r.Digest, Round: r.Round, ClearedUnanswered: r.ClearedUnanswered || o.ClearedUnanswered,
		Crashes: crashes[:min(len(crashes), QuarantineThreshold)], At: max(r.At, o.At),
		Unattributed: len(crashes) > 0 && !r.attributed() && !o.attributed(),
	}
	if !merged.Quarantined() {
		merged.Run = latestRun(r.Run, o.Run)
	}
	return merged
}

// attributed reports whether a crash of the record is attributed to the request.
func (r Record) attributed() bool { return len(r.Crashes) > 0 && !r.Unattributed }

// Same reports whether two records of a request are equal but for the time of their last
// change.
func (r Record) Same(o Record) bool {
	return r.Round == o.Round && r.ClearedUnanswered == o.ClearedUnanswered && r.Unattributed == o.Unattributed && r.Run == o.Run && slices.Equal(r.Crashes, o.Crashes)
}

// Expired reports whether a record is past its retention period.
func (r Record) Expired(now time.Time) bool { return now.UnixMilli()-r.At > Retention.Milliseconds() }

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
	if r.ClearedUnanswered {
		nums = append(nums, 0)
	}
	for _, id := range r.Crashes {
		nums = append(nums, uint64(id))
	}
	if r.Unattributed {
		nums = append(nums, 0)
	}
	if r.Run != (Run{}) {
		nums = append(nums, uint64(r.Run.Seq), xxhash.Sum64String(r.Run.Upstream))
	}
	if r.Run.Ended {
		nums = append(nums, 0)
	}
	return xxhash.Sum64(bigEndianBytes(nums...))
}
