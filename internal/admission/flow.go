package admission

import "maps"

// maxFlows bounds the flows whose start tags are kept: more than can wait at one
// upstream.
const maxFlows = 256

// flows orders attempts by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996),
// so that flows take turns; all attempts count as equally long. Guarded by the mutex of
// the owning Gate.
type flows struct {
	// virtualTime is the highest start tag that was served.
	virtualTime uint64
	// nextStart holds the start tag of each flow's next attempt, for flows ahead of
	// virtualTime.
	nextStart map[string]uint64
}

// start returns the start tag of an attempt of the flow that arrives now.
func (f *flows) start(flow string) uint64 { return max(f.virtualTime, f.nextStart[flow]) }

// enqueue records that an attempt of the flow waits, with that start tag.
func (f *flows) enqueue(flow string, start uint64) {
	if f.nextStart == nil {
		f.nextStart = map[string]uint64{}
	}
	f.nextStart[flow] = start + 1
	for len(f.nextStart) > maxFlows {
		f.advance(f.virtualTime + 1)
	}
}

// dequeue records that a waiting attempt got a slot.
func (f *flows) dequeue(start uint64) {
	if start > f.virtualTime {
		f.advance(start)
	}
}

func (f *flows) advance(virtualTime uint64) {
	f.virtualTime = virtualTime
	maps.DeleteFunc(f.nextStart, func(_ string, next uint64) bool { return next <= virtualTime })
}

// withdraw records that a waiting attempt will never get a slot. If it was the last of
// its flow, the flow's next attempt gets its start tag.
func (f *flows) withdraw(flow string, start uint64) {
	if f.nextStart[flow] == start+1 {
		f.nextStart[flow] = start
	}
}
