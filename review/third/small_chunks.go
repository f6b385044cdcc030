package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case.
const (
	crowd         = 2040  // clients that nobody controls, a connection each
	crowdRate     = 100e6 // bytes a second of all of them together, of the 125e6 of the machine's link
	crowdPiece    = 60000 // bytes that one of them sends at once: 10,000 chunks
	crowdPieces   = 20    // of a body
	crowdDeadline = 6 * time.Second
	crowdBegins   = 3 * time.Second        // after the ordinary callers have begun
	crowdEnd      = 75 * time.Second       // after the start of the program
	crowdRetry    = time.Second            // after a connection has ended
	ordinary      = 10                     // callers; the sheet has 10 or 11 for each zone
	crowdFds      = 3900                   // the sheet's 4,100 without the 200 that are reserved for files
	crowdBuffer   = 16 << 10               // of a client's sends, so that what is paced is what is sent
	rateSpan      = 500 * time.Millisecond // over which the crowd's rate is measured
	maxKills      = 5
)

// oneByteChunk is a chunk of a body.
const oneByteChunk = "1\r\nb\r\n"

// pacer lets all clients together send so many bytes a second.
type pacer struct {
	mu   sync.Mutex
	next time.Time
}

// wait waits until n bytes may be sent.
func (p *pacer) wait(n int) {
	p.mu.Lock()
	if now := time.Now(); p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(time.Second * time.Duration(n) / crowdRate)
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// rateMeter finds the highest rate over spans of rateSpan or a little more.
type rateMeter struct {
	at    []time.Time
	bytes []int64
	most  float64 // bytes a second
}

func (m *rateMeter) sample(now time.Time, bytes int64) {
	m.at, m.bytes = append(m.at, now), append(m.bytes, bytes)
	for len(m.at) > 2 && now.Sub(m.at[1]) >= rateSpan {
		m.at, m.bytes = m.at[1:], m.bytes[1:]
	}
	if span := now.Sub(m.at[0]); span >= rateSpan {
		m.most = max(m.most, float64(bytes-m.bytes[0])/span.Seconds())
	}
}

// crowdSeen is what the crowd has seen.
type crowdSeen struct {
	pacer   pacer
	engines *seen
	piece   []byte
	bytes   atomic.Int64
	mu      sync.Mutex
	results map[string]int // numbers of requests by result
}

func (s *crowdSeen) note(id, result string) {
	at, _ := s.engines.arrived.Load(id)
	record("crowd request %s, %v: %s", id, at, result)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[result]++
}

// client has one client of the crowd send requests until ctx ends.
func (s *crowdSeen) client(ctx context.Context, front string, client int) {
	for n := 0; ctx.Err() == nil; n++ {
		c, err := net.DialTimeout("tcp", front, time.Second)
		if err == nil {
			_ = c.(*net.TCPConn).SetWriteBuffer(crowdBuffer) // fails only if the connection has ended
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("cc%06x%04x%04x", client, n, k)
				result, again := s.upload(c, id)
				s.note(id, result)
				if !again {
					break
				}
			}
			c.Close()
		}
		time.Sleep(crowdRetry)
	}
}

// upload sends a request and reports what came of it, and whether the connection may be used again.
func (s *crowdSeen) upload(c net.Conn, id string) (result string, again bool) {
	_ = c.SetDeadline(time.Now().Add(crowdDeadline))
	if _, err := fmt.Fprintf(c, "POST /needs/1 HTTP/1.1\r\nHost: a.example\r\nFilberthook-Request-Id: %s\r\nFilberthook-Deadline-Ms: %d\r\nFilberthook-Model: m\r\n"+
		"Filberthook-Token-Usage: 1460,%d\r\nFilberthook-Prefix-Hash: %s:350,0%s:1110\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, crowdDeadline.Milliseconds(), outputTokens, id, id); err != nil {
		return ending(err), false
	}
	for range crowdPieces {
		s.pacer.wait(len(s.piece))
		if _, err := c.Write(s.piece); err != nil {
			return ending(err), false
		}
		s.bytes.Add(int64(len(s.piece)))
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return ending(err), false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return ending(err), false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return ending(err), false
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(time.Duration(int64(s*1000)) * time.Millisecond)
	}
	return "status " + strconv.Itoa(resp.StatusCode), !resp.Close
}

// ending returns how an exchange ended without an answer.
func ending(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "no answer in time"
	}
	return "connection ended"
}

// unreadMB returns how many bytes have arrived at the process's sockets and were not read, in MB. Connections that
// it has not accepted yet are left out: they have no inode.
func (p *process) unreadMB() int {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(strings.TrimSuffix(p.address, ":0")).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0]) // as both kinds of machine write it
	const listening = "0A"
	sum := int64(0)
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 10 || !strings.HasPrefix(f[1], local) || f[3] == listening || f[9] == "0" {
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += n
	}
	return int(sum >> 20)
}

// smallChunks has a crowd send many chunked bodies at once, in chunks of a byte, beside ordinary callers. The platform
// kills a process that uses more than its memory.
func smallChunks(d *deployment, trouble bool) (int, error) {
	d.entryFds = crowdFds
	s := &seen{}
	if err := d.start(4, 1); err != nil {
		return 0, err
	}
	if err := d.startEngines(s); err != nil {
		return 0, err
	}
	if err := d.configure(lmConfig(), 20*time.Second); err != nil {
		return 0, err
	}
	if err := d.ready(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2 * heartbeat)
	ctx, stop := context.WithDeadline(context.Background(), began.Add(crowdEnd))
	defer stop()
	var calling sync.WaitGroup
	for c := range ordinary {
		calling.Go(func() {
			s.call(ctx, d.front(0), c, prompt{sharedTokens: 13300, ownTokens: 3720, bodyBytes: 17000, idBytes: shortID})
		})
	}
	time.Sleep(crowdBegins)
	uploads := &crowdSeen{engines: s, piece: []byte(strings.Repeat(oneByteChunk, crowdPiece/len(oneByteChunk))), results: map[string]int{}}
	if trouble {
		for c := range crowd {
			calling.Go(func() { uploads.client(ctx, d.front(0), c) })
		}
	}
	edge := d.entries[0]
	kills, most, mostOwn, mostUnread := 0, 0, 0, 0
	var rate rateMeter // of what the crowd has sent, with bytes in its send buffers
	for sample := 0; ctx.Err() == nil && s.cut.Load() <= maxCut && kills < maxKills; sample++ {
		time.Sleep(sampleInterval)
		own, unread := edge.anonymousMB(), edge.unreadMB()
		rate.sample(time.Now(), uploads.bytes.Load())
		if edge.hasEnded() {
			return 0, errors.New("the entry host has ended by itself")
		}
		if own+unread > most {
			most, mostOwn, mostUnread = own+unread, own, unread
		}
		if sample%recordEvery == 0 {
			record("%s: %d MB and %d MB not read, %.1f s of processor time; the crowd has sent %d MB; ordinary requests sent %d, served %d, not served %d, broken off %d, without an answer %d",
				edge.name, own, unread, edge.processorTime(), uploads.bytes.Load()/1e6, s.sent.Load(), s.served.Load(), s.refused.Load(), s.broken.Load(), s.lost.Load())
		}
		if own+unread <= memoryMB {
			continue
		}
		kills++
		record("platform: %s uses %d MB and %d MB that were not read, of %d MB, and is killed", edge.name, own, unread, memoryMB)
		edge.signal(syscall.SIGKILL)
		<-edge.ended
		time.Sleep(restartDelay)
		if err := d.exec(edge); err != nil {
			return 0, err
		}
		time.Sleep(afterKill)
	}
	stop()
	calling.Wait()
	summary := fmt.Sprintf("killed for its memory %d times, most %d MB (%d and %d not read); crowd %d MB, at most %.0f MB/s in some half second, %v; ordinary requests sent %d, served %d, not served %d, broken off %d, without an answer %d, of these cut after they were passed on from kept connections %d",
		kills, most, mostOwn, mostUnread, uploads.bytes.Load()/1e6, rate.most/1e6, uploads.results, s.sent.Load(), s.served.Load(), s.refused.Load(), s.broken.Load(), s.lost.Load(), s.cut.Load())
	record("%s", summary)
	fmt.Println(summary)
	if s.served.Load() == 0 {
		return 0, errors.New("nothing was served")
	}
	if s.cut.Load() > maxCut {
		return broken, nil
	}
	return held, nil
}
