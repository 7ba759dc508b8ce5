package callpath

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// expectContinue is the Expect header with which the receiver is asked to confirm that it
// wants the body before the body is sent. See RFC 9110, section 10.1.1.
const expectContinue = "100-continue"

var errBodyRefused = errors.New("receiver did not ask for the request body")

// deferredBody is a request body that is sent only after the receiver has asked for it.
type deferredBody struct {
	io.ReadCloser
	// flush sends the request's headers, which come before the body.
	flush    func() error
	resolved chan struct{}
	accepted bool
	once     sync.Once
	started  bool
}

// deferBody replaces the body of a request that has "Expect: 100-continue" with a
// deferred one and returns that. It returns nil for any other request.
func deferBody(req *http.Request, flush func() error) *deferredBody {
	if req.Header.Get("Expect") != expectContinue {
		return nil
	}
	h := &deferredBody{ReadCloser: req.Body, flush: flush, resolved: make(chan struct{})}
	req.Body = h
	return h
}

// resolve releases the body to be sent, or aborts its sending. Only the first call has an
// effect.
func (h *deferredBody) resolve(accepted bool) {
	if h == nil {
		return
	}
	h.once.Do(func() {
		h.accepted = accepted
		close(h.resolved)
	})
}

// Read implements io.Reader.
func (h *deferredBody) Read(b []byte) (int, error) {
	if !h.started {
		h.started = true
		if err := h.flush(); err != nil {
			return 0, err
		}
		<-h.resolved
	}
	if !h.accepted {
		return 0, errBodyRefused
	}
	return h.ReadCloser.Read(b)
}
