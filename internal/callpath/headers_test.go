package callpath

import (
	"net/http"
	"strings"
	"testing"
)

// TestHeadersKeepTheirNames guards against renamed headers: callers and daemons of other
// releases know them by these names.
func TestHeadersKeepTheirNames(t *testing.T) {
	for name, want := range map[string]string{
		HeaderCaller: "Caller", HeaderKey: "Key", HeaderRequest: "Request-Id", HeaderTimeout: "Timeout-Ms",
		HeaderDepth: "Depth", HeaderOutcome: "Outcome", HeaderReason: "Reason", HeaderRetryAfter: "Retry-After-Ms",
		HeaderVersion: "Version", HeaderRateLimit: "Rate-Limit", HeaderDraining: "Draining", headerAttempt: "Attempt", headerUpstream: "Upstream", headerIncarnation: "Incarnation",
		headerUrgency: "Urgency", headerNested: "Nested", headerRepeated: "Repeated", headerLeft: "Left-Us",
		headerSent: "Sent-Us", headerObjective: "Objective-Us", headerLoad: "Load", headerSuspect: "Suspect", headerAnyHost: "Any-Host", headerClock: "Clock",
		HeaderWorkspaceKey: "Workspace-Key", HeaderWorkspace: "Workspace", headerFlow: "Flow", headerTook: "Took-Us",
		HeaderPace: "Pace", headerAnswerBytes: "Answer-Bytes", headerEgress: "Egress-Us",
	} {
		if name != headerPrefix+want || http.CanonicalHeaderKey(name) != name || strings.ContainsAny(name, ". ") {
			t.Errorf("%q, want %q", name, headerPrefix+want)
		}
	}
}
