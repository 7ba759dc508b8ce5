// Package response rejects responses whose heads are not valid in HTTP although net/http accepts them. A
// sender in trouble may produce them, and neither their status nor their body can be relied on.
package response

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// maxStatus is the highest status code that is valid. See RFC 9110, section 15.
const maxStatus = 599

// Check returns an error if the head of a response, final or interim, is malformed: the version is not
// 1.x, the status is not valid or is an upgrade that nobody asked for, or the name of a field holds a
// blank. A field with such a name may be one that frames the body, so that the body is not the sender's.
func Check(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return errors.Errorf("malformed response: version %s", res.Proto)
	case res.StatusCode < http.StatusContinue || res.StatusCode > maxStatus:
		return errors.Errorf("malformed response: status %q", res.Status)
	case res.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("malformed response: an upgrade that was not requested")
	}
	for name := range res.Header {
		// net/http itself rejects all other bytes that no name may hold.
		if strings.ContainsRune(name, ' ') {
			return errors.Errorf("malformed response: field name %q", name)
		}
	}
	return nil
}

// Transport checks the responses of another transport.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper. A malformed response is an error: the request may have been
// executed.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// version10 begins the responses of version 1.0.
const version10 = "HTTP/1.0"

// CheckVersion10 returns an error if the response that r reads next is of version 1.0 and names a transfer
// coding. That version has none: net/http drops the field and would return the chunks' lines as part of the
// body. See RFC 9112, section 6.1. Only what r can buffer is examined.
func CheckVersion10(r *bufio.Reader) error {
	// An error is left to the reader of the response.
	if begin, err := r.Peek(len(version10)); err != nil || string(begin) != version10 {
		return nil
	}
	for {
		seen, _ := r.Peek(r.Buffered())
		head, _, complete := bytes.Cut(seen, []byte("\n\r\n"))
		for line := range bytes.Lines(head) {
			name, _, isField := bytes.Cut(line, []byte(":"))
			if isField && strings.EqualFold(string(bytes.TrimSpace(name)), "Transfer-Encoding") {
				return errors.New("malformed response: a transfer coding in version 1.0")
			}
		}
		if complete || len(seen) == r.Size() {
			return nil
		}
		if _, err := r.Peek(len(seen) + 1); err != nil {
			return nil
		}
	}
}
