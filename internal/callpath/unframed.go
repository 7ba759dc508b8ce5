package callpath

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// crashSettleTime is how long after the end of a connection an upstream is checked for a crash. The
// system closes the sockets of a process that has ended one after the other.
const crashSettleTime = 5 * time.Millisecond

var errCrashedInAnswer = errors.New("the upstream crashed when its response without a length ended")

// unframedBody is the body of a response that only the end of its connection ends. That end counts once
// confirm returns nil.
type unframedBody struct {
	io.ReadCloser
	confirm func() error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if unconfirmed := b.confirm(); unconfirmed != nil {
			err = unconfirmed
		}
	}
	return n, err
}

// confirmEnd returns the body of an upstream's response, with an error in place of the end if the end may
// be that of the upstream's process: its system closes the connections in order, wherever a response
// without a length has got to.
func (o *Owner) confirmEnd(ctx context.Context, loc *localUpstream, a *Attempt, body io.ReadCloser) io.ReadCloser {
	if pooled, ok := body.(*pooledBody); !ok || !pooled.unframed {
		return body
	}
	return &unframedBody{ReadCloser: body, confirm: func() error {
		pause(ctx, crashSettleTime)
		if o.detectCrash(ctx, loc, a.Upstream).n > 0 {
			return errCrashedInAnswer
		}
		return nil
	}}
}
