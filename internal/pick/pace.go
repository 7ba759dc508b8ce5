package pick

import "time"

// paceMaxAge is how long a reported pace has any effect. The speed of a VM changes about as often.
const paceMaxAge = 600 * time.Millisecond

// reportedServiceTime returns the service time to expect of an upstream now, after its last load
// report. The effect of the reported pace decreases linearly with its age: the service time at
// pace 1 stays valid for much longer than the pace. With the full pace, an upstream that was slow
// at its last report would be avoided long after it has become fast again.
func reportedServiceTime(st *stats, now time.Time) time.Duration {
	l := st.load
	if l.Pace <= 0 || l.Pace == 1 {
		return l.Service
	}
	fresh := max(0, 1-float64(now.Sub(st.loadAt))/float64(paceMaxAge))
	return time.Duration(float64(l.Service) / l.Pace * (1 + (l.Pace-1)*fresh))
}
