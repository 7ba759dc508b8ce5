package table

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreygate/comfreygate/internal/wire"
)

// Member is this daemon's record of another daemon.
type Member struct {
	wire.Member
	// RenewedAt is when the member last renewed its record: when its last heartbeat arrived,
	// or when its last record arrived, less the age stated in that record.
	RenewedAt time.Time
	// Lapsed is set if the member did not renew its record in time, or was displaced at
	// its address. It is then ignored, but the row is kept, so that an old copy of the
	// record cannot restore the member.
	Lapsed bool
	// Floor is the highest version that the member has reported as applied, over all of
	// its incarnations.
	Floor uint64
	// PastDepartures are the departures in the records of the member's earlier incarnations.
	PastDepartures []PastDeparture
}

// PastDeparture is a departure that a member's earlier incarnation knew of.
type PastDeparture struct {
	wire.Departure
	// Until is when late announcements of the upstream are no longer expected.
	Until time.Time
}

// bucketCount is the number of buckets into which members are hashed; a full comparison
// exchanges one digest per bucket.
const bucketCount = 32

// derived caches values computed from the members that are too expensive to compute every
// tick. MembersChanged invalidates most of them.
type derived struct {
	// ordersStale is set if members have changed since orders were last dropped, at
	// ordersRenewedAt.
	ordersStale     bool
	ordersRenewedAt time.Time
	digest          uint64
	buckets         []uint64
	orders          map[string][]wire.Member
	domains         []string
	holders         map[string]holder
	byDigest        map[uint64]string
}

// holder is the daemon that started last at an owner address.
type holder struct {
	id          string
	incarnation uint64
}

// MembersChanged must be called after every change to the set of live members or to their
// records. Heartbeats do not count as changes. Without the call, the tree and the digests
// would be computed from outdated members.
func (w *World) MembersChanged() {
	w.derived = derived{holders: w.derived.holders, orders: w.derived.orders, ordersStale: true, ordersRenewedAt: w.derived.ordersRenewedAt}
	w.ViewSoon = true
}

// RenewOrders drops the orders cached by Order if members have changed since, at most once
// per interval: while many daemons start, each record that arrives changes the order.
func (w *World) RenewOrders(now time.Time, interval time.Duration) {
	if !w.derived.ordersStale || now.Before(w.derived.ordersRenewedAt.Add(interval)) {
		return
	}
	w.derived.orders, w.derived.ordersStale, w.derived.ordersRenewedAt = nil, false, now
	w.LimitCoordinators = nil
}

// EachLive calls f for this daemon and for each member that has not lapsed.
func (w *World) EachLive(f func(wire.Member)) {
	f(w.Self)
	for _, row := range w.Members {
		if !row.Lapsed {
			f(row.Member)
		}
	}
}

// RemoveMember removes a member's row.
func (w *World) RemoveMember(id string) {
	delete(w.Members, id)
	w.derived.holders = nil // the member may have held an address
	w.MembersChanged()
}

// MemberDigests returns a digest for each bucket of live members, including this daemon,
// and one over all buckets. Heartbeats do not change a digest. The slice must not be changed.
func (w *World) MemberDigests() (all uint64, each []uint64) {
	if w.derived.buckets == nil {
		w.derived.digest, w.derived.buckets = w.memberDigests()
	}
	return w.derived.digest, w.derived.buckets
}

// MembersByDigest returns the IDs of live members, including this daemon, by the digests
// that identify their records in messages. The map must not be changed.
func (w *World) MembersByDigest() map[uint64]string {
	if w.derived.byDigest == nil {
		ids := make(map[uint64]string, len(w.Members)+1)
		w.EachLive(func(m wire.Member) { ids[memberDigest(m)] = m.ID })
		w.derived.byDigest = ids
	}
	return w.derived.byDigest
}

func (w *World) memberDigests() (all uint64, each []uint64) {
	each = make([]uint64, bucketCount)
	each[Bucket(w.Self.ID)] ^= memberDigest(w.Self)
	for _, m := range w.Members {
		if !m.Lapsed {
			each[Bucket(m.ID)] ^= memberDigest(m.Member)
		}
	}
	var b []byte
	for _, d := range each {
		b = binary.LittleEndian.AppendUint64(b, d)
	}
	return xxhash.Sum64(b), each
}

// Domains returns all known failure domains, sorted. The slice must not be changed.
func (w *World) Domains() []string {
	if w.derived.domains == nil {
		seen := map[string]bool{w.Self.Domain: true}
		for _, row := range w.Members {
			seen[row.Domain] = true
		}
		w.derived.domains = slices.Sorted(maps.Keys(seen))
	}
	return w.derived.domains
}

// Order returns a failure domain's members in the order that compute returns, and caches it
// until RenewOrders drops it.
func (w *World) Order(domain string, compute func() []wire.Member) []wire.Member {
	if list, ok := w.derived.orders[domain]; ok {
		return list
	}
	if w.derived.orders == nil {
		w.derived.orders = map[string][]wire.Member{}
	}
	list := compute()
	w.derived.orders[domain] = list
	return list
}

// holders returns the daemon that started last at each owner address. The map is kept up to
// date as members are added and change: if it were rebuilt for each record, a start among n
// members would cost n² steps.
func (w *World) holders() map[string]holder {
	if w.derived.holders == nil {
		w.derived.holders = map[string]holder{w.Self.Owner: {id: w.Self.ID, incarnation: w.Self.Incarnation}}
		for _, row := range w.Members {
			w.ClaimAddress(row.Member)
		}
	}
	return w.derived.holders
}

// ClaimAddress records the owner address at which a member has started. It returns the ID
// of the member that held the address before and lost it, or "".
func (w *World) ClaimAddress(m wire.Member) (lost string) {
	holders := w.holders()
	current, taken := holders[m.Owner]
	if taken && current.id != m.ID && current.incarnation >= m.Incarnation {
		return ""
	}
	holders[m.Owner] = holder{id: m.ID, incarnation: m.Incarnation}
	if !taken || current.id == m.ID {
		return ""
	}
	return current.id
}

// Displaced reports whether another daemon has started later at the member's owner address.
// The member no longer runs then, even if copies of its record still arrive.
func (w *World) Displaced(m wire.Member) bool {
	current := w.holders()[m.Owner]
	return current.id != m.ID && current.incarnation > m.Incarnation
}

// Bucket returns the index of the bucket that a member belongs to.
func Bucket(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

func memberDigest(m wire.Member) uint64 {
	b := []byte(m.ID)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, m.Seq)
	return xxhash.Sum64(b)
}
