package system

import (
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// noteVersions takes note of the versions of each service. One that appears beside others
// is on probation for as long as an order for it may take to be heard of: without any, it
// is then like the others.
func noteVersions(w *table.World, now time.Time) {
	if !w.ViewDirty && now.Before(w.VersionsDue) {
		return
	}
	seen := map[string]map[string]time.Time{}
	w.EachLive(func(m wire.Member) {
		for _, u := range m.Upstreams {
			if seen[u.Service] == nil {
				seen[u.Service] = map[string]time.Time{}
			}
			at, known := w.Versions[u.Service][u.Version]
			if !known {
				at = now
			}
			seen[u.Service][u.Version] = at
		}
	})
	w.Versions = seen
	probation := map[string]string{}
	w.VersionsDue = now.Add(w.Params.InForce)
	for service, versions := range seen {
		if v, until := newcomer(versions, now, w.Params.InForce); v != "" {
			probation[service] = v
			w.VersionsDue = earlier(w.VersionsDue, until)
		}
	}
	if len(probation) != len(w.Probation) {
		w.ViewDirty = true
	}
	w.Probation = probation
}

// newcomer returns the version that has appeared last, if that was lately and others were
// there long before.
func newcomer(versions map[string]time.Time, now time.Time, probation time.Duration) (string, time.Time) {
	last, established := "", false
	for v, at := range versions {
		if now.Sub(at) >= probation {
			established = true
		} else if last == "" || at.After(versions[last]) {
			last = v
		}
	}
	if !established || last == "" {
		return "", time.Time{}
	}
	return last, versions[last].Add(probation)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
