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

// uploadEndTimeout is how long the rest of a body may take to be sent once the response has ended.
const uploadEndTimeout = time.Second

// endOf returns the error that ends the body of a response whose connection has ended before the request
// was sent completely. A reset is reported once, to the reader or to the writer, and the other one then
// sees a plain end: the body is complete only if sending has succeeded too.
func (u *upload) endOf() error {
	timer := time.NewTimer(uploadEndTimeout)
	defer timer.Stop()
	select {
	case <-u.done:
		if u.err != nil {
			return errors.Wrap(u.err, "the connection ended before the request was sent")
		}
		return io.EOF
	case <-timer.C:
		return errors.New("the response ended while the request was being sent")
	}
}

// isUnframed reports whether the body of a response has neither a length nor chunks, so that only the end
// of the connection ends it.
func isUnframed(req *http.Request, res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && req.Method != http.MethodHead
}
