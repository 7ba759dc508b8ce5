package callpath

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// observeDraining reports whether the upstream states in its response to the attempt that it
// is draining. From the first such response on, its gate admits nothing.
func (o *Owner) observeDraining(loc *localUpstream, a *Attempt, h http.Header) bool {
	if o.cfg.Dialect.Draining == nil || !o.cfg.Dialect.Draining(h) {
		return false
	}
	if !o.setDraining(loc) {
		return true
	}
	logDraining(o.cfg.Logger, a.Upstream, a.Request)
	if o.cfg.OnDraining != nil {
		o.cfg.OnDraining(a.Upstream)
	}
	return true
}

// setDraining closes the upstream's gate for the rest of its incarnation. It reports whether
// that is new.
func (o *Owner) setDraining(loc *localUpstream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if loc.draining {
		return false
	}
	loc.draining = true
	loc.gate.Close(outcome.ReasonDraining)
	return true
}

// logDraining logs that an upstream stated in the response to a request that it is draining.
func logDraining(logger zerolog.Logger, upstream, request string) {
	logger.Info().Str("step", "upstream-draining").Str("peer", upstream).Str("request", request).
		Msg("upstream stated in a response that it is draining; it gets no more calls")
}
