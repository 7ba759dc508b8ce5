package callpath

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// expectContinue asks the other end to say whether it wants the body. Source:
// RFC 9110, section 10.1.1.
const expectContinue = "100-continue"

var errBodyRefused = errors.New("the other end does not want the body")

// heldBody is a request's body that is sent once the other end has asked for it.
type heldBody struct {
	io.ReadCloser
	// flush sends the request's headers, which come before the body.
	flush   func() error
	decided chan struct{}
	wanted  bool
	once    sync.Once
	begun   bool
}

// holdBody puts a held body into a request that expects to be asked for it.
// Nil: the request does not.
func holdBody(req *http.Request, flush func() error) *heldBody {
	if req.Header.Get("Expect") != expectContinue {
		return nil
	}
	h := &heldBody{ReadCloser: req.Body, flush: flush, decided: make(chan struct{})}
	req.Body = h
	return h
}

// decide lets the body go, or ends its sending. The first word counts.
func (h *heldBody) decide(wanted bool) {
	if h == nil {
		return
	}
	h.once.Do(func() {
		h.wanted = wanted
		close(h.decided)
	})
}

// Read implements io.Reader.
func (h *heldBody) Read(b []byte) (int, error) {
	if !h.begun {
		h.begun = true
		if err := h.flush(); err != nil {
			return 0, err
		}
		<-h.decided
	}
	if !h.wanted {
		return 0, errBodyRefused
	}
	return h.ReadCloser.Read(b)
}
