// Package caller tells whether the caller of a request is still connected. The context of a
// request that net/http serves is no proof of it: it ends once a read that runs beside the
// handler has found the connection closed, and does not end at all if a byte of a further
// request came before the close.
package caller

import (
	"context"
	"net"

	"filberthook/internal/network/netopt"
)

type connKey struct{}

// ConnContext is the hook of that name of http.Server. Left needs it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Left reports whether the caller of a request with this context has closed its connection. It
// asks the socket.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && netopt.PeerClosed(c)
}
