package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// endlessText reads the letter x over and over.
type endlessText struct{ read int64 }

func (r *endlessText) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	r.read += int64(len(p))
	return len(p), nil
}

// TestRequestWithoutEndIsRejected guards against a daemon that runs out of memory since the body of a
// request to the administration API has no end.
func TestRequestWithoutEndIsRejected(t *testing.T) {
	is := is.New(t)
	h, err := NewHandler(nil, "")
	is.NoErr(err)
	body := &endlessText{}
	req := httptest.NewRequest(http.MethodPost, "/v1/command", io.MultiReader(body))
	req.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	is.Equal(w.Code, http.StatusBadRequest)
	is.True(body.read > 0 && body.read <= 2*maxRequestBytes)
}
