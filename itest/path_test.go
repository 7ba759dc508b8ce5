// Package itest tests the system as real processes: daemons, upstreams and a log.
package itest

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/itest/harness"
)

// baseConfig is a configuration with one service, one caller, and a route whose policy
// decides by the method whether a call may be repeated.
const baseConfig = `publish service tickets;
publish policy plain urgency normal timeout 5s retries 2;
publish caller clerk;
publish route tickets path /tickets to tickets policy plain callers clerk`

// TestCallThroughTwoDaemonsAfterPublish publishes a configuration with comfreyctl, and
// sends a call that enters at one daemon and runs at an upstream of another.
func TestCallThroughTwoDaemonsAfterPublish(t *testing.T) {
	is := is.New(t)
	c := harness.New(t)
	ingress := c.AddVM("ikeja-1", "ikeja")
	owner := c.AddVM("lekki-1", "lekki")
	owner.AddUpstream("tickets")

	out, code := ingress.RunCtl(strings.Fields(baseConfig)...)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted as version 1"))
	c.AwaitVersion(1, c.VMs...)
	c.AwaitUpstreams(1, c.VMs...)

	response := ingress.Send(harness.NewCallerClient(), harness.Call{
		Method: "POST", Path: "/tickets/7", ID: "first-call", Caller: "clerk", Body: "doll without arm",
	})
	is.NoErr(response.Err)
	is.Equal(response.Status, 200)
	is.Equal(response.Outcome, "answered")
	is.Equal(response.Body, "first-call\ndoll without arm")
	is.Equal(fmt.Sprint(c.RunCounts()), "map[first-call:1]")

	refused := ingress.Send(harness.NewCallerClient(), harness.Call{Method: "GET", Path: "/tickets/7", ID: "stranger", Caller: "nobody"})
	is.Equal(refused.Status, 403)
	is.Equal(refused.Outcome, "not-run")
	is.Equal(c.RunCounts()["stranger"], 0)
}
