package callpath

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/admission"
	"github.com/comfreygate/comfreygate/internal/config"
)

// TestNestedCallsInheritParentUrgency covers nested calls to a service that is short of
// slots: a nested call that is refused there wastes the work of its parent, which is
// worth ten times the nested call's own.
func TestNestedCallsInheritParentUrgency(t *testing.T) {
	is := is.New(t)
	owner := &Owner{running: newRunningRequests()}
	in := &Ingress{owner: owner, cfg: IngressConfig{Dialect: Dialect{ParentRequest: func(id string) string {
		if id == "parent.child" {
			return "parent"
		}
		return ""
	}}}}
	parent := &Attempt{Request: "parent", Urgency: config.Critical}
	child := &Attempt{Request: "parent.child", Urgency: config.Background}
	in.inheritFromParent(child)
	is.True(!child.Nested) // no such request runs here: callers choose IDs freely
	owner.running.begin(parent, admission.New(time.Now, 1, 1, time.Time{}))
	in.inheritFromParent(child)
	is.True(child.Nested)
	is.Equal(child.Urgency, config.Critical)
	is.Equal(child.ParentServedPermille, permille)
	urgent := &Attempt{Request: "parent.child", Urgency: config.MostUrgent}
	in.inheritFromParent(urgent)
	is.Equal(urgent.Urgency, config.Critical) // not more urgent than its parent
	other := &Attempt{Request: "other", Urgency: config.Critical}
	in.inheritFromParent(other)
	is.True(!other.Nested)
	owner.running.end(parent)
	late := &Attempt{Request: "parent.child", Urgency: config.Background}
	in.inheritFromParent(late)
	is.True(!late.Nested)
}
