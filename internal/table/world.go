// Package table holds the control state of a daemon: tables of entities that
// the systems of package system run over each tick. Nothing here does I/O or
// reads a clock, and only one goroutine touches a World.
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
	// Window is how long changes are gathered before they are passed on.
	// Short: fast convergence. Long: fewer bytes.
	Window time.Duration
	// Fanout is how many children a relay has in the tree.
	Fanout int
	// Roots is how many daemons of a failure domain read the log.
	Roots int
	// Heartbeat is the interval of pings on a connection.
	Heartbeat time.Duration
	// SilentAfter is how long a connection may be silent in one direction.
	SilentAfter time.Duration
	// Renew is the interval at which a member renews its record.
	Renew time.Duration
	// Lapse is how long a member lives without a renewal.
	Lapse time.Duration
	// UpstreamLapse is how long an upstream lives without an announcement.
	UpstreamLapse time.Duration
	// Grace is how long a starting daemon waits for its first peer.
	Grace time.Duration
	// MaxLinks bounds the connections accepted.
	MaxLinks int
	// SnapshotsPerSecond bounds the snapshots sent.
	SnapshotsPerSecond int
	// Probe is the interval of comparisons with a random member.
	Probe time.Duration
	// Checkpoint is the interval of checkpoints on the log. It must be well
	// inside the log's retention.
	Checkpoint time.Duration
	// InForce is within which an accepted configuration is to be in force everywhere.
	InForce time.Duration
	// Revoke is within which a key that was taken away lets no call in any more, also at
	// daemons out of touch. Zero: there is no such bound.
	Revoke time.Duration
	// Documents says that the configuration comes as whole documents, not as
	// commands on the log.
	Documents bool
	// Exposure is the part of a service's calls that a bad version may get.
	Exposure float64
	// Domains is how many failure domains there are at least.
	Domains int
	// Seeds are addresses of daemons to find the others through.
	Seeds []string
}

// DefaultParams returns the settings for the size to design for.
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
		Grace:              3 * time.Second,
		MaxLinks:           64,
		SnapshotsPerSecond: 20,
		Probe:              60 * time.Second,
		Checkpoint:         6 * time.Hour,
		InForce:            15 * time.Second,
		Exposure:           0.1,
	}
}

// World is all tables of one daemon.
type World struct {
	Params  Params
	Rand    *rand.Rand
	Started time.Time
	// Boot is the VM's boot time as of this tick.
	Boot time.Duration
	// Fresh is how fresh the configuration held is.
	Fresh Freshness

	// Self is this daemon's own record; Self.Beat.Applied is the version in
	// force here.
	Self wire.Member
	// SelfDirty is set when Self changed and was not passed on yet.
	SelfDirty bool
	NextRenew time.Time

	// Members are the other daemons; MembersChanged must follow a change.
	Members   map[string]*Member
	derived   derived
	NextLapse time.Time
	// MembersAt is when another member was last seen to change.
	MembersAt   time.Time
	MembersTree Tree
	// Keepers are the first members of each failure domain, which count calls against the
	// limits of workspaces.
	Keepers  map[string]wire.Member
	Links    map[LinkID]*Link
	Backoffs map[string]*Backoff
	Locals   map[string]*Local
	// Departed holds the upstreams on this VM that have ended or were replaced
	// at their address, by name.
	Departed map[string]Departure
	Config   Config
	Log      Log
	Outgoing Outgoing
	Alarms   map[string]string
	// Suspects is shared with the call path, which adds what it sees.
	Suspects   *suspect.Table
	Quarantine Quarantine
	// Rollouts are the last one of each service.
	Rollouts map[string]*Rollout
	// Orders are those that were read and are not followed yet, by service.
	Orders map[string]rollout.Order
	// RolloutsRead is set once the store's records of roll-outs were read.
	RolloutsRead bool
	// NextTally is when what was seen of roll-outs is next passed on.
	NextTally time.Time
	// Versions holds when each version of a service was first seen here, by service.
	Versions map[string]map[string]time.Time
	// Probation holds the version of a service that has just appeared beside others;
	// VersionsDue is when the next one may be over.
	Probation   map[string]string
	VersionsDue time.Time

	NextProbe time.Time
	NextSeed  time.Time
	// SeedsFound is set once the log gave addresses.
	SeedsFound bool
	// NextFind is when the log is asked for addresses again, FindEvery the
	// interval, which grows.
	NextFind  time.Time
	FindEvery time.Duration
	Seeds     []string
	// Ready is set once the daemon may serve calls: it has met its peers or
	// found none, and holds no less than it served in an earlier life.
	Ready bool
	// ViewDirty asks for a new view of the call path.
	ViewDirty bool
	// ViewSoon asks for one from ViewAfter on: what changes at other daemons is gathered.
	ViewSoon  bool
	ViewAfter time.Time
}

// Freshness is what this daemon knows of the age of its configuration.
type Freshness struct {
	Stamp freshness.Stamp
	// From is the connection that the stamp came by; zero: the store told it.
	From LinkID
	// Known is set while the configuration is known to be fresh enough.
	Known bool
}

// Vouch is another daemon's word on the freshness of what it held.
type Vouch struct {
	Base     uint64
	Position uint64
	Stamp    freshness.Stamp
}

// Departure is the end of an upstream's life.
type Departure struct {
	// Born is when that life began; announcements of it and of earlier ones are
	// late.
	Born int64
	// Until is how long they are expected.
	Until time.Time
}

// Tree is this daemon's place in the distribution tree.
type Tree struct {
	// Parent is the member that passes configuration to this daemon, or "".
	Parent string
	// Orphan is since when there is no parent, or zero.
	Orphan time.Time
	// Root says that this daemon reads the log.
	Root bool
	// Rank is this daemon's place in its failure domain's order.
	Rank int
	// Unwanted holds since when a dialed connection serves no purpose.
	Unwanted map[LinkID]time.Time
}

// Config is the configuration held.
type Config struct {
	State *config.State
	// Since is when the state's version was taken in; zero: there is none yet.
	Since time.Time
	// History holds the last records, ending before State.Position.
	History [][]byte
	// Past holds the steps to the document held, the oldest first.
	Past []Step
	// Floor is the highest version that a peer saw this daemon apply.
	Floor uint64
	// LastCheckpoint is when a checkpoint was last seen or appended.
	LastCheckpoint time.Time
	// NextCheckpoint keeps a root from appending again before it could have
	// read its checkpoint back.
	NextCheckpoint time.Time
	// PullUntil is when a pull that was not answered is given up.
	PullUntil time.Time
	// PushDirty says that records wait to be passed on, from NextPush on.
	PushDirty bool
	NextPush  time.Time
	// SnapshotNext is when the next snapshot may be sent, at the earliest.
	SnapshotNext time.Time
	// Encoded caches the encoded state for snapshots of EncodedFor.
	Encoded    []byte
	EncodedFor *config.State
}

// Step leads from one document to the next.
type Step struct {
	// From is the version of the earlier one.
	From  uint64
	Delta config.Delta
}

// Log is what this daemon knows of the platform's log.
type Log struct {
	Up bool
	// Regressed is set while the log ends before the position held.
	Regressed bool
	// Failed is set while the last read failed, CaughtUp once one read has
	// reached the end.
	Failed   bool
	CaughtUp bool
	// Scanning is set while the reader looks for a checkpoint, from Scan on.
	Scanning bool
	Scan     uint64
	// ReadAfter is when the next read may be sent.
	ReadAfter time.Time
	// RestUntil and RestEvery space the reads of a daemon without a parent.
	RestUntil time.Time
	RestEvery time.Duration
	// Listing is how far it is settled whether the log needs this daemon's addresses.
	Listing Listing
	// NextPublish is when this daemon's addresses are next left on the log.
	NextPublish time.Time
}

// Listing is how far a daemon has come in leaving its addresses on the log.
type Listing int

// The steps.
const (
	// NotLooked: the log has not said yet whether it has them.
	NotLooked Listing = iota
	// LookAgain: it had none; a second look is due.
	LookAgain
	// Looking: the second look is on its way.
	Looking
	// Listed: the log has them, or is to get them.
	Listed
	// Unlisted: it need not have them, since it has enough others'.
	Unlisted
)

// Quarantine is what this daemon knows of the quarantined requests on the store.
type Quarantine struct {
	// Held are the store's records, as last read.
	Held map[suspect.Digest]suspect.Record
	// Read is set once the store was read.
	Read bool
	// Due is when it is this daemon's turn to change a record there, by digest.
	Due map[suspect.Digest]time.Time
	// NextCheck is when the store is next compared with what is known here.
	NextCheck time.Time
	// From tells the connection on which news came that were not passed on yet.
	From map[suspect.Digest]LinkID
}

// Outgoing gathers membership changes until the window ends.
type Outgoing struct {
	Full  map[string]LinkID
	Beats map[string]LinkID
	// Due is when the window ends, or zero if nothing is gathered.
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
		Departed:    map[string]Departure{},
		Config:      Config{State: config.Empty(), LastCheckpoint: now},
		Outgoing:    Outgoing{Full: map[string]LinkID{}, Beats: map[string]LinkID{}},
		Alarms:      map[string]string{},
		Quarantine: Quarantine{
			Held: map[suspect.Digest]suspect.Record{}, From: map[suspect.Digest]LinkID{},
		},
		Suspects:  suspects,
		Rollouts:  map[string]*Rollout{},
		Orders:    map[string]rollout.Order{},
		Versions:  map[string]map[string]time.Time{},
		Seeds:     p.Seeds,
		NextProbe: now.Add(p.Probe),
		ViewDirty: true,
	}
}
