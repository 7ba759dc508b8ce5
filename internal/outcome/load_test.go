package outcome

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLoadRoundTripsThroughHeader sends an encoded load as an HTTP header, from which
// leading and trailing white space is trimmed.
func TestLoadRoundTripsThroughHeader(t *testing.T) {
	is := is.New(t)
	want := Load{InFlight: 3, Queued: 1, Slots: 8, Service: 1500 * time.Microsecond, Intake: 70 * time.Millisecond}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Load", want.Encode())
	}))
	defer srv.Close()
	res, err := http.Get(srv.URL)
	is.NoErr(err)
	res.Body.Close()
	got, ok := DecodeLoad(res.Header.Get("Load"))
	is.True(ok)
	is.Equal(got, want)
}

func TestDecodeLoadRefusesOtherText(t *testing.T) {
	for _, s := range []string{"", "1", "1 2 3", "1 2 3 4", "1 2 3 4 x", "1 2 3 4 5 6", "1  2 3 4"} {
		if _, ok := DecodeLoad(s); ok {
			t.Errorf("DecodeLoad accepted %q, want it refused", s)
		}
	}
}
