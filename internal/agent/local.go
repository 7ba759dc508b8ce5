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

// Announcement is what an upstream tells the daemon on its VM, again and
// again as long as it lives.
type Announcement struct {
	// ID is unique on the VM.
	ID string `json:"id"`
	// Life differs between two processes that announce the same ID, so that
	// a restarted upstream is not taken for the one that left. Any text.
	Life    string `json:"life"`
	Service string `json:"service"`
	// Version is that of its software, any text, or "".
	Version string `json:"version"`
	// Addr is where the upstream takes calls, as IP:port.
	Addr string `json:"addr"`
	// Slots is how many calls it runs at once.
	Slots int `json:"slots"`
	// Connections bounds the connections to it.
	Connections int `json:"connections"`
	// Process names the upstream's process to itself, if it checks that.
	Process string `json:"-"`
	// Born is when this life of the upstream began, in Unix milliseconds; zero:
	// not told. Where it is told, a later one under the same ID is another life.
	Born int64 `json:"-"`
	// Draining says that it takes no new work.
	Draining bool `json:"-"`
	// Sequence grows with each announcement of a life; zero: not counted.
	Sequence uint64 `json:"-"`
}

// AnnouncementReply tells an upstream how often to announce itself.
type AnnouncementReply struct {
	RenewMs int64 `json:"renew_ms"`
}

const (
	maxAnnouncement = 4096
	maxSlots        = 10_000
	// maxVersion bounds a version, in bytes.
	maxVersion = 255
	// renewsPerLapse is how often an upstream renews its announcement within
	// the time after which it would be gone.
	renewsPerLapse = 3
)

func (n Announcement) validate() error {
	host, _, err := net.SplitHostPort(n.Addr)
	switch {
	case !config.ValidName(n.ID):
		return errors.Errorf("id %q: lower-case letters, digits, dots and dashes, at most 63", n.ID)
	case !config.ValidName(n.Service):
		return errors.Errorf("service %q: lower-case letters, digits, dots and dashes, at most 63", n.Service)
	case len(n.Version) > maxVersion:
		return errors.Errorf("version: at most %d bytes", maxVersion)
	case err != nil || net.ParseIP(host) == nil:
		return errors.Errorf("addr %q must be IP:port", n.Addr)
	case n.Slots < 1 || n.Slots > maxSlots:
		return errors.Errorf("slots %d must be between 1 and %d", n.Slots, maxSlots)
	case n.Connections < n.Slots || n.Connections > maxSlots:
		return errors.Errorf("connections %d must be between slots and %d", n.Connections, maxSlots)
	}
	return nil
}

// upstreamName makes what an upstream calls itself unique over all VMs.
func (a *Agent) upstreamName(id string) string { return a.settings.VM + "/" + id }

// lifeID names one life of an upstream, where it tells its lives apart.
func lifeID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(born, 10)
}

// localHandler serves the upstreams on this VM.
func (a *Agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/upstreams", a.serveAnnounce)
	mux.HandleFunc("DELETE /v1/upstreams/{id}", a.serveWithdraw)
	return mux
}

func (a *Agent) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var n Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	dec.DisallowUnknownFields()
	err := dec.Decode(&n)
	if err == nil {
		err = n.validate()
	}
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.Announce(n)
	w.Header().Set("Content-Type", "application/json")
	renew := time.Duration(a.settings.Control.UpstreamLapse) / renewsPerLapse
	// If the upstream has gone it will not read the answer.
	_ = json.NewEncoder(w).Encode(AnnouncementReply{RenewMs: renew.Milliseconds()})
}

// Announce takes an upstream's announcement. The upstream is in the view when
// it returns.
func (a *Agent) Announce(n Announcement) {
	name := a.upstreamName(n.ID)
	a.input(system.Announced{Local: table.Local{
		Upstream: wire.Upstream{ID: lifeID(name, n.Born), Service: n.Service, Version: n.Version, Slots: n.Slots, Draining: n.Draining},
		Name:     name, Life: n.Life, Born: n.Born, Addr: n.Addr, Conns: n.Connections, Process: n.Process, Sequence: n.Sequence,
	}})
	a.Inspect(nothing)
}

// Withdraw takes an upstream's word that it leaves. It gets no new work once
// this returns.
func (a *Agent) Withdraw(id string) {
	a.input(system.Withdrawn{ID: a.upstreamName(id)})
	a.Inspect(nothing)
}

// Remove takes an upstream's word that it is about to end. It gets no new
// work once this returns, and no late announcement brings it back. Born is when the
// life that ends began; zero: the one that is there.
func (a *Agent) Remove(id string, born int64) {
	a.input(system.Removed{Name: a.upstreamName(id), Born: born})
	a.Inspect(nothing)
}

func (a *Agent) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	a.Withdraw(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
