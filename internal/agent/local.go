package agent

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// Announcement is the registration that an upstream sends to the daemon on its VM and renews
// for as long as it runs.
type Announcement struct {
	// ID identifies the upstream. It is unique on the VM.
	ID string `json:"id"`
	// Incarnation identifies the process that runs the upstream. It differs between two
	// processes that announce the same ID, so that a restarted upstream is not mistaken for
	// the previous one. It may be any text.
	Incarnation string `json:"life"`
	Service     string `json:"service"`
	// Version is the version of the upstream's software: any text, or "".
	Version string `json:"version"`
	// Addr is the address at which the upstream accepts calls, as IP:port.
	Addr string `json:"addr"`
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the upstream.
	Connections int `json:"connections"`
	// Process is the ID of the upstream's process. It is sent with calls to the upstream, so
	// that the upstream can reject calls that are meant for another process.
	Process string `json:"-"`
	// StartedMs is when this incarnation of the upstream started, in Unix milliseconds, or
	// zero if unknown. If it is known, a later value under the same ID means another
	// incarnation.
	StartedMs int64 `json:"-"`
	// Draining is set if the upstream accepts no new calls.
	Draining bool `json:"-"`
	// Sequence increases with each announcement of an incarnation; zero: not numbered.
	Sequence uint64 `json:"-"`
}

// AnnouncementReply tells an upstream how often to renew its announcement.
type AnnouncementReply struct {
	RenewMs int64 `json:"renew_ms"`
}

const (
	maxAnnouncementBytes = 4096
	maxSlots             = 10_000
	// maxVersionBytes bounds the length of a version.
	maxVersionBytes = 255
	// renewalsPerLapse is how many times an upstream renews its announcement within the time
	// after which the announcement would lapse.
	renewalsPerLapse = 3
)

func (n Announcement) validate() error {
	host, _, err := net.SplitHostPort(n.Addr)
	switch {
	case !config.ValidName(n.ID):
		return errors.Errorf("id %q must have 1 to 63 lower-case letters, digits, dots, underscores and dashes, and begin and end with a letter or digit", n.ID)
	case !config.ValidName(n.Service):
		return errors.Errorf("service %q must have 1 to 63 lower-case letters, digits, dots, underscores and dashes, and begin and end with a letter or digit", n.Service)
	case len(n.Version) > maxVersionBytes:
		return errors.Errorf("version must have at most %d bytes", maxVersionBytes)
	case err != nil || net.ParseIP(host) == nil:
		return errors.Errorf("addr %q must be IP:port", n.Addr)
	case n.Slots < 1 || n.Slots > maxSlots:
		return errors.Errorf("slots %d must be between 1 and %d", n.Slots, maxSlots)
	case n.Connections < n.Slots || n.Connections > maxSlots:
		return errors.Errorf("connections %d must be between slots and %d", n.Connections, maxSlots)
	}
	return nil
}

// upstreamName prefixes an upstream's ID with the VM, which makes it unique over all VMs.
func (a *Agent) upstreamName(id string) string { return a.settings.VM + "/" + id }

// incarnationID returns the ID of one incarnation of an upstream. It is the plain name if the
// upstream does not report its start time.
func incarnationID(name string, startedMs int64) string {
	if startedMs == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(startedMs, 10)
}

// localHandler serves the upstreams on this VM.
func (a *Agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/upstreams", a.serveAnnounce)
	mux.HandleFunc("DELETE /v1/upstreams/{id}", a.serveDeregister)
	return mux
}

func (a *Agent) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var n Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&n)
	if err == nil {
		err = n.validate()
	}
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Announce(n); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	renew := time.Duration(a.settings.Control.UpstreamLapse) / renewalsPerLapse
	// An error can be ignored: an upstream that has disconnected does not need the answer.
	_ = json.NewEncoder(w).Encode(AnnouncementReply{RenewMs: renew.Milliseconds()})
}

// Announce registers an upstream or renews its registration. It returns an error if the
// announcement is not in force. When it returns nil, the view in force contains the upstream. If
// the announcement is numbered and may be a late one from before the start of this daemon, the
// upstream gets calls only once others have confirmed it. If the upstream is draining, it gets no
// new calls, and others remember that for the next incarnation of this daemon.
func (a *Agent) Announce(n Announcement) error {
	name := a.upstreamName(n.ID)
	up := wire.Upstream{ID: incarnationID(name, n.StartedMs), Service: n.Service, Version: n.Version, Slots: n.Slots, Draining: n.Draining}
	if n.Incarnation != n.ID {
		up.ProcessIncarnation = n.Incarnation
	}
	a.input(system.Announced{Local: table.Local{
		Upstream: up,
		Name:     name, Incarnation: n.Incarnation, StartedMs: n.StartedMs, Addr: n.Addr, Conns: n.Connections, Process: n.Process, Sequence: n.Sequence,
	}})
	if n.Draining {
		return a.awaitDeparture()
	}
	return a.awaitApplied()
}

// Deregister deregisters an upstream. When it returns nil, the upstream gets no new calls.
func (a *Agent) Deregister(id string) error {
	a.input(system.Deregistered{ID: a.upstreamName(id)})
	return a.awaitApplied()
}

// Remove deregisters an upstream whose process is about to exit. When it returns nil, the upstream
// gets no new calls, a delayed announcement does not register it again, and others remember that
// for the next incarnation of this daemon. startedMs is the start of the incarnation that exits,
// in Unix milliseconds, or zero for the registered one.
func (a *Agent) Remove(id string, startedMs int64) error {
	a.input(system.Removed{Name: a.upstreamName(id), StartedMs: startedMs})
	return a.awaitDeparture()
}

func (a *Agent) serveDeregister(w http.ResponseWriter, r *http.Request) {
	if err := a.Deregister(r.PathValue("id")); err != nil {
		http.Error(w, "deregister: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
