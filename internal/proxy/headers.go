package proxy

import (
	"net/http"
	"strings"

	"filberthook/internal/engineapi"
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

// copyHeaders copies the headers that are to be passed on.
func copyHeaders(to, from http.Header, own []string) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, field := range from.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	for _, name := range own {
		to.Del(name)
	}
}
