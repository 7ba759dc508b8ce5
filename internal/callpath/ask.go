package callpath

import "github.com/comfreygate/comfreygate/internal/admission"

// askOf returns the admission request of an attempt.
func askOf(a *Attempt) admission.Ask {
	return admission.Ask{
		Urgency: a.Urgency, Flow: a.Flow, Nested: a.Nested, ParentServed: float64(a.ParentServed) / permille, Lot: a.Lot,
		Deadline: a.Deadline, Objective: a.Objective,
	}
}
