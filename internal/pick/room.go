package pick

import (
	"math"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

const (
	// refusalCost is what a certain refusal costs as a part of a call's worth: a slow
	// answer is worth more than none. A likely one costs its square: where some are
	// refused everywhere, that is no reason to leave the failure domain.
	refusalCost = 1
	// roomWeight is the weight of the newest attempt in the part that an owner refuses,
	// serviceRoomWeight in that of all owners of a service.
	roomWeight        = 0.3
	serviceRoomWeight = 0.02
	// roomMemory is how fast it is forgotten what an owner refused: after it, one is
	// taken to refuse as many as the others of its service.
	roomMemory = 2 * time.Second
)

// room is the part of the calls that owners had no room for lately, by urgency.
type room struct {
	refused [config.MostUrgent + 1]float64
	at      time.Time
}

// note takes in whether there was room for a call of this urgency. If there was none,
// there was none for less urgent ones; if there was some, there was for more urgent ones.
func (r *room) note(urgency config.Urgency, res outcome.Result, weight float64, now time.Time) {
	r.at = now
	switch {
	case res.OfRequest():
	case res.Full():
		for u := range urgency + 1 {
			r.refused[u] += weight * (1 - r.refused[u])
		}
	case res.Reached():
		for u := urgency; u <= config.MostUrgent; u++ {
			r.refused[u] -= weight * r.refused[u]
		}
	}
}

// kept is the part of what is known that counts yet: none before anything is.
func (r *room) kept(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return math.Exp(-float64(now.Sub(r.at)) / float64(roomMemory))
}

// noteRoom takes in what became of an attempt.
func (p *Picker) noteRoom(service string, st *stats, urgency config.Urgency, r outcome.Result, now time.Time) {
	all := p.rooms[service]
	if all == nil {
		all = &room{}
		p.rooms[service] = all
	}
	keep := st.room.kept(now)
	for u, refused := range st.room.refused {
		st.room.refused[u] = all.refused[u] + keep*(refused-all.refused[u])
	}
	st.room.note(urgency, r, roomWeight, now)
	all.note(urgency, r, serviceRoomWeight, now)
}

// refused returns the part of the calls of an urgency that an owner refuses, as far as is
// known: one that was not asked lately refuses as many as the others. Else a daemon among
// hundreds would send its calls to those that it knows nothing of.
func (p *Picker) refused(service string, st *stats, urgency config.Urgency, now time.Time) float64 {
	all := p.rooms[service]
	switch {
	case all == nil:
		return 0
	case st == nil:
		return all.refused[urgency]
	}
	keep := st.room.kept(now)
	return all.refused[urgency] + keep*(st.room.refused[urgency]-all.refused[urgency])
}

// roomCost is what the chance of a refusal costs as a part of a call's worth.
func (p *Picker) roomCost(service string, st *stats, urgency config.Urgency, now time.Time) float64 {
	refused := p.refused(service, st, urgency, now)
	return refusalCost * refused * refused
}
