package callpath

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/memory"
	"github.com/comfreygate/comfreygate/internal/outcome"
)

const (
	// discardTimeout bounds how long the server reads on in a body that nobody needs any more, before it
	// closes the connection.
	discardTimeout = time.Second
	// memoryRetryAfter is the retry-after of a call whose body found no memory: after that time, transfers
	// that make no progress can be evicted.
	memoryRetryAfter = time.Second
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// receiveBody reads the body of a request within the time that is left. The memory comes from the
// budget: a body that makes no progress is given up while others need it. After an error the connection
// must not be kept.
func receiveBody(r *http.Request, budget *memory.Budget, limit int64, left time.Duration) (*Body, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	return receiveInto(budget.Open(), r, limit, left)
}

// receiveInto is receiveBody with an account of the budget that may hold memory already.
func receiveInto(account *memory.Account, r *http.Request, limit int64, left time.Duration) (*Body, error) {
	conn := connOf(r)
	setReadDeadline(conn, time.Now().Add(left))
	if conn != nil {
		account.Unpin(func() { setReadDeadline(conn, longAgo) })
	}
	body, err := readBody(r.Body, r.ContentLength, limit, account)
	if !account.Pin() {
		err = errNoMemory
	}
	if err != nil {
		account.Close()
		setReadDeadline(conn, longAgo)
		return nil, err
	}
	setReadDeadline(conn, time.Time{})
	return body, nil
}

// connOf returns the connection on which a request has arrived, or nil if it is not known.
func connOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// setReadDeadline sets the deadline of the reads of a body. An error can be ignored: the connection has
// been closed, and the next read says so.
func setReadDeadline(c net.Conn, t time.Time) {
	if caller, ok := c.(*callerConn); ok {
		c = caller.Conn // whose deadlines are not those of heads and idle connections
	}
	if c != nil {
		_ = c.SetReadDeadline(t)
	}
}

// bodyRefusal returns the refusal of a call whose body could not be read. The call has not run.
func bodyRefusal(err error) outcome.Result {
	switch {
	case errors.Is(err, errRequestTooLong):
		return outcome.Refuse(outcome.ReasonTooLarge, 0)
	case errors.Is(err, errNoMemory):
		return outcome.Refuse(outcome.ReasonMemory, memoryRetryAfter)
	case timedOut(err):
		return outcome.Refuse(outcome.ReasonSlowBody, outcome.MinRetryAfter)
	}
	return badRequest(errors.Wrap(err, "read body"))
}
