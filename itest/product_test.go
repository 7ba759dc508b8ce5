package itest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/itest/harness"
)

// TestDevModeInstructionsWork starts the dev mode as the README describes, and runs the
// curl and comfreyctl commands that it prints.
func TestDevModeInstructionsWork(t *testing.T) {
	is := is.New(t)
	d := harness.StartDevMode(t)
	instructions := d.Output("Stop with Ctrl-C.")
	curl := regexp.MustCompile(`curl -H '([^:]+): (\w+)' (http://\S+)`).FindStringSubmatch(instructions)
	is.Equal(len(curl), 4)
	req, err := http.NewRequest(http.MethodGet, curl[3], nil)
	is.NoErr(err)
	req.Header.Set(curl[1], curl[2])
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	res.Body.Close()
	is.Equal(res.StatusCode, http.StatusOK)
	checkWorkspaceKeys(t, curl[3])
	lines := regexp.MustCompile(`comfreyctl (--address \S+) (.*)`).FindAllStringSubmatch(instructions, -1)
	is.True(len(lines) >= 4)
	for _, line := range lines {
		out, code := harness.RunCtl(t, append(strings.Fields(line[1]), strings.Trim(line[2], "'"))...)
		if code != 0 {
			t.Errorf("%s: exit code %d: %s", line[0], code, out)
		}
	}
	is.Equal(d.Stop(), 0)
}

// checkWorkspaceKeys calls a route that requires a workspace key at the daemon of url:
// without a key, with an unknown and a valid key, and with the key of a rate-limited
// workspace until its limit is used up.
func checkWorkspaceKeys(t *testing.T, url string) {
	t.Helper()
	is := is.New(t)
	status := func(key string) int {
		req, err := http.NewRequest(http.MethodGet, strings.Replace(url, "/tickets/", "/guides/", 1), nil)
		is.NoErr(err)
		req.Header.Set("Comfrey-Caller", "clerk")
		if key != "" {
			req.Header.Set("Comfrey-Workspace-Key", key)
		}
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		res.Body.Close()
		return res.StatusCode
	}
	is.Equal(status(""), http.StatusUnauthorized)
	is.Equal(status("night-batch"), http.StatusUnauthorized)
	is.Equal(status("front-desk-key"), http.StatusOK)
	limited := 0
	for range 60 {
		if status("night-batch-key") == http.StatusTooManyRequests {
			limited++
		}
	}
	is.True(limited > 0)
	is.Equal(status("front-desk-key"), http.StatusOK)
}

// TestAdminAPIRequiresToken sends no token, a wrong token, and the right token without
// "Bearer".
func TestAdminAPIRequiresToken(t *testing.T) {
	is := is.New(t)
	c := harness.New(t)
	v := c.AddVM("ikeja-1", "ikeja")
	for _, header := range []string{"", "Bearer wrong", harness.Token} {
		req, err := http.NewRequest(http.MethodGet, "http://"+v.Addrs.Admin+"/v1/status", nil)
		is.NoErr(err)
		if header != "" {
			req.Header.Set("Authorization", header)
		}
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		res.Body.Close()
		is.Equal(res.StatusCode, http.StatusUnauthorized)
	}
	_, err := v.Status()
	is.NoErr(err)
}

// TestBadInputChangesNothing sends invalid commands, calls and announcements. Each must be
// refused with its exit code or status and leave the configuration unchanged.
func TestBadInputChangesNothing(t *testing.T) {
	is := is.New(t)
	c := harness.New(t)
	v := c.AddVM("ikeja-1", "ikeja")
	version := v.MustExecute(baseConfig)
	c.AwaitVersion(version, v)
	for _, bad := range []struct {
		args       []string
		code       int
		wantOutput string
	}{
		{[]string{"publish servce x"}, 2, "column 9"},
		{[]string{"show nothing"}, 2, "no table"},
		{[]string{"show daemons where colour = red"}, 2, "no column"},
		{[]string{"withdraw service tickets"}, 3, "route tickets names service tickets"},
		{[]string{"--output", "xml", "show daemons"}, 2, "output"},
		{[]string{"apply", "/does/not/exist"}, 2, "exist"},
	} {
		out, code := v.RunCtl(bad.args...)
		if code != bad.code || !strings.Contains(out, bad.wantOutput) {
			t.Errorf("%v: exit code %d, %q; want %d, %q", bad.args, code, out, bad.code, bad.wantOutput)
		}
	}
	client := harness.NewCallerClient()
	for _, bad := range []struct {
		call   harness.Call
		status int
	}{
		{harness.Call{Method: "GET", Path: "/elsewhere", Caller: "clerk"}, 404},
		{harness.Call{Method: "GET", Path: "/tickets", Caller: "nobody"}, 403},
		{harness.Call{Method: "GET", Path: "/tickets", Caller: "clerk", Header: map[string]string{"Comfrey-Timeout-Ms": "soon"}}, 400},
		{harness.Call{Method: "GET", Path: "/tickets", Caller: "clerk", Header: map[string]string{"Comfrey-Depth": "16"}}, 508},
		{harness.Call{Method: "POST", Path: "/tickets", Caller: "clerk", Body: strings.Repeat("x", 1<<20+1)}, 413},
	} {
		a := v.Send(client, bad.call)
		is.NoErr(a.Err)
		is.Equal(a.Status, bad.status)
		is.Equal(a.Outcome, "not-run")
	}
	for _, bad := range []string{"{", `{"id":"x"}`, `{"id":"X Y","service":"s","addr":"127.0.0.1:1","slots":1,"connections":1}`,
		`{"id":"x","service":"s","addr":"nowhere","slots":1,"connections":1}`, `{"colour":"red"}`} {
		res, err := http.Post("http://"+v.Addrs.Local+"/v1/upstreams", "application/json", strings.NewReader(bad))
		is.NoErr(err)
		res.Body.Close()
		is.Equal(res.StatusCode, http.StatusBadRequest)
	}
	s, err := v.Status()
	is.NoErr(err)
	is.Equal(s.Version, version)
}

// TestTimelineShowsCauseBeforeEffect checks that the timeline of one version shows, for each
// daemon, that the command was accepted before the version was applied.
func TestTimelineShowsCauseBeforeEffect(t *testing.T) {
	is := is.New(t)
	c := sixVMs(t)
	version := c.VMs[4].MustExecute("publish service stock")
	c.AwaitVersion(version, c.VMs...)
	out, code := c.VMs[0].RunCtl("timeline", "--version", fmt.Sprint(version))
	is.Equal(code, 0)
	is.Equal(strings.Count(out, " applied "), 6)
	is.Equal(strings.Count(out, "command-accepted"), 6)
	applied := map[string]bool{}
	for _, line := range strings.Split(out, "\n") {
		f := strings.Fields(line)
		if len(f) < 3 {
			continue
		}
		if f[2] == "applied" {
			applied[f[1]] = true
		}
		if f[2] == "command-accepted" && applied[f[1]] {
			t.Errorf("%s applied the version before it was accepted there", f[1])
		}
	}
}

// TestSecondSignalStopsAtOnce checks that a second SIGTERM ends the daemon, with exit code 3,
// while a call is still running.
func TestSecondSignalStopsAtOnce(t *testing.T) {
	is := is.New(t)
	c := harness.New(t)
	c.Settings = ""
	v := c.AddVM("ikeja-1", "ikeja")
	v.AddUpstream("tickets")
	c.AwaitVersion(v.MustExecute(baseConfig), v)
	c.AwaitUpstreams(1, v)
	inFlight := make(chan harness.Response, 1)
	go func() {
		inFlight <- v.Send(harness.NewCallerClient(), harness.Call{Method: "POST", Path: "/tickets/x?delay_ms=20000", ID: "held", Caller: "clerk",
			Header: map[string]string{"Comfrey-Timeout-Ms": "5000"}})
	}()
	awaitVerb(t, c, "run", "held")
	began := time.Now()
	is.Equal(v.StopTwice(), 3)
	is.True(time.Since(began) < 4*time.Second)
	<-inFlight
}

// TestCheckReportsInvalidSettings checks that "comfreyd check" names each invalid setting and
// accepts valid settings.
func TestCheckReportsInvalidSettings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(file, []byte("vm: a\nfailure_domain: b\nlog: {url: u}\nlisten:\n  admin: 10.0.0.1:8081\n"), 0o600))
	out, code := harness.RunDaemon(t, "check", "--settings", file)
	is.Equal(code, 2)
	is.True(strings.Contains(out, "listen.admin"))
	is.True(strings.Contains(out, "token"))
	is.NoErr(os.WriteFile(file, []byte("vm: a\nfailure_domain: b\nlog: {url: u}\n"), 0o600))
	out, code = harness.RunDaemon(t, "check", "--settings", file)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "good"))
}

// TestOrdersWithoutAVersionSayWhatTheyDid guards against answers to rollout orders that name
// version 0, which does not exist, and not what was ordered.
func TestOrdersWithoutAVersionSayWhatTheyDid(t *testing.T) {
	is := is.New(t)
	c := harness.New(t)
	v := c.AddVM("ikeja-1", "ikeja")
	c.AwaitVersion(v.MustExecute(baseConfig), v)
	for _, order := range []struct{ statement, want string }{
		{"rollout tickets to 2.0 within 12s", "rollout of tickets to 2.0 within 12s ordered; watch it with: show rollouts tickets\n"},
		{"abort rollout tickets", "rollout of tickets aborted; check with: show rollouts tickets\n"},
	} {
		out, code := v.RunCtl(order.statement)
		is.Equal(code, 0)
		is.Equal(out, order.want)
	}
	out, code := v.RunCtl("show", "rollouts", "tickets")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "reverted"))
}

// TestHelpListsStatements guards against help as a parse error, and against help that needs a
// daemon.
func TestHelpListsStatements(t *testing.T) {
	is := is.New(t)
	out, code := harness.RunCtl(t, "--address", "127.0.0.1:1", "help")
	is.Equal(code, 0)
	for _, statement := range []string{"show daemons", "publish service", "rollout tickets to", "abort rollout", "clear suspect", "dry run", "reseed log"} {
		if !strings.Contains(out, statement) {
			t.Errorf("help does not list %q:\n%s", statement, out)
		}
	}
}

// TestShowPressureListsScarceSlots guards against show pressure that misses what refuses calls
// now, or does not say how many daemons its answer covers.
func TestShowPressureListsScarceSlots(t *testing.T) {
	is := is.New(t)
	c := harness.New(t)
	v := c.AddVM("ikeja-1", "ikeja")
	v.AddUpstream("tickets", "-slots", "1", "-delay-ms", "50")
	c.AwaitVersion(v.MustExecute(baseConfig), v)
	c.AwaitUpstreams(1, v)
	out, code := v.RunCtl("show", "pressure")
	is.Equal(code, 0)
	is.Equal(out, "RESOURCE  SERVICE  WHERE  SINCE  REFUSED  WAITING\n"+
		"covers 1 of 1 live daemons: this one, and those that reported a load to it in the last 10s\n")
	load := harness.StartLoad(8, c.VMs, harness.PostCalls("pressed"))
	load.AwaitOutcome(t, "not-run", 20)
	load.Stop()
	out, code = v.RunCtl("show", "pressure", "where", "where", "=", "ikeja")
	is.Equal(code, 0)
	is.True(regexp.MustCompile(`(?m)^slots +tickets +ikeja +\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ +normal \d\d+ `).MatchString(out))
	metrics, err := http.NewRequest(http.MethodGet, "http://"+v.Addrs.Admin+"/metrics", nil)
	is.NoErr(err)
	metrics.Header.Set("Authorization", "Bearer "+harness.Token)
	res, err := http.DefaultClient.Do(metrics)
	is.NoErr(err)
	defer res.Body.Close()
	var gauges map[string]struct{ Value int64 }
	_ = json.NewDecoder(res.Body).Decode(&gauges) // timers have values of other types
	is.True(gauges["pressure.slots"].Value >= 1)
	is.Equal(gauges["pressure.link"].Value, int64(0))
}
