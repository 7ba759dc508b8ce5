package callpath

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// responseLimits bounds what is read of the responses to one request, as a faulty upstream may send
// bytes without end. Zero means unlimited.
type responseLimits struct {
	// head bounds the heads of all responses together, interim ones included, in bytes.
	head int64
	// body bounds the body of the response, in bytes.
	body int64
}

// Errors of responses that exceed their limits. The request may have run.
var (
	errHeadTooLong = errors.New("the head of the response is too long")
	errBodyTooLong = errors.New("the body of the response is too long")
)

// headReader reads from a connection. While limited is set, it returns errHeadTooLong once left
// bytes have been read.
type headReader struct {
	io.Reader
	limited bool
	left    int64
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Reader.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// limitBody bounds the body of a response. It returns errBodyTooLong if the response states a longer
// one.
func (l responseLimits) limitBody(res *http.Response) error {
	if l.body == 0 {
		return nil
	}
	if res.ContentLength > l.body && res.Body != http.NoBody { // a response to HEAD has none
		return errBodyTooLong
	}
	res.Body = &limitedBody{ReadCloser: res.Body, left: l.body}
	return nil
}

// limitedBody is a body that returns errBodyTooLong if it has more than left bytes.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errBodyTooLong
	}
	return n, err
}
