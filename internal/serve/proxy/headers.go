package proxy

import (
	"net/http"
	"strings"

	"filberthook/internal/engines/engineapi"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownRequestHeaders are set by this host for the endpoint, or are meant for
// this host alone; a caller's are not passed on.
var ownRequestHeaders = []string{
	"Authorization", "Content-Length", "Expect", "Last-Event-Id", "X-Priority-Class",
	engineapi.HeaderRequestID, engineapi.HeaderAttemptID, engineapi.HeaderIdempotencyKey,
	engineapi.HeaderPriority, engineapi.HeaderDeadline, engineapi.HeaderResumeFrom,
	engineapi.HeaderKVHandle, engineapi.HeaderPrefillOnly, engineapi.HeaderFencingNumber,
}

// ownAnswerHeaders are meant for this host; an endpoint's are not passed on.
var ownAnswerHeaders = []string{
	"Content-Length", engineapi.HeaderRequestID, engineapi.HeaderAttemptID, engineapi.HeaderIdempotencyKey,
	engineapi.HeaderEngineLoad, engineapi.HeaderIncarnation, engineapi.HeaderRunDisposition,
}

// copyHeaders copies the headers that are to be passed on. Those that are the
// receiver's own stay as they are in to.
func copyHeaders(to, from http.Header, own []string) {
	kept := make(map[string]bool, len(hopHeaders)+len(own))
	for _, name := range hopHeaders {
		kept[name] = true
	}
	for _, name := range own {
		kept[http.CanonicalHeaderKey(name)] = true
	}
	for _, field := range from.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			kept[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !kept[http.CanonicalHeaderKey(name)] {
			to[name] = append([]string(nil), values...)
		}
	}
}
