package forward

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// endToEnd returns a copy of a header without what concerns one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader adds an answer's header to that of the answer to the caller.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
}
