package upstream

import (
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"filberthook/internal/network/httpanswer"
	"filberthook/internal/network/netopt"
)

// conn is a connection to an instance, used by one request at a time.
type conn struct {
	net.Conn
	reader     *httpanswer.Reader
	address    string
	reused     bool
	idleSince  time.Time
	idleBefore time.Duration // idle time before the current request, if reused
	idleLimit  time.Duration // announced by the instance, 0 if none
	used       bool          // has carried a request
	ids        []uint64      // hashes of the IDs of the latest requests, at most maxKnownIDs
	nextID     int           // place in ids of the next one
}

// maxKnownIDs is how many IDs a connection knows. An ID comes again soon or never: when a
// request is sent once more, or its caller repeats it.
const maxKnownIDs = 64

var idSeed = maphash.MakeSeed()

// carry records that the connection carries a request.
func (c *conn) carry(id string) {
	c.used = true
	if id == "" {
		return
	}
	hash := maphash.String(idSeed, id)
	if len(c.ids) < maxKnownIDs {
		c.ids = append(c.ids, hash)
		return
	}
	c.ids[c.nextID] = hash
	c.nextID = (c.nextID + 1) % maxKnownIDs
}

// mayCarry reports whether answers to a request can be told from late ones to the requests
// that the connection has carried.
func (c *conn) mayCarry(r *Request) bool {
	if r.Alone {
		return !c.used
	}
	return r.ID == "" || !slices.Contains(c.ids, maphash.String(idSeed, r.ID))
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, reader: httpanswer.NewReader(c), address: address}
}

// healthy reports whether an idle connection is open and has no bytes to read. Bytes that
// arrive between answers belong to no request.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return netopt.Idle(c.Conn) == netopt.Quiet
}

// keepAliveTimeout returns the idle limit in an answer's Keep-Alive header, 0 if none.
func keepAliveTimeout(h http.Header) time.Duration {
	for item := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
