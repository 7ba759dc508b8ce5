package system

import (
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/table"
)

// TestUnsettledRootsKeepConfigurationFresh guards against a fleet that refuses calls that need a key
// because the pauses of roots whose role is unsettled are longer than the revocation bound: while
// members keep changing after a start, all roots pause.
func TestUnsettledRootsKeepConfigurationFresh(t *testing.T) {
	const revoke = 2 * time.Second // the shortest that the settings allow
	f := newFleet(t, 6)
	adjust := f.adjustParams
	f.adjustParams = func(p *table.Params) {
		adjust(p)
		p.Revoke = revoke
	}
	f.startup = nil
	document := documentOf(1, 5)
	f.documents = &documentStore{
		reads:    map[*testNode]*documentRead{},
		accepted: []acceptedDocument{{at: f.now, doc: func() config.Document { return document }}},
	}
	f.documents.write()
	f.seeds = []string{f.nodes[0].id, f.nodes[len(f.nodes)-1].id}
	f.startAll(f.nodes)
	const settled = 15 * time.Second // every daemon has read the configuration once by then
	stale, total := 0, 0
	for began, i := f.now, 0; f.now.Sub(began) < 30*time.Second; i++ {
		for k, node := range f.nodes {
			if (k+i)%5 == 0 {
				f.announce(node, "1.4."+string(rune('a'+i%26)))
			}
		}
		f.run(tickInterval)
		if f.now.Sub(began) < settled {
			continue
		}
		for _, node := range f.nodes {
			total++
			if !node.w.Fresh.Known {
				stale++
			}
		}
	}
	if stale > 0 {
		t.Errorf("configuration stale in %d of %d ticks", stale, total)
	}
}
