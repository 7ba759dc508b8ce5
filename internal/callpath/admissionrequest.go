package callpath

import "github.com/comfreygate/comfreygate/internal/admission"

// admissionRequest returns the admission request of an attempt.
func admissionRequest(a *Attempt) admission.Request {
	return admission.Request{
		Urgency: a.Urgency, Flow: a.Flow, Nested: a.Nested, ParentServedFraction: float64(a.ParentServedPermille) / permille, WaitFraction: a.WaitFraction,
		Deadline: a.Deadline, Objective: a.Objective,
	}
}
