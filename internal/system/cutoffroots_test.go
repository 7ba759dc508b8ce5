package system

import (
	"testing"
	"time"
)

// TestRootsCutOffFromOtherDomains guards against a failure domain that gets no new version and whose
// changes stay unknown, because its roots run but reach neither the store nor other failure domains:
// other daemons of the domain, which reach other domains, must take over.
func TestRootsCutOffFromOtherDomains(t *testing.T) {
	const within = 15 * time.Second // a change must be in force by then
	f := newFleet(t, 30)
	f.startAll(f.nodes)
	f.run(2 * countedTime)
	f.cutOff = map[*testNode]bool{}
	for _, node := range f.rootsOf("d0") {
		f.cutOff[node] = true
	}
	f.startup.down = true
	newer := f.startup.document
	newer.Version++
	reader := f.rootsOf("d1")[0]
	reader.inputs = append(reader.inputs, DocumentRead{Document: newer})
	f.changeAll("1.4.3")
	began := f.now
	var version, members time.Duration
	for f.now.Sub(began) < within && (version == 0 || members == 0) {
		f.run(tickInterval)
		older := 0
		for _, node := range f.nodes {
			if node.w.Config.State.Version != newer.Version {
				older++
			}
		}
		if older == 0 && version == 0 {
			version = f.now.Sub(began)
		}
		if f.unknown() == 0 && members == 0 {
			members = f.now.Sub(began)
		}
	}
	t.Logf("version held by all after %v, members known after %v", version, members)
	if version == 0 {
		t.Errorf("version not held by all daemons after %v", within)
	}
	if members == 0 {
		t.Errorf("after %v, daemons lack %d records of other daemons", within, f.unknown())
	}
}
