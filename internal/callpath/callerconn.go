package callpath

import (
	"context"
	"net"

	"github.com/comfreygate/comfreygate/internal/tcp"
)

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// WithConn stores the connection on which requests arrive in their context, so that
// callerDisconnected can check it. Use it as the ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerDisconnected reports whether the sender of the request has closed its connection.
// The server also notices that and cancels the context, but when CPU time is short only
// after it has dispatched the requests that were waiting in the sockets meanwhile.
func callerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && tcp.ClosedByPeer(c)
}
