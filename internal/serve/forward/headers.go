package forward

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern one connection only and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// endToEndHeaders returns a copy of a header without what concerns one connection.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader adds an answer's header to that of the answer to the caller.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
}
