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
	d := &deferredBody{ReadCloser: req.Body, flush: flush, resolved: make(chan struct{})}
	req.Body = d
	return d
}

// resolve releases the body to be sent, or aborts its sending. Only the first call has an
// effect.
func (d *deferredBody) resolve(accepted bool) {
	if d == nil {
		return
	}
	d.once.Do(func() {
		d.accepted = accepted
		close(d.resolved)
	})
}

// Read implements io.Reader.
func (d *deferredBody) Read(b []byte) (int, error) {
	if !d.started {
		d.started = true
		if err := d.flush(); err != nil {
			return 0, err
		}
		<-d.resolved
	}
	if !d.accepted {
		return 0, errBodyRefused
	}
	return d.ReadCloser.Read(b)
}
