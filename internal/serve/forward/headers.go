package forward

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// endToEndHeaders returns a copy of h without hop-by-hop fields.
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

// copyHeader copies the end-to-end fields of an instance's answer to the caller's.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4 // colon, space, CR and LF
		}
	}
	return n
}
