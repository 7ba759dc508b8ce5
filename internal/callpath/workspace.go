package callpath

import (
	"net/http"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/view"
)

// staleRetryAfter is the retry-after for a call that needs a key while the configuration
// is too old to tell which keys are valid. By then the store or a neighbour in the
// distribution tree has been asked again.
const staleRetryAfter = 500 * time.Millisecond

// workspace returns the workspace whose key the request presents, or nil if the route
// needs none. False: the request presents no key, several, or one that is not valid.
// Nested calls are no exception: any process that sends calls on this VM could claim to
// make one.
func (in *Ingress) workspace(v *view.View, route *view.Route, r *http.Request) (*config.Workspace, bool) {
	if !v.Keyed(route) {
		return nil, true
	}
	keys := r.Header[in.cfg.Dialect.Key]
	if len(keys) != 1 {
		return nil, false
	}
	return v.Workspace(keys[0])
}

// forwarded returns the request's headers without those that only the ingress reads or
// sets: no upstream receives a key, or a workspace name that the caller made up.
func (in *Ingress) forwarded(h http.Header) http.Header {
	out := endToEndHeaders(h)
	delete(out, in.cfg.Dialect.Key)
	delete(out, in.cfg.Dialect.Workspace)
	return out
}
