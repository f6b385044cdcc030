package proxy

import (
	"net/http"
	"strings"

	"filberthook/internal/engines/engineapi"
)

// hopHeaders are hop-by-hop and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedRequestHeaders are set by this host, or meant for this host only. A caller's
// values are not forwarded.
var reservedRequestHeaders = []string{
	"Authorization", "Content-Length", "Expect", "Last-Event-Id", "X-Priority-Class",
	engineapi.HeaderRequestID, engineapi.HeaderAttemptID, engineapi.HeaderIdempotencyKey,
	engineapi.HeaderPriority, engineapi.HeaderDeadline, engineapi.HeaderResumeFrom,
	engineapi.HeaderKVHandle, engineapi.HeaderPrefillOnly, engineapi.HeaderFencingNumber,
}

// reservedAnswerHeaders are meant for this host only and are not passed on to callers.
var reservedAnswerHeaders = []string{
	"Content-Length", engineapi.HeaderRequestID, engineapi.HeaderAttemptID, engineapi.HeaderIdempotencyKey,
	engineapi.HeaderEngineLoad, engineapi.HeaderIncarnation, engineapi.HeaderRunDisposition,
}

// copyHeaders copies headers, except hop-by-hop and reserved ones: those stay as they are in
// to.
func copyHeaders(to, from http.Header, reserved []string) {
	skipped := make(map[string]bool, len(hopHeaders)+len(reserved))
	for _, name := range hopHeaders {
		skipped[name] = true
	}
	for _, name := range reserved {
		skipped[http.CanonicalHeaderKey(name)] = true
	}
	for _, field := range from.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			skipped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !skipped[http.CanonicalHeaderKey(name)] {
			to[name] = append([]string(nil), values...)
		}
	}
}
