package system

import (
	"fmt"
	"testing"
	"time"
)

// TestRestartedDomainServesNoOlderVersion guards against a failure domain that serves an older
// version after all of its daemons have restarted, while the store has come back from an older
// copy: only the daemons of other domains know the version that was in force.
func TestRestartedDomainServesNoOlderVersion(t *testing.T) {
	for _, n := range []int{3, 6, 15, 30, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			older := f.startup.document
			newer := documentOf(older.Version+1, 20)
			f.startup.document = newer
			f.startAll(f.nodes)
			f.run(2 * countedTime)
			f.startup.document = older
			var domain []*testNode
			for _, node := range f.nodes {
				if node.domain == "d0" {
					f.kill(node)
					domain = append(domain, node)
				}
			}
			f.run(time.Second)
			for _, node := range domain {
				f.startup.costOf(node).nextRead = f.now
			}
			f.startAll(domain)
			began := f.now
			servedOlder := map[string]bool{}
			var last, sum time.Duration
			seen := map[*testNode]bool{}
			for f.now.Sub(began) < countedTime {
				f.run(tickInterval)
				for _, node := range domain {
					if node.w.Ready && node.w.Self.Heartbeat.Applied < newer.Version {
						servedOlder[node.id] = true
					}
					if node.w.Ready && !seen[node] {
						seen[node] = true
						last = f.now.Sub(began)
						sum += last
					}
				}
			}
			t.Logf("last ready after %v, mean %v", last, sum/time.Duration(max(1, len(seen))))
			if len(seen) < len(domain) {
				t.Errorf("%d of %d daemons are ready", len(seen), len(domain))
			}
			if len(servedOlder) > 0 {
				t.Errorf("%d of %d daemons served an older version", len(servedOlder), len(domain))
			}
		})
	}
}
