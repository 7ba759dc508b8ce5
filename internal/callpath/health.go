package callpath

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreygate/comfreygate/internal/view"
)

// markOwnerDown stops using an owner that could not be reached, and probes it in the
// background until it answers again. silent is set if it merely did not respond in time:
// an owner that has just reported a wait for its link is then still used, because its
// packets are delayed behind long responses.
func (in *Ingress) markOwnerDown(u view.Upstream, silent bool) {
	if silent && in.picker.LinkBusy(u) {
		in.logLinkBusy(u)
		return
	}
	if !in.picker.SetDown(u.Owner, true) {
		return
	}
	in.cfg.Logger.Info().Str("step", "owner-down").Str("peer", u.Daemon).Str("domain", u.Domain).
		Msg("owner unreachable: no calls are sent to it until it answers")
	go in.probeUntilReachable(u)
}

// logLinkBusy logs that an owner stays in use although it did not respond in time.
func (in *Ingress) logLinkBusy(u view.Upstream) {
	if !mayLog(in.cfg.Logger, &in.ownerLogLimit, in.cfg.Now(), "owner-link-busy") {
		return
	}
	in.cfg.Logger.Info().Str("step", "owner-link-busy").Str("peer", u.Daemon).Str("domain", u.Domain).
		Msg("owner did not respond in time while its link is busy: it stays in use")
}

// ownerProbeMinInterval and ownerProbeMaxInterval limit the backoff between probes of an
// unreachable owner.
const (
	ownerProbeMinInterval = 100 * time.Millisecond
	ownerProbeMaxInterval = 5 * time.Second
)

// probeUntilReachable probes an owner with jittered exponential backoff until it answers
// or the upstream has left the view, and then lets calls be sent to it again.
func (in *Ingress) probeUntilReachable(u view.Upstream) {
	downSince := in.cfg.Now()
	wait := ownerProbeMinInterval
	for {
		jittered := wait/2 + rand.N(wait)
		if !pause(in.backgroundCtx, jittered) {
			return
		}
		_, err := in.remote.inquire(in.backgroundCtx, pathAttempt, u, &Attempt{ID: "ping"})
		if err == nil || !in.inView(u) {
			in.picker.SetDown(u.Owner, false)
			msg := "owner answers again: calls are sent to it"
			if err != nil {
				msg = "stopped probing owner: its upstream left the view or its daemon restarted"
			}
			in.cfg.Logger.Info().Str("step", "owner-up").Str("peer", u.Daemon).Str("domain", u.Domain).
				Int64("down_ms", in.cfg.Now().Sub(downSince).Milliseconds()).Msg(msg)
			return
		}
		wait = min(2*wait, ownerProbeMaxInterval)
	}
}

// inView reports whether the upstream, in the same incarnation of its daemon, is still in
// the view.
func (in *Ingress) inView(u view.Upstream) bool {
	s := in.view.Load().Services[u.Service]
	if s == nil {
		return false
	}
	return slices.ContainsFunc(s.Upstreams, func(o view.Upstream) bool {
		return o.ID == u.ID && o.Incarnation == u.Incarnation
	})
}
