package callpath

import (
	"context"
	"net"
)

// connKey is the context's key for the connection that a request came on.
type connKey struct{}

// WithConn lets the call path look at the connection that requests come on. It
// is an http.Server's ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerGone reports whether whoever sent the request has closed its connection.
// The server notices that by itself, but where processor time is short only
// after it has passed on what waited in the sockets meanwhile.
func callerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && closedByPeer(c)
}
