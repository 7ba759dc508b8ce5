package system

import (
	"maps"
	"time"

	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// updateVersions records the versions of each service. It must run last, before a new view
// shows the versions. A version that appears beside others is on probation for as long as a
// rollout order for it may take to arrive here. If no order arrives, the version is then
// treated like the others.
func updateVersions(w *table.World, now time.Time) {
	if !viewDue(w, now) && now.Before(w.VersionsDue) {
		return
	}
	firstSeen := map[string]map[string]time.Time{}
	w.EachLive(func(m wire.Member) {
		for _, u := range m.Upstreams {
			if firstSeen[u.Service] == nil {
				firstSeen[u.Service] = map[string]time.Time{}
			}
			at, known := w.Versions[u.Service][u.Version]
			if !known {
				at = now
			}
			firstSeen[u.Service][u.Version] = at
		}
	})
	w.Versions = firstSeen
	probation := map[string]string{}
	w.VersionsDue = now.Add(w.Params.InForce)
	for service, versions := range firstSeen {
		if v, until := versionOnProbation(versions, now, w.Params.InForce); v != "" {
			probation[service] = v
			w.VersionsDue = earliestTime(w.VersionsDue, until)
		}
	}
	if !maps.Equal(probation, w.Probation) {
		w.ViewDirty = true
	}
	w.Probation = probation
}

// versionOnProbation returns the version that appeared last and the end of its probation,
// if it appeared within the probation period and another version is older than that.
func versionOnProbation(versions map[string]time.Time, now time.Time, probation time.Duration) (string, time.Time) {
	latest, established := "", false
	for v, at := range versions {
		if now.Sub(at) >= probation {
			established = true
		} else if latest == "" || at.After(versions[latest]) {
			latest = v
		}
	}
	if !established || latest == "" {
		return "", time.Time{}
	}
	return latest, versions[latest].Add(probation)
}

func earliestTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
