package callpath

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// maxBufferedAnswer is the size in bytes below which a response is buffered completely
// before the caller receives any of it. A shorter response that is truncated can be
// retried at another upstream; others are streamed.
const maxBufferedAnswer = 1 << 20

// bufferAnswer reads a response into memory, unless it has maxBufferedAnswer bytes or more.
// A truncated response becomes an unknown outcome. The returned size is the number of
// bytes read.
func bufferAnswer(ctx context.Context, r outcome.Result) (outcome.Result, int) {
	var buf blockBuffer
	n, err := buf.ReadFrom(io.LimitReader(r.Body, maxBufferedAnswer))
	if err == nil && n == maxBufferedAnswer {
		r.Body = &partlyRead{Reader: io.MultiReader(&buf, r.Body), Closer: r.Body}
		return r, int(n)
	}
	closeErr := r.Body.Close()
	if err == nil {
		err = closeErr
	}
	if err == nil {
		r.Body = io.NopCloser(&buf)
		return r, int(n)
	}
	out := outcome.MayHaveRun(outcome.ReasonBroken, errors.Wrap(err, "read response from upstream"))
	if ctx.Err() != nil {
		out.Reason = outcome.CancelReason(ctx)
	}
	out.Load, out.HasLoad = r.Load, r.HasLoad
	return out, int(n)
}

// partlyRead is a body whose beginning has already been read: Reader returns that part
// first.
type partlyRead struct {
	io.Reader
	io.Closer
}
