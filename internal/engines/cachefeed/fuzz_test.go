package cachefeed

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/prefix"
)

// FuzzCacheEventPages checks that whatever one engine answers to a poll, the feed goes on and takes
// the next start of the engine for what it says.
func FuzzCacheEventPages(f *testing.F) {
	f.Add([]byte(`{"incarnation":4,"complete":true,"next":1,"events":[{"seq":1,"kind":"stored","prefix":77}]}`))
	f.Add([]byte(`{"incarnation":4,"next":18446744073709551615,"snapshot":[{"seq":9,"kind":"cleared"}]}`))
	f.Add([]byte(`{"incarnation":4,"complete":true,"next":3,"events":[{"seq":3},{"seq":1,"kind":"removed","prefix":5}]}`))
	f.Add([]byte(`[`))
	f.Add([]byte(strings.Repeat("[", 20_000)))
	f.Add([]byte(`{"incarnation":1e400,"next":99999999999999999999}`))
	f.Add([]byte(`{"incarnation":18446744073709551615,"complete":true,"next":1,"events":[{"seq":18446744073709551615,"kind":"stored"}]}`))
	f.Add([]byte(`{"incarnation":4,"complete":false,"next":18446744073709551615,"events":[{"seq":-1}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
		defer server.Close()
		feed, index := newFeed(t, strings.TrimPrefix(server.URL, "http://"))
		for _, due := range feed.scan() {
			feed.poll(t.Context(), due)
		}
		const hash, later = 12345, 1 << 62
		index.Apply(time.Second, prefix.Page{Instance: "w1", CacheEventPage: engineapi.CacheEventPage{
			Incarnation: later, Complete: true, Next: 1,
			Events: []engineapi.CacheEvent{{Sequence: 1, Kind: engineapi.CacheStored, Prefix: hash}},
		}})
		if incarnation, _ := index.Next("w1"); incarnation <= later && matched(index, hash) != 1 {
			t.Error("the first page of a later start of the engine was not taken")
		}
	})
}
