// Package wire defines the messages between daemons on control connections.
// Each message is a jsonrpc2 notification. Replies are notifications too, so that a
// lost or delayed reply never blocks a connection.
package wire

import (
	"encoding/json"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/rollout"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// Upstream describes an upstream that a daemon announces on its VM.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Version is the version of the upstream's software, or "" if it is unknown.
	Version string `json:"version,omitempty"`
	// Slots is how many calls the upstream runs concurrently.
	Slots int `json:"slots"`
	// AnnouncedAtMs is when the upstream announced itself, in Unix milliseconds of
	// its daemon's clock. It is used only to ramp up the upstream's share of calls.
	AnnouncedAtMs int64 `json:"since"`
	Draining      bool  `json:"draining,omitempty"`
	// ProcessIncarnation identifies the run of the upstream's process; empty: the ID does.
	ProcessIncarnation string `json:"life,omitempty"`
}

// Departure names an incarnation of an upstream that has said that it leaves.
type Departure struct {
	// Name is the upstream's name on its VM.
	Name string `json:"name"`
	// StartedMs is when the incarnation started, in Unix milliseconds of the upstream's clock.
	// Earlier ones of the name have left too. Zero: no start is known of any of them.
	StartedMs int64 `json:"started,omitempty"`
}

// Member is a daemon's record of itself. Only that daemon writes it; of two
// copies the one with the higher (Incarnation, Seq) is newer.
type Member struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	Region string `json:"region,omitempty"`
	// Peer, Owner and Admin are the addresses of the daemon's listeners.
	Peer  string `json:"peer"`
	Owner string `json:"owner"`
	Admin string `json:"admin"`
	// LinkMbps is the bandwidth of the VM's network link, in Mbit/s. Zero: unknown, or
	// high enough not to matter.
	LinkMbps float64 `json:"link,omitempty"`
	// Compress is set if the daemon accepts compressed connections at Owner.
	Compress bool `json:"z,omitempty"`
	// Incarnation increases with every start of the daemon.
	Incarnation uint64     `json:"inc"`
	Seq         uint64     `json:"seq"`
	Leaving     bool       `json:"leaving,omitempty"`
	Upstreams   []Upstream `json:"upstreams,omitempty"`
	// Departures are the upstreams on the VM that have said lately that they leave. The other
	// daemons remember them for the daemon's next incarnation.
	Departures []Departure `json:"departures,omitempty"`
	Heartbeat  Heartbeat   `json:"beat"`
	// AgeMs is how long ago the sender last heard from the member. It keeps a
	// forwarded copy from looking fresh.
	AgeMs int64 `json:"age,omitempty"`
}

// Newer reports whether m replaces o.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Seq > o.Seq
}

// Heartbeat is a member's heartbeat: it keeps the member's record from lapsing and reports
// the configuration version that the member has in force.
type Heartbeat struct {
	Seq     uint64 `json:"n"`
	Applied uint64 `json:"v"`
}

// MemberHeartbeat is the heartbeat of a named member, as it is forwarded along the
// distribution tree.
type MemberHeartbeat struct {
	ID          string `json:"i"`
	Incarnation uint64 `json:"c"`
	Heartbeat
}

// Hello is the first message that each end sends on a connection.
type Hello struct {
	ID          string `json:"id"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"inc"`
	// Probe marks a short-lived connection that is used only to compare states.
	Probe bool `json:"probe,omitempty"`
	// Floor is the highest configuration version that the sender saw the receiver
	// apply. A restarted receiver must not serve an older one.
	Floor uint64 `json:"floor,omitempty"`
	// Suspects is the hash of the sender's table of suspects, in hexadecimal digits.
	// "": the sender runs a release that does not accept Suspects messages.
	Suspects string `json:"suspects,omitempty"`
	// Rollouts is the hash of the sender's rollouts. "": the sender does not accept
	// Rollouts messages.
	Rollouts string `json:"rollouts,omitempty"`
	// TakesConfirmations is set if the sender accepts FreshnessConfirmation messages.
	TakesConfirmations bool `json:"vouches,omitempty"`
	// TakesDepartures is set if the sender accepts Departures and DeparturesHeld messages. Builds
	// that do not know them close the connection.
	TakesDepartures bool `json:"departures,omitempty"`
	Ping            Ping `json:"ping"`
}

// Departures tells a daemon which upstreams on its VM have left, as far as the sender remembers.
// It is sent when a connection has been opened: the receiver may have been restarted.
type Departures struct {
	// UpMs is how long the sender has been running without a stall, in milliseconds. Departures
	// from before that time may be missing in List.
	UpMs int64       `json:"up"`
	List []Departure `json:"list,omitempty"`
}

// DeparturesHeld acknowledges a record with departures that its owner has sent.
type DeparturesHeld struct {
	// Incarnation and Seq identify the revision of the receiver's record.
	Incarnation uint64 `json:"inc"`
	Seq         uint64 `json:"seq"`
}

// Ping is the heartbeat of a connection. It identifies the configuration and the
// members that the sender holds.
type Ping struct {
	Seq uint64 `json:"seq"`
	// Echo is the highest Seq that the sender has received on the connection, which
	// acknowledges the receiver's pings. If it stops increasing, the connection has
	// failed in one direction.
	Echo     uint64 `json:"echo"`
	Version  uint64 `json:"v"`
	Base     uint64 `json:"b,omitempty"`
	Position uint64 `json:"p"`
	Hash     string `json:"h"`
	// LargeAnswers is the number of policies with large answers, which Hash does not cover.
	LargeAnswers int `json:"la,omitempty"`
	// Members is a digest of the sender's live members.
	Members uint64 `json:"m"`
}

// Members carries member records and heartbeats.
type Members struct {
	Records    []Member          `json:"full,omitempty"`
	Heartbeats []MemberHeartbeat `json:"beats,omitempty"`
}

// MembersPull requests the members in those buckets whose digest differs between the
// two ends.
type MembersPull struct {
	// BucketDigests holds the sender's digest of each bucket.
	BucketDigests []uint64 `json:"buckets"`
	// DigestsOnly requests a MembersDigests message instead of whole records.
	DigestsOnly bool `json:"brief,omitempty"`
}

// MembersDigests lists the digests of the members in the buckets that differ. The receiver
// requests the records that it lacks with MembersRequest.
type MembersDigests struct {
	// Digests is a sequence of little-endian 8-byte digests in ascending order.
	Digests []byte `json:"digests"`
}

// MembersRequest requests the records of some of the digests in a MembersDigests message.
type MembersRequest struct {
	Digests []byte `json:"digests"`
}

// Pull requests the configuration records from a position on.
type Pull struct {
	Base     uint64 `json:"b,omitempty"`
	Position uint64 `json:"p"`
	// Full requests a snapshot even if the records would be enough.
	Full bool `json:"full,omitempty"`
}

// Records carries consecutive records of the configuration stream. Version and Hash
// are those of the sender's state after the last record.
type Records struct {
	Base    uint64   `json:"b,omitempty"`
	From    uint64   `json:"from"`
	Data    [][]byte `json:"data"`
	Version uint64   `json:"v"`
	Hash    string   `json:"h"`
}

// Delta carries the difference between a configuration document and a later one.
type Delta struct {
	From    uint64 `json:"from"`
	Version uint64 `json:"v"`
	// Hash is the hash of the sender's state at Version.
	Hash  string       `json:"h"`
	Delta config.Delta `json:"delta"`
}

// Snapshot carries a complete configuration state.
type Snapshot struct {
	State json.RawMessage `json:"state"`
}

// Suspects carries records of suspects, that is, requests that were running at upstreams
// when these crashed.
type Suspects struct {
	Records []suspect.Record `json:"records"`
}

// Rollouts carries the states of rollouts.
type Rollouts struct {
	States []RolloutState `json:"states"`
}

// RolloutState is the state of a rollout as the sender knows it.
type RolloutState struct {
	rollout.Record
	// AgeMs is the time since the order was given, PhaseAgeMs the time since the
	// current phase began.
	AgeMs      int64 `json:"age"`
	PhaseAgeMs int64 `json:"phase_age"`
	// StopReason is why the new version gets no more calls. It is set before the store
	// records the rollout as reverted.
	StopReason string `json:"stop,omitempty"`
}

// Tally carries the results of a service's calls during a rollout, as counted by
// several daemons.
type Tally struct {
	Service string `json:"service"`
	// OrderID is the ID of the rollout order.
	OrderID uint64 `json:"order"`
	// Domain is the failure domain whose daemons are all included. "": the counts are
	// those of the sender and of the daemons below it in the distribution tree.
	Domain string `json:"domain,omitempty"`
	// AggregatedBy is the daemon that added up the counts of its failure domain.
	AggregatedBy string        `json:"by,omitempty"`
	Rows         []rollout.Row `json:"rows"`
}

// FreshnessConfirmation confirms the freshness of the sender's configuration: it states how
// long ago that configuration was last known to be the newest.
type FreshnessConfirmation struct {
	Base     uint64 `json:"b,omitempty"`
	Position uint64 `json:"p"`
	// Echo is the highest Ping.Seq that the sender had received when it computed
	// AgeUs. With it the receiver dates the confirmation by its own clock.
	Echo uint64 `json:"echo"`
	// AgeUs is how long ago the configuration was last known to be the newest, in
	// microseconds.
	AgeUs int64 `json:"age"`
}

// Busy refuses a pull or a connection and says when to retry.
type Busy struct {
	RetryAfterMs int64 `json:"retry_after_ms"`
	// Peers holds addresses of other daemons to try instead.
	Peers []string `json:"peers,omitempty"`
}

// Message is any of the types above.
type Message interface{ Method() string }

// Method names as sent on the wire.
const (
	MethodHello                 = "hello"
	MethodPing                  = "ping"
	MethodMembers               = "members"
	MethodMembersPull           = "members-pull"
	MethodMembersDigests        = "members-brief"
	MethodMembersRequest        = "members-want"
	MethodPull                  = "pull"
	MethodRecords               = "records"
	MethodDelta                 = "delta"
	MethodSnapshot              = "snapshot"
	MethodBusy                  = "busy"
	MethodSuspects              = "suspects"
	MethodRollouts              = "rollouts"
	MethodTally                 = "tally"
	MethodFreshnessConfirmation = "vouch"
	MethodDepartures            = "departures"
	MethodDeparturesHeld        = "departures-held"
)

// Method implements Message.
func (Hello) Method() string { return MethodHello }

// Method implements Message.
func (Ping) Method() string { return MethodPing }

// Method implements Message.
func (Members) Method() string { return MethodMembers }

// Method implements Message.
func (MembersPull) Method() string { return MethodMembersPull }

// Method implements Message.
func (MembersDigests) Method() string { return MethodMembersDigests }

// Method implements Message.
func (MembersRequest) Method() string { return MethodMembersRequest }

// Method implements Message.
func (Pull) Method() string { return MethodPull }

// Method implements Message.
func (Records) Method() string { return MethodRecords }

// Method implements Message.
func (Delta) Method() string { return MethodDelta }

// Method implements Message.
func (Snapshot) Method() string { return MethodSnapshot }

// Method implements Message.
func (Busy) Method() string { return MethodBusy }

// Method implements Message.
func (Suspects) Method() string { return MethodSuspects }

// Method implements Message.
func (Rollouts) Method() string { return MethodRollouts }

// Method implements Message.
func (Tally) Method() string { return MethodTally }

// Method implements Message.
func (FreshnessConfirmation) Method() string { return MethodFreshnessConfirmation }

// Envelope wraps a message together with the reading of the sender's logical clock.
type Envelope struct {
	Clock int64           `json:"clock"`
	Body  json.RawMessage `json:"body"`
}

// Method implements Message.
func (Departures) Method() string { return MethodDepartures }

// Method implements Message.
func (DeparturesHeld) Method() string { return MethodDeparturesHeld }
