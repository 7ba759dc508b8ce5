// Package table holds the control state of a daemon as entity tables, which the systems of
// package system process each tick. Nothing here does I/O or reads a clock, and only one
// goroutine accesses a World.
package table

import (
	"math/rand/v2"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/freshness"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/suspect"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// Params are the settings of the control systems.
type Params struct {
	// Window is how long changes are batched before they are sent. A short window
	// converges faster, a long one sends fewer bytes.
	Window time.Duration
	// Fanout is the number of children of a relay in the distribution tree.
	Fanout int
	// Roots is the number of daemons per failure domain that read the log.
	Roots int
	// Heartbeat is the interval of pings on a connection.
	Heartbeat time.Duration
	// SilentAfter is how long a connection may be silent in one direction before it is
	// closed.
	SilentAfter time.Duration
	// Renew is the interval at which a member renews its record with a heartbeat.
	Renew time.Duration
	// Lapse is how long a member's record is valid without a renewal.
	Lapse time.Duration
	// UpstreamLapse is how long an upstream is kept without an announcement.
	UpstreamLapse time.Duration
	// AnnouncementDelay is the longest time by which a numbered announcement of an upstream
	// may be delayed.
	AnnouncementDelay time.Duration
	// Grace is how long a starting daemon waits for its first peer.
	Grace time.Duration
	// MaxLinks is the number of connections, opened or accepted, from which on further
	// ones are refused.
	MaxLinks int
	// SnapshotsPerSecond bounds the rate of snapshots sent.
	SnapshotsPerSecond int
	// Probe is the mean interval at which states are compared with a random member.
	Probe time.Duration
	// Checkpoint is the interval of checkpoints on the log. It must be well below the
	// log's retention.
	Checkpoint time.Duration
	// InForce is the time within which an accepted configuration must be in force on all
	// daemons.
	InForce time.Duration
	// Revoke is the time within which a revoked key must stop admitting calls, also at
	// daemons that are partitioned. Zero means no such bound.
	Revoke time.Duration
	// Documents is set if the configuration is read as whole documents, not as commands
	// on the log.
	Documents bool
	// Exposure is the fraction of a service's calls that a bad version may get.
	Exposure float64
	// Domains is the least number of failure domains of the deployment.
	Domains int
	// LoadControl says when load control is in force.
	LoadControl config.LoadControl
	// DisabledParts are the parts of load control that are never in force.
	DisabledParts []config.LoadControlPart
	// Compression says when calls to other failure domains are compressed.
	Compression config.Compression
	// Seeds are the addresses of daemons through which the others are found.
	Seeds []string
}

// DefaultParams returns the settings for the largest deployment that the system is designed
// for.
func DefaultParams() Params {
	return Params{
		Window:             100 * time.Millisecond,
		Fanout:             8,
		Roots:              2,
		Heartbeat:          2 * time.Second,
		SilentAfter:        7 * time.Second,
		Renew:              60 * time.Second,
		Lapse:              180 * time.Second,
		UpstreamLapse:      3 * time.Second,
		AnnouncementDelay:  10 * time.Second,
		Grace:              3 * time.Second,
		MaxLinks:           64,
		SnapshotsPerSecond: 20,
		Probe:              60 * time.Second,
		Checkpoint:         6 * time.Hour,
		InForce:            15 * time.Second,
		Exposure:           0.1,
		LoadControl:        config.LoadControlAuto,
		Compression:        config.CompressionAuto,
	}
}

// World holds all tables of one daemon.
type World struct {
	Params  Params
	Rand    *rand.Rand
	Started time.Time
	// Boot is the time since the VM's boot, as of this tick.
	Boot time.Duration
	// Fresh is the freshness of the configuration held.
	Fresh Freshness

	// Self is this daemon's own record; Self.Heartbeat.Applied is the version in
	// force here.
	Self wire.Member
	// SelfDirty is set if Self has changed and has not been sent yet.
	SelfDirty bool
	NextRenew time.Time

	// Members are the other daemons; MembersChanged must be called after a change.
	Members   map[string]*Member
	derived   derived
	NextLapse time.Time
	// MembersChangedAt is when another member's record last changed other than by a heartbeat.
	MembersChangedAt time.Time
	MembersTree      Tree
	// LimitCoordinators holds the limit coordinator of each failure domain: the domain's
	// first member, which counts calls against the rate limits of workspaces.
	LimitCoordinators map[string]wire.Member
	Links             map[LinkID]*Link
	// Backoffs holds the backoff of each unreachable address.
	Backoffs map[string]*Backoff
	// Locals are the upstreams on this VM, by ID.
	Locals map[string]*Local
	// Candidates are the upstreams on this VM that have announced themselves and get no calls
	// yet, by ID.
	Candidates map[string]*Candidate
	// Lapsed holds the former rows of upstreams that no longer announced themselves, or were
	// displaced at their address, by ID. Local.Until is when the row is dropped here too.
	Lapsed map[string]*Local
	// Departed holds the upstreams on this VM that have said that they leave, by name.
	Departed map[string]Departure
	// Memory is who else remembers the departures on this VM.
	Memory DepartureMemory
	// IncarnationRaised is set once Self.Incarnation is later than the start of this daemon.
	IncarnationRaised bool
	// AwakeSince is since when this daemon has run without a stall. It may have missed what
	// others said before. LastTick and LastTickBoot are the time and the boot time of the last
	// tick.
	AwakeSince   time.Time
	LastTick     time.Time
	LastTickBoot time.Duration
	Config       Config
	Log          Log
	Outgoing     Outgoing
	Alarms       map[string]string
	// Suspects is shared with the call path, which records crashes and answers in it.
	Suspects   *suspect.Table
	Quarantine Quarantine
	// Rollouts holds the last rollout of each service.
	Rollouts map[string]*Rollout
	// Orders holds the orders that were read but whose rollouts have not begun yet, by
	// service.
	Orders map[string]rollout.Order
	// PastOrders holds the last orders that were read, by service.
	PastOrders map[string][]rollout.Order
	// RolloutsRead is set once the store's records of rollouts have been read.
	RolloutsRead bool
	// NextTally is when the counts of calls during rollouts are next sent.
	NextTally time.Time
	// Versions holds when each version of a service was first seen here, by service.
	Versions map[string]map[string]time.Time
	// Probation holds the version that has just appeared beside others, by service;
	// VersionsDue is when a probation may next end.
	Probation   map[string]string
	VersionsDue time.Time

	NextProbe time.Time
	NextSeed  time.Time
	// SeedsFound is set once the log has returned addresses.
	SeedsFound bool
	// NextFind is when the log is next read for addresses, FindEvery the interval, which
	// doubles up to a bound.
	NextFind  time.Time
	FindEvery time.Duration
	Seeds     []string
	// SeedDomains holds the failure domains of the seeds for which it is known: from the log, or
	// from the last connection to the seed.
	SeedDomains map[string]string
	// OwnSeedsDialed is set if the last seeds that this daemon dialed were all of its own failure
	// domain, and it has had no connection since.
	OwnSeedsDialed bool
	// Ready is set once the daemon may serve calls: it has connected to peers or found
	// none, and the configuration held is no older than the one that it had in force in
	// an earlier incarnation.
	Ready bool
	// ViewDirty requests a new view for the call path at this tick.
	ViewDirty bool
	// ViewSoon requests a new view from ViewAfter on, so that changes at other daemons
	// are batched.
	ViewSoon  bool
	ViewAfter time.Time
}

// Freshness is the freshness of the configuration held: when it was last known to be the
// newest.
type Freshness struct {
	Timestamp freshness.Timestamp
	// From is the connection on which the timestamp arrived; zero if it comes from
	// reading the store.
	From LinkID
	// Known is set while the configuration is fresh: Timestamp is no older than
	// Params.Revoke.
	Known bool
}

// Confirmation is another daemon's confirmation of the freshness of its configuration, which
// Base and Position identify.
type Confirmation struct {
	Base      uint64
	Position  uint64
	Timestamp freshness.Timestamp
}

// Tree is this daemon's place in the distribution tree.
type Tree struct {
	// Parent is the ID of the member that sends the configuration to this daemon, or "".
	Parent string
	// Orphan is when this daemon's present search for a parent began, or zero.
	Orphan time.Time
	// Root is set if this daemon reads the log.
	Root bool
	// JoinedDomain is set once this daemon has had a connection to a peer of its own failure domain.
	JoinedDomain bool
	// RoleChangedAt is the later of two times: when this daemon last became a root, and when
	// JoinedDomain was set.
	RoleChangedAt time.Time
	// Rank is this daemon's index in the order of its failure domain.
	Rank int
	// Unwanted holds when each dialed connection that is not part of the tree stopped
	// being needed.
	Unwanted map[LinkID]time.Time
}

// Config is the configuration that this daemon holds. It is in force once the daemon is
// ready.
type Config struct {
	State *config.State
	// Since is when the state's version was received; zero if there is none yet.
	Since time.Time
	// History holds the last records, up to State.Position.
	History [][]byte
	// Deltas holds the deltas that led to the current document, the oldest first.
	Deltas []Step
	// Floor is the highest version that a peer saw this daemon apply, in any of its
	// incarnations.
	Floor uint64
	// LastCheckpoint is when a checkpoint was last read from the log, initially the
	// start of the daemon.
	LastCheckpoint time.Time
	// NextCheckpoint is the earliest time of the next checkpoint. It keeps a root from
	// appending another one before it could have read its last one back.
	NextCheckpoint time.Time
	// PullUntil is when an unanswered pull times out.
	PullUntil time.Time
	// PushDirty is set if there are changes to push to neighbours, from NextPush on.
	PushDirty bool
	NextPush  time.Time
	// SnapshotNext is the earliest time at which the next snapshot may be sent.
	SnapshotNext time.Time
	// Encoded caches the encoding of EncodedFor, for snapshots.
	Encoded    []byte
	EncodedFor *config.State
}

// Step is the change from one document to the next.
type Step struct {
	// From is the version of the earlier document.
	From  uint64
	Delta config.Delta
}

// Log is this daemon's state of reading and writing the platform's log.
type Log struct {
	Up bool
	// Regressed is set while the log ends before the position held, or has come back from an
	// older copy: it was truncated, replaced or restored.
	Regressed bool
	// Epoch is the highest epoch of the store that was seen; zero: none yet. A later epoch
	// begins when the store comes back from an older copy of itself.
	Epoch uint64
	// ReadEpoch is the epoch of the last read of the configuration stream; zero: there was
	// none.
	ReadEpoch uint64
	// Behind is set while the configuration last read from the store is older than the one
	// held here, as after a restore until the operator has written the later one again.
	Behind bool
	// FailedStatus is the status with which the store answered the last read if that failed,
	// or zero if it did not answer.
	FailedStatus int
	// Failed is set if the last read failed, CaughtUp once a read has reached the end of
	// the log.
	Failed   bool
	CaughtUp bool
	// Scanning is set while the reader searches for a checkpoint; Scan is the next
	// position to read.
	Scanning bool
	Scan     uint64
	// ReadAfter is the earliest time of the next read.
	ReadAfter time.Time
	// OrphanReadAfter and OrphanReadPause are the end and the length of the pause between
	// the reads of a daemon that reads the log only because it has no parent.
	OrphanReadAfter time.Time
	OrphanReadPause time.Duration
	// EndReadAt is when a read last reached the end of the log.
	EndReadAt time.Time
	// ReadFromStart is set once this daemon has read the configuration without having received
	// one from a peer before.
	ReadFromStart bool
	// Listing is the state of deciding whether to publish this daemon's addresses on the
	// log.
	Listing Listing
	// NextPublish is when the next step of publishing the addresses is due.
	NextPublish time.Time
}

// Listing is the state of publishing a daemon's addresses on the log.
type Listing int

// The states of publishing.
const (
	// ListingUnknown: it is not known yet whether the log has this daemon's addresses.
	ListingUnknown Listing = iota
	// ListingRecheckDue: the first read did not find them; a second read is scheduled.
	ListingRecheckDue
	// ListingRechecking: the second read is in progress.
	ListingRechecking
	// Listed: the log has the addresses, or they are being published.
	Listed
	// Unlisted: they are not published, since the log lists enough other daemons.
	Unlisted
)

// Quarantine is this daemon's state of the quarantined requests in the store.
type Quarantine struct {
	// Stored are the store's records, as last read.
	Stored map[suspect.Digest]suspect.Record
	// Read is set once the store has been read.
	Read bool
	// Due is when it is this daemon's turn to change a record in the store, by digest.
	Due map[suspect.Digest]time.Time
	// NextCheck is when the store's records are next compared with World.Suspects.
	NextCheck time.Time
	// From is the connection on which a change arrived that has not been sent to other
	// daemons yet, by digest.
	From map[suspect.Digest]LinkID
}

// Outgoing batches membership changes until the window ends. The values are the connections
// on which the changes arrived.
type Outgoing struct {
	// Records are the members whose whole records are sent, Heartbeats the members of
	// which only the heartbeats are sent.
	Records    map[string]LinkID
	Heartbeats map[string]LinkID
	// Due is when the window ends, or zero if the batch is empty.
	Due time.Time
}

// New returns the tables of a daemon that has just started.
func New(self wire.Member, p Params, suspects *suspect.Table, now time.Time, seed uint64) *World {
	return &World{
		Params:      p,
		Rand:        rand.New(rand.NewPCG(seed, seed)),
		Started:     now,
		Self:        self,
		SelfDirty:   true,
		Members:     map[string]*Member{},
		MembersTree: Tree{Unwanted: map[LinkID]time.Time{}},
		Links:       map[LinkID]*Link{},
		Backoffs:    map[string]*Backoff{},
		Locals:      map[string]*Local{},
		AwakeSince:  now,
		Candidates:  map[string]*Candidate{},
		Lapsed:      map[string]*Local{},
		Departed:    map[string]Departure{},
		Config:      Config{State: config.Empty(), LastCheckpoint: now},
		Outgoing:    Outgoing{Records: map[string]LinkID{}, Heartbeats: map[string]LinkID{}},
		Alarms:      map[string]string{},
		Quarantine: Quarantine{
			Stored: map[suspect.Digest]suspect.Record{}, From: map[suspect.Digest]LinkID{},
		},
		Suspects:    suspects,
		Rollouts:    map[string]*Rollout{},
		Orders:      map[string]rollout.Order{},
		PastOrders:  map[string][]rollout.Order{},
		Versions:    map[string]map[string]time.Time{},
		Seeds:       p.Seeds,
		SeedDomains: map[string]string{},
		NextProbe:   now.Add(p.Probe),
		ViewDirty:   true,
	}
}
