package callpath

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/memory"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

// maxBufferedAnswer is the size in bytes below which a response is buffered completely
// before the caller receives any of it. A shorter response that is truncated can be
// retried at another upstream; others are streamed.
const maxBufferedAnswer = 1 << 20

// bufferAnswer reads a response into memory of the budget, unless it has maxBufferedAnswer bytes or
// more, or finds no memory. A truncated response becomes an unknown outcome. The returned size is the
// number of bytes read.
func bufferAnswer(ctx context.Context, budget *memory.Budget, r outcome.Result) (outcome.Result, int) {
	buf := &bufferedAnswer{blockBuffer{account: budget.Open()}}
	n, err := buf.ReadFrom(io.LimitReader(r.Body, maxBufferedAnswer))
	if err == nil && n == maxBufferedAnswer || errors.Is(err, errBufferFull) {
		r.Body = &partlyRead{Reader: io.MultiReader(buf, r.Body), buffered: buf, rest: r.Body}
		return r, int(n)
	}
	closeErr := r.Body.Close()
	if err == nil {
		err = closeErr
	}
	if err == nil {
		r.Body = buf
		return r, int(n)
	}
	buf.Close()
	out := outcome.MayHaveRun(outcome.ReasonBroken, errors.Wrap(err, "read response from upstream"))
	if ctx.Err() != nil {
		out.Reason = outcome.CancelReason(ctx)
	}
	out.Load, out.HasLoad = r.Load, r.HasLoad
	return out, int(n)
}

// bufferedAnswer is the body of a response that has been read completely.
type bufferedAnswer struct{ blockBuffer }

// Close implements io.Closer.
func (b *bufferedAnswer) Close() error {
	b.account.Close()
	return nil
}

// bufferOf returns the buffer of a response that has been read completely. False: it is streamed.
func bufferOf(body io.Reader) (*bufferedAnswer, bool) {
	if counted, ok := body.(*answerBody); ok {
		body = counted.ReadCloser
	}
	buffer, ok := body.(*bufferedAnswer)
	return buffer, ok
}

// writeBuffered writes a response that has been read completely to the caller. If memory is needed
// elsewhere while the caller takes nothing, the connection is closed.
func writeBuffered(w http.ResponseWriter, r *http.Request, res outcome.Result, answer *bufferedAnswer) {
	if conn := connOf(r); conn != nil {
		answer.account.Unpin(func() { setWriteDeadline(conn, longAgo) })
	}
	writeAnswer(w, res)
	if answer.account.Evicted() {
		// The deadline of the connection has passed, so that it cannot be kept.
		panic(http.ErrAbortHandler)
	}
}

// lateWriteTimeout is how long a caller may take, after a call has ended, for the rest of a streamed
// response that has been read from the upstream by then.
const lateWriteTimeout = time.Second

// writeStreamed writes a response to the caller as it arrives. A caller that does not take it holds
// the upstream's slot only until ctx ends.
func writeStreamed(ctx context.Context, w http.ResponseWriter, r *http.Request, res outcome.Result) {
	conn := connOf(r)
	if conn == nil {
		writeAnswer(w, res)
		return
	}
	limited := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		setWriteDeadline(conn, time.Now().Add(lateWriteTimeout))
		close(limited)
	})
	writeAnswer(w, res)
	if !stop() {
		<-limited
		setWriteDeadline(conn, time.Time{})
	}
}

// setWriteDeadline sets the deadline of writes. An error can be ignored: the connection has been closed,
// and the next write says so.
func setWriteDeadline(c net.Conn, t time.Time) { _ = c.SetWriteDeadline(t) }

// partlyRead is a body whose beginning has already been read: Reader returns that part
// first.
type partlyRead struct {
	io.Reader
	buffered *bufferedAnswer
	rest     io.Closer
}

// Close implements io.Closer.
func (p *partlyRead) Close() error {
	p.buffered.Close()
	return p.rest.Close()
}
