// Package dev contains the example upstreams and the example configuration that the dev
// mode runs with its daemons.
package dev

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Upstream is an example upstream that answers every call with a line of text.
type Upstream struct {
	ID      string
	Service string
	Version string
	ln      net.Listener
	srv     *http.Server
	calls   atomic.Int64
}

const (
	// faultySuffix ends the names of versions whose upstreams fail part of their calls.
	faultySuffix = "-bad"
	// failureInterval is the number of calls to such an upstream of which one fails.
	failureInterval = 3
)

// StartUpstream starts an example upstream on a free port of the loopback address. Its ID
// consists of the VM and the version.
func StartUpstream(vm, service, version string) (*Upstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "start upstream on VM %s", vm)
	}
	u := &Upstream{ID: vm + "-" + version, Service: service, Version: version, ln: ln}
	u.srv = &http.Server{Handler: http.HandlerFunc(u.serveCall)}
	go u.srv.Serve(ln)
	return u, nil
}

func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(u.Version, faultySuffix) && u.calls.Add(1)%failureInterval == 0 {
		http.Error(w, "a bad version", http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s %s answered by %s of %s\n", r.Method, r.URL.Path, u.ID, u.Service)
}

// Addr returns the address at which the upstream accepts calls.
func (u *Upstream) Addr() string { return u.ln.Addr().String() }

// Close stops the upstream.
func (u *Upstream) Close() error { return u.srv.Close() }

// Example is an example configuration, modelled on a booking platform for repair workshops.
// The keys of its workspaces are "front-desk-key" and "night-batch-key".
const Example = `
services:
  - name: repair-tickets
    ramp: 5s
  - name: parts-payments
    ramp: 5s
policies:
  - name: clerk-waits
    urgency: critical
    timeout: 800ms
  - name: owner-can-wait
    urgency: background
    timeout: 5s
callers:
  - name: clerk
  - name: owner
routes:
  - {name: tickets, path: /tickets, service: repair-tickets, policy: clerk-waits, callers: [clerk, owner], public: true}
  - {name: ledger, path: /ledger, service: repair-tickets, policy: owner-can-wait, callers: [owner], public: true}
  - {name: payments, path: /payments, service: parts-payments, policy: clerk-waits, callers: [clerk], public: true}
  - {name: guides, path: /guides, service: repair-tickets, policy: clerk-waits, callers: [clerk]}
workspaces:
  - name: front-desk
    key_hashes: [2bc22a47bc8eb15f4371a5c9333e5b1daaa678ab83d6a39d77c7aee10322d27a]
  - name: night-batch
    key_hashes: [ab7543c22da11e8d2789de1003c7b6f839e4b1aee1ca6d272ea7c5ae94dcd5df]
    urgency: background
    rate: 2
    burst: 2
`
