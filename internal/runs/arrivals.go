package runs

import "github.com/comfreygate/comfreygate/internal/config"

// arrivalWeight is the weight of the latest window in the arrival rates: rates follow the
// end of a peak within two seconds.
const arrivalWeight = 0.5

// arrivals measures the rate of new runs by urgency.
type arrivals struct {
	// byUrgency holds means per window.
	byUrgency [config.MostUrgent + 1]float64
	window    [config.MostUrgent + 1]int
	measured  bool
}

// add counts a new run.
func (a *arrivals) add(urgency config.Urgency) {
	a.window[min(max(urgency, 0), config.MostUrgent)]++
}

// closeWindow updates the means with the window that ends.
func (a *arrivals) closeWindow() {
	weight := arrivalWeight
	if !a.measured {
		weight = 1
	}
	for u, n := range a.window {
		a.byUrgency[u] += weight * (float64(n) - a.byUrgency[u])
	}
	a.window = [config.MostUrgent + 1]int{}
	a.measured = true
}

// perWindow returns the mean number of new runs in a window.
func (a *arrivals) perWindow() float64 {
	total := 0.0
	for _, n := range a.byUrgency {
		total += n
	}
	return total
}

// perSecond returns the rate of new runs.
func (a *arrivals) perSecond() float64 { return a.perWindow() / windowLength.Seconds() }

// position returns the fraction of the arrivals that go before a run: the more urgent ones,
// and of the equally urgent ones those with a lower fraction.
func (a *arrivals) position(urgency config.Urgency, fraction float64) float64 {
	total := a.perWindow()
	if total == 0 {
		return fraction
	}
	urgency = min(max(urgency, 0), config.MostUrgent)
	before := fraction * a.byUrgency[urgency]
	for u := urgency + 1; u <= config.MostUrgent; u++ {
		before += a.byUrgency[u]
	}
	return before / total
}
