package system

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// TestFirstAddressesAreDialedAtOnce starts a daemon. It refuses calls until it has
// reached another daemon, so it must dial the first addresses it finds at once instead of
// at the next regular attempt.
func TestFirstAddressesAreDialedAtOnce(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	is.True(Tick(w, at, nil).FindSeeds)
	at = at.Add(5 * time.Millisecond)
	out := Tick(w, at, []Input{SeedsFound{Addrs: []string{"a", "b"}}})
	is.Equal(len(out.Dials), 2)
}

// TestOnlyRootsLookForOtherPartitions guards against needless calls to the store: of the
// daemons in a tree, only the roots may look in the store for daemons outside the tree. When
// all 74 daemons of a deployment did so, these reads were two thirds of the store's calls on
// a quiet day.
func TestOnlyRootsLookForOtherPartitions(t *testing.T) {
	for _, c := range []struct {
		rank int
		want bool
	}{{0, true}, {1, true}, {2, false}, {40, false}} {
		is := is.New(t)
		w := documentWorld()
		w.SeedsFound = true
		w.FindEvery = minFindInterval
		w.Links[1] = &table.Link{ID: 1, Peer: "p"}
		w.MembersTree.Rank = c.rank
		var out Outbox
		findSeeds(w, time.Unix(1010, 0), &out)
		is.Equal(out.FindSeeds, c.want)
	}
}

// TestRootWithoutParentReadsLikeFirstRoot takes the first root of a failure domain away.
// The next root then gets no changes from a parent, and the store does not wake waiting
// reads while it drops its history. The reads of that root must therefore become as short as
// those of the first root.
func TestRootWithoutParentReadsLikeFirstRoot(t *testing.T) {
	const inForce = 2500 * time.Millisecond // the shortest bound on a change in the larger deployments
	is := is.New(t)
	w := documentWorld()
	w.Params.InForce = inForce
	w.MembersTree = table.Tree{Rank: 1, Parent: "first"}
	is.True(documentReadWait(w) < inForce) // also for a read that is waiting when the parent is lost
	first := documentWorld()
	first.Params.InForce = inForce
	first.MembersTree = table.Tree{Root: true}
	w.MembersTree.Parent = ""
	is.Equal(documentReadWait(w), documentReadWait(first))
	is.True(documentReadWait(first) < inForce/2) // leaves time to distribute a change that a read missed
}

// TestReadWaitFollowsInForceBound guards against needless calls to the store: the time in
// which a change must be in force differs between deployments, for instance 2 s or 15 s,
// and each read that ends without a change is a wasted call.
func TestReadWaitFollowsInForceBound(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	w.Params.InForce = 15 * time.Second
	is.Equal(documentReadWait(w), 6750*time.Millisecond)
	w.Params.InForce = time.Hour
	is.Equal(documentReadWait(w), maxDocumentWait)
}

// TestOnlyChangedAddressesArePublished guards against needless calls to the store: most
// daemons restart with the addresses that the log already lists. On a day with two losses
// of power, 300 of 1,800 calls to the store published such addresses again.
func TestOnlyChangedAddressesArePublished(t *testing.T) {
	for _, c := range []struct {
		name  string
		in    []Input
		after time.Duration
		want  bool
	}{
		{"not heard yet", nil, 0, false},
		{"there", []Input{SelfListed{Listed: true}}, 0, false},
		{"there, and asked again", []Input{SelfListed{Listed: true}, SelfListed{Listed: true}}, 0, false},
		{"there, later", []Input{SelfListed{Listed: true}}, 2 * listedTimeout, false},
		{"not there, so it looks again", []Input{SelfListed{}}, 0, false},
		{"the log says nothing", nil, listedTimeout, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := documentWorld()
			now := w.Started.Add(c.after)
			is.Equal(Tick(w, now, c.in).PublishSelf, c.want)
			is.True(!Tick(w, now, nil).PublishSelf) // not a second time
		})
	}
}

// TestFewDaemonsPublishTheirAddresses covers the second read of the addresses on the log.
// The daemons that start first publish their addresses. The others do so only if they read
// the configuration from the log, so that a starting daemon finds the roots.
func TestFewDaemonsPublishTheirAddresses(t *testing.T) {
	for _, c := range []struct {
		name   string
		second []Input
		want   bool
	}{
		{"few others are there", []Input{SelfListed{Others: listedThreshold - 1}}, true},
		{"enough others are there", []Input{SelfListed{Others: listedThreshold}}, false},
		{"the log says nothing", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := documentWorld()
			w.Members["first"] = &table.Member{Member: wire.Member{ID: "first", Domain: "d", Peer: "first", LinkMbps: 1000}, RenewedAt: w.Started}
			w.Links[1] = &table.Link{ID: 1, Peer: "first", Domain: "d", HeardAt: w.Started, EchoAt: w.Started}
			w.Self.LinkMbps = 1 // too narrow a link to be a root
			w.MembersChanged()
			w.Params.Roots = 1
			now := w.Started
			Tick(w, now, []Input{SelfListed{}})
			now = now.Add(recheckSpread)
			recheck := Tick(w, now, nil)
			is.True(recheck.FindSeeds && !recheck.PublishSelf)
			published := Tick(w, now, c.second).PublishSelf
			if c.second == nil {
				published = published || Tick(w, now.Add(listedTimeout), nil).PublishSelf
			}
			is.Equal(published, c.want)
			if c.want {
				return
			}
			now = now.Add(probeAfterGraces * w.Params.Grace)
			w.Links[1].HeardAt, w.Links[1].EchoAt = now, now
			is.True(!Tick(w, now, nil).PublishSelf)
			delete(w.Members, "first") // without it, this daemon reads the log
			delete(w.Links, 1)
			w.MembersChanged()
			is.True(Tick(w, now.Add(w.Params.Heartbeat), nil).PublishSelf)
			is.True(!Tick(w, now.Add(w.Params.Heartbeat), nil).PublishSelf)
		})
	}
}

// TestPartitionsAfterColdStartMerge starts two pairs of daemons, of which each daemon knows
// only the other one of its pair, with probes an hour away. Addresses from the log must join
// the two pairs: until then, calls to a service whose only upstream is in the other pair are
// refused.
func TestPartitionsAfterColdStartMerge(t *testing.T) {
	n := newTestNetFor(t, 2, 2)
	for i, node := range n.nodes {
		other := n.nodes[i^1]
		node.w.Params.Probe = time.Hour
		node.w.NextProbe = n.now.Add(time.Hour)
		node.w.Seeds = []string{other.id}
		node.w.NextSeed = n.now
	}
	n.run(2 * time.Second)
	if len(n.nodes[0].w.Members) != 1 {
		t.Fatal("the pairs of daemons are already connected")
	}
	n.nodes[3].inputs = append(n.nodes[3].inputs, SeedsFound{Addrs: []string{"d0-0", "d0-1", "d1-0", "d1-1"}})
	n.run(4 * time.Second)
	for _, node := range n.nodes {
		if len(node.w.Members) != 3 {
			t.Errorf("%s: got records of %d other daemons, want 3", node.id, len(node.w.Members))
		}
	}
}

// TestSeedsOfOwnDomainAreDialedFirst guards against starting daemons that connect to other failure
// domains although daemons of their own answer, and against daemons that wait long for those of
// their own if none answers.
func TestSeedsOfOwnDomainAreDialedFirst(t *testing.T) {
	own := map[string]string{"own1": "d", "own2": "d", "own3": "d"}
	found := SeedsFound{Addrs: []string{"far1", "own1", "far2", "own2", "unknown", "own3"}, Domains: map[string]string{"far1": "e", "far2": "e"}}
	maps.Copy(found.Domains, own)
	dialed := func(out Outbox) (n, ofOwn int) {
		for _, d := range out.Dials {
			if own[d.Addr] != "" {
				ofOwn++
			}
		}
		return len(out.Dials), ofOwn
	}
	failAll := func(out Outbox) []Input {
		var in []Input
		for _, d := range out.Dials {
			in = append(in, DialFailed{Addr: d.Addr})
		}
		return in
	}
	at := time.Unix(1001, 0)

	t.Run("refused", func(t *testing.T) {
		is := is.New(t)
		w := documentWorld()
		out := Tick(w, at, []Input{found})
		n, ofOwn := dialed(out)
		is.Equal([]int{n, ofOwn}, []int{maxOwnSeedDials, maxOwnSeedDials})
		out = Tick(w, at.Add(time.Millisecond), failAll(out))
		n, ofOwn = dialed(out)
		is.Equal([]int{n, ofOwn}, []int{1, 1}) // the last one of its own domain
		out = Tick(w, at.Add(2*time.Millisecond), failAll(out))
		n, ofOwn = dialed(out)
		is.Equal([]int{n, ofOwn}, []int{maxSeedDials, 0})
	})
	t.Run("no answer", func(t *testing.T) {
		is := is.New(t)
		w := documentWorld()
		Tick(w, at, []Input{found})
		n, _ := dialed(Tick(w, at.Add(seedRetry/2-time.Millisecond), nil))
		is.Equal(n, 0)
		n, ofOwn := dialed(Tick(w, at.Add(seedRetry/2), nil))
		is.Equal([]int{n, ofOwn}, []int{maxSeedDials, 1})
	})
}
