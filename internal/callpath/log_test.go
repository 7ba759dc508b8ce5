package callpath

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/boottime"
	"github.com/comfreygate/comfreygate/internal/freshness"
)

// TestLogLinesAreLimitedAndSuppressedOnesCounted guards against log floods: lines beyond
// the limit in a second are suppressed, and their number is reported once, in the next
// second.
func TestLogLinesAreLimitedAndSuppressedOnesCounted(t *testing.T) {
	is := is.New(t)
	var l lineLimit
	at := time.Unix(1000, 0)
	written := 0
	for range 3 * maxLinesPerSecond {
		if ok, _ := l.allow(at); ok {
			written++
		}
	}
	is.Equal(written, maxLinesPerSecond)
	ok, suppressed := l.allow(at.Add(time.Second))
	is.True(ok)
	is.Equal(suppressed, 2*maxLinesPerSecond)
	_, suppressed = l.allow(at.Add(time.Second))
	is.Equal(suppressed, 0) // reported only once
}

// TestNoRouteLineHasHostPathAndConfigurationAge guards against log lines that do not
// distinguish a call for a route that never existed from one for a route that only a later
// configuration has.
func TestNoRouteLineHasHostPathAndConfigurationAge(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	var output bytes.Buffer
	r.ingress.cfg.Logger = zerolog.New(&output)
	v := *r.ingress.view.Load()
	v.Since = time.Now().Add(-3 * time.Second)
	r.ingress.Update(&v)
	r.ingress.SetFreshAt(freshness.Timestamp(boottime.Now() - 2*time.Second))

	req, err := http.NewRequest(http.MethodGet, r.srv.URL+"/added/"+strings.Repeat("x", 2*maxLoggedBytes)+"?secret=1", nil)
	is.NoErr(err)
	req.Host = "h.example"
	res, err := r.client.Do(req)
	is.NoErr(err)
	res.Body.Close()
	is.Equal(res.StatusCode, http.StatusNotFound)

	var line struct {
		Reason, Host, Path string
		InForceMs          int64 `json:"in_force_ms"`
		CheckedMs          int64 `json:"checked_ms"`
	}
	is.NoErr(json.Unmarshal(output.Bytes(), &line))
	is.Equal(line.Reason, "no-route")
	is.Equal(line.Host, "h.example")
	is.True(strings.HasPrefix(line.Path, "/added/x") && len(line.Path) == maxLoggedBytes)
	is.True(line.InForceMs >= 3000 && line.InForceMs < 60_000)
	is.True(line.CheckedMs >= 2000 && line.CheckedMs < 60_000)
	is.True(!strings.Contains(output.String(), "secret"))
}
