package callpath

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
)

// TestPaceReachesTheIngress: the pace that an upstream reports must be in the load that its owner
// reports to ingress daemons on other VMs, and a malformed one must not. Where load control is not
// in force, the pace has no effect.
func TestPaceReachesTheIngress(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 4, 0)
	pace := ""
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		if pace != "" {
			w.Header().Set(HeaderPace, pace)
		}
	}))
	t.Cleanup(up.Close)
	r.workers[0].up = up
	r.update()
	owner := r.workers[0].owner
	pace = "2.5"
	r.send(config.Normal)
	is.Equal(r.ingress.Loads()["w0"].Pace, 1.0)
	controlled := *owner.view.Load()
	controlled.LoadControl = true
	owner.Update(&controlled)
	for _, c := range []struct {
		reported string
		want     float64
	}{{"", 1}, {"1", 1}, {"2.5", 2.5}, {"x", 2.5}, {"0.05", 2.5}, {"NaN", 2.5}, {"0.5", 0.5}} {
		pace = c.reported
		r.send(config.Normal)
		load := r.ingress.Loads()["w0"]
		is.Equal(load.Pace, c.want)
		is.True(load.Service > 0)
	}
}

// TestMalformedPacesCountAsUsual: messages between daemons come from the network.
func TestMalformedPacesCountAsUsual(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "x", "NaN", "Inf", "-1", "0", "0.09", "20.1"} {
		is.Equal(paceHeader(http.Header{HeaderPace: {text}}), 1.0)
	}
	for _, pace := range []float64{0.1, 0.75, 1, 2.5, 20} {
		h := http.Header{}
		setPaceHeader(h, pace)
		is.Equal(paceHeader(h), pace)
	}
	h := http.Header{}
	setPaceHeader(h, 1)
	is.Equal(len(h), 0)
}
