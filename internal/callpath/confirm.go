package callpath

import (
	"cmp"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// confirmIDSuffix follows the ID of a request in that of the health check that confirms its refusal.
const confirmIDSuffix = "-confirm"

// maxConfirmBytes bounds the bodies of the refusal and of a response to an earlier request.
const maxConfirmBytes = 64 << 10

// healthPathFor returns the path of the health check that confirms an ambiguous refusal, or "" if the
// refusal is to be believed without one. It is called for ambiguous refusals only.
type healthPathFor func() string

// isAmbiguous reports whether a response is a refusal that may belong to no request: it lacks the
// request ID, and the connection has carried another response before, after which a faulty upstream
// may send additional bytes.
func (c *clientConn) isAmbiguous(res *http.Response) bool {
	if !c.reused || !c.pool.dialect.unnamed(res.Header) {
		return false
	}
	_, refused := c.pool.dialect.refusal(res)
	return refused
}

// confirmRefusal finds out whether the upstream has refused the request. It sends a health check over the
// same connection. An upstream answers in order: if it is running the request after all, the next response
// bears the request's ID and is returned. Otherwise the refusal is returned, without its body.
// An error means that the request may have run. That includes a refusal after which the upstream closes the
// connection, or does not read the rest of a long body, since no health check is answered then.
func (c *clientConn) confirmRefusal(req *http.Request, refusal *http.Response, healthPath string) (*http.Response, error) {
	c.notReusable = true
	if c.upload != nil {
		if err := c.upload.await(refusalUploadTimeout); err != nil {
			return nil, errors.Wrap(err, "confirm refusal")
		}
	}
	if _, err := io.CopyN(io.Discard, refusal.Body, maxConfirmBytes); err != io.EOF {
		return nil, errors.Wrap(cmp.Or(err, errBodyTooLong), "read refusal")
	}
	refusal.Body = http.NoBody
	if !refusal.Close {
		if err := c.sendHealthCheck(req, healthPath); err != nil {
			return nil, err
		}
	}
	for c.head.left = c.pool.limits.head; ; {
		res, err := c.readHead(req)
		if err != nil {
			return nil, errors.Wrap(err, "confirm refusal")
		}
		id := res.Header.Get(c.pool.dialect.Request)
		switch {
		case res.StatusCode < http.StatusOK:
		case strings.EqualFold(id, req.Header.Get(c.pool.dialect.Request)):
			return res, errors.Wrap(c.pool.limits.limitBody(res), "read response")
		case id == "" || strings.HasSuffix(id, confirmIDSuffix):
			return refusal, nil
		default: // a response to an earlier request
			if _, err := c.skipForeign(res, maxConfirmBytes); err != nil {
				return nil, err
			}
		}
	}
}

// sendHealthCheck sends a health check to the process that the request is meant for.
func (c *clientConn) sendHealthCheck(req *http.Request, path string) error {
	d := c.pool.dialect
	check, err := http.NewRequestWithContext(req.Context(), http.MethodGet, "http://"+c.pool.addr+path, nil)
	if err != nil {
		return errors.Wrap(err, "confirm refusal")
	}
	set(check.Header, d.Request, req.Header.Get(d.Request)+confirmIDSuffix)
	if process := req.Header.Get(d.ExpectedInstance); process != "" {
		set(check.Header, d.ExpectedInstance, process)
	}
	return c.send(check)
}
