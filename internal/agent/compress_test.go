package agent_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/callpath"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/lang"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/internal/table"
)

// submit puts changes in force on all daemons of the fleet.
func (f *fleet) submit(text string) {
	f.t.Helper()
	st, err := lang.Parse(text)
	if err != nil {
		f.t.Fatal(err)
	}
	o := f.agents[0].Submit(f.t.Context(), config.Command{Changes: st.Changes})
	if o.Status != config.Accepted {
		f.t.Fatalf("status %s, want accepted: %s", o.Status, o.Reason)
	}
	f.converged(o.Version)
}

// echo is an upstream that returns a digest of the request's body and an end-to-end header, and
// then as many bytes as the request asks for.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	sum := sha256.Sum256(body)
	w.Header().Set("Got-Body", hex.EncodeToString(sum[:]))
	w.Header().Set("Got-Header", r.Header.Get("Sent-Header"))
	n := 0
	_, _ = fmt.Sscan(r.Header.Get("Answer-Length"), &n)
	_, _ = w.Write(answerBytes(n))
}

// answerBytes returns n bytes of which some repeat.
func answerBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * i / 7)
	}
	return b
}

// TestCallsBetweenDomainsAreCompressed sends calls from a daemon to one in another failure domain,
// to one in its own, and to one in another that does not advertise that it accepts compressed
// connections. Bodies and headers arrive as they were sent either way.
func TestCallsBetweenDomainsAreCompressed(t *testing.T) {
	is := is.New(t)
	var logged lockedBuffer
	f := startFleet(t, 0, func(s *settings.Settings) {
		s.FailureDomain = map[string]string{"vm-000": "domain-a", "vm-001": "domain-b", "vm-002": "domain-a", "vm-003": "domain-b"}[s.VM]
		s.Calls.LoadControl = config.LoadControlOn
		s.Control.UpstreamLapse = settings.Duration(time.Minute)
	})
	f.logger = zerolog.New(&logged)
	for i := range 4 {
		f.add(i)
	}
	f.awaitMembers()
	services := []string{1: "far", 2: "near", 3: "earlier"}
	for i, service := range services {
		if service == "" {
			continue
		}
		up := httptest.NewServer(http.HandlerFunc(echo))
		defer up.Close()
		f.agents[i].Announce(agent.Announcement{
			ID: "u", Incarnation: "1", Service: service, Addr: up.Listener.Addr().(*net.TCPAddr).String(), Slots: 4, Connections: 50,
		})
	}
	f.await("upstreams known", func(w *table.World) bool {
		for _, service := range services[1:] {
			if ids, others := w.UpstreamsOf(service, ""); len(ids)+others == 0 {
				return false
			}
		}
		return true
	})
	f.agents[0].Inspect(func(w *table.World) { // as if the record were that of an earlier build
		w.Members["vm-003"].Compress = false
		w.MembersChanged()
	})
	f.submit("put service far; put service near; put service earlier; put policy p urgency normal timeout 5s; put caller c; " +
		"put route far path /far to far policy p callers c; put route near path /near to near policy p callers c; " +
		"put route earlier path /earlier to earlier policy p callers c")
	counted := func() (plain, wire int64) {
		r := f.agents[0].Metrics()
		for _, name := range []string{"compress.in_bytes", "compress.out_bytes"} {
			plain += metrics.GetOrRegisterCounter(name, r).Count()
		}
		return plain, metrics.GetOrRegisterCounter("cross_domain.bytes.calls", r).Count()
	}
	send := func(path string, body []byte, answer int) {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			req, err := http.NewRequest(http.MethodPost, "http://"+f.agents[0].Addresses().Callers+path, bytes.NewReader(body))
			is.NoErr(err)
			req.Header.Set(callpath.HeaderCaller, "c")
			req.Header.Set("Sent-Header", "value of "+path)
			req.Header.Set("Answer-Length", fmt.Sprint(answer))
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			got, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			if res.StatusCode == http.StatusServiceUnavailable && time.Now().Before(deadline) {
				continue // until the upstream is known
			}
			is.Equal(res.StatusCode, http.StatusOK)
			is.True(bytes.Equal(got, answerBytes(answer)))
			sum := sha256.Sum256(body)
			is.Equal(res.Header.Get("Got-Body"), hex.EncodeToString(sum[:]))
			is.Equal(res.Header.Get("Got-Header"), "value of "+path)
			return
		}
	}
	sizes := []int{0, 1, 400, 5_000, 20_000, 300_000}
	sendAll := func(path string) (plain, wire int64) {
		send(path, nil, 0)
		plainBefore, wireBefore := counted()
		for _, size := range sizes {
			send(path, answerBytes(size), size/2)
			send(path, bytes.Repeat([]byte("text "), size/5), 10)
		}
		plain, wire = counted()
		return plain - plainBefore, wire - wireBefore
	}

	plain, wire := sendAll("/near")
	is.Equal(plain, int64(0))
	is.Equal(wire, int64(0))
	plain, wire = sendAll("/far")
	t.Logf("%d bytes, %d on the wire", plain, wire)
	is.True(plain > 800_000 && wire < plain)
	plainBefore, wireBefore := counted()
	for range 50 {
		send("/far", nil, 10)
	}
	plain, wire = counted()
	plain, wire = plain-plainBefore, wire-wireBefore
	t.Logf("50 short calls: %d bytes, %d on the wire", plain, wire)
	is.True(wire > 0 && wire < plain/2)
	is.True(strings.Contains(logged.String(), `"step":"compression","in_force":true,"setting":"auto"`))

	plain, wire = sendAll("/earlier")
	is.Equal(plain, int64(0))
	is.True(wire > 800_000)
	f.agents[0].Inspect(func(w *table.World) { is.True(!w.Members["vm-003"].Compress) }) // no newer record came
}

// lockedBuffer is a buffer that several goroutines may write to.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
