package callpath

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// upload is the body of a request that is sent while the response is awaited.
type upload struct {
	// done is closed when sending has ended; err is why it failed.
	done chan struct{}
	err  error
}

const (
	// uploadEndTimeout is how long the rest of a body may take to be sent once the response has ended.
	uploadEndTimeout = time.Second
	// refusalUploadTimeout is how long the rest of a body may take to be sent once the request has been
	// refused: a socket holds most bodies, and an upstream that refuses has no reason to read slowly.
	refusalUploadTimeout = 100 * time.Millisecond
)

var errStillSending = errors.New("the request is still being sent")

// await waits until sending has ended and returns its error.
func (u *upload) await(timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err
	case <-timer.C:
		return errStillSending
	}
}

// endOf returns the error that ends the body of a response whose connection has ended before the request
// was sent completely. A reset is reported once, to the reader or to the writer, and the other one then
// sees a plain end: the body is complete only if sending has succeeded too.
func (u *upload) endOf() error {
	if err := u.await(uploadEndTimeout); err != nil {
		return errors.Wrap(err, "the connection has ended")
	}
	return io.EOF
}

// isUnframed reports whether the body of a response has neither a length nor chunks, so that only the end
// of the connection ends it.
func isUnframed(req *http.Request, res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && req.Method != http.MethodHead
}
