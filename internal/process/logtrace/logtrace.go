// Package logtrace reads the logs of many hosts and selects the lines that concern one
// request: those with its id and, from around its time, those about the instances it
// was sent to and other events of the hosts that served it, such as a new configuration.
package logtrace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"filberthook/internal/process/saturate"
)

// timeBefore and timeAfter extend the time range of a request. Heartbeats arrive about
// every second, and an instance counts as silent after three missed ones; timeBefore is
// longer than that.
const (
	timeBefore = 6 * time.Second
	timeAfter  = time.Second
)

// maxLineBytes limits a log line; Read fails on a longer one. Hosts write shorter lines.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time
	Host    string
	Level   string
	Message string
	Fields  map[string]any // all others except zone
}

// NotFoundError reports that no log line carries the id of the request.
type NotFoundError struct {
	ID    string
	Lines int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of %d log lines names the request %q: give the logs of all entry hosts", e.Lines, e.ID)
}

// Read parses the lines of a log. It skips what precedes a line's JSON object, such as
// a collector's prefix, and lines without a JSON object or a valid time.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			out = append(out, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	var line Line
	at, _ := fields["time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, at)
	if err != nil {
		return Line{}, false
	}
	line.Time = parsed
	line.Host, _ = fields["host"].(string)
	line.Level, _ = fields["level"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range []string{"time", "host", "level", "msg", "zone"} {
		delete(fields, name)
	}
	line.Fields = fields
	return line, true
}

// Trace returns the lines that concern a request, ordered by time.
func Trace(lines []Line, id string) ([]Line, error) {
	var own []Line
	for _, l := range lines {
		if l.Fields["id"] == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil, &NotFoundError{ID: id, Lines: len(lines)}
	}
	from, to := timeRange(own)
	instances, hosts := involved(own)
	out := own
	for _, l := range lines {
		if l.Fields["id"] == id || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if instance, ok := l.Fields["instance"].(string); ok && instances[instance] || hosts[l.Host] && isHostEvent(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, nil
}

// timeRange returns the time range of a request, extended by timeBefore and timeAfter.
// The log line of a request is written when it ends and holds its duration.
func timeRange(own []Line) (from, to time.Time) {
	from, to = own[0].Time, own[0].Time
	for _, l := range own {
		elapsedMs, _ := l.Fields["ms"].(float64)
		if begin := l.Time.Add(-saturate.Milliseconds(elapsedMs)); begin.Before(from) {
			from = begin
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	return from.Add(-timeBefore), to.Add(timeAfter)
}

// involved returns the instances that a request was sent to and the hosts that logged
// lines with its id.
func involved(own []Line) (instances, hosts map[string]bool) {
	instances, hosts = map[string]bool{}, map[string]bool{}
	for _, l := range own {
		hosts[l.Host] = true
		attempts, _ := l.Fields["attempts"].([]any)
		for _, a := range attempts {
			attempt, _ := a.(map[string]any)
			if id, ok := attempt["instance"].(string); ok {
				instances[id] = true
			}
		}
	}
	return instances, hosts
}

// isHostEvent reports whether a line is about its host rather than about a request.
// Messages about requests begin with "request".
func isHostEvent(l Line) bool { return !strings.HasPrefix(l.Message, "request") }

// Write prints lines as text, with times relative to the start of the request.
func Write(w io.Writer, lines []Line, id string) error {
	start := lines[0].Time
	for _, l := range lines {
		if l.Fields["id"] == id {
			elapsedMs, _ := l.Fields["ms"].(float64)
			start = l.Time.Add(-saturate.Milliseconds(elapsedMs))
			break
		}
	}
	for _, l := range lines {
		var fields []string
		for _, name := range slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string]) {
			value, err := json.Marshal(l.Fields[name])
			if err != nil {
				return fmt.Errorf("field %s: %w", name, err)
			}
			fields = append(fields, name+"="+string(value))
		}
		if _, err := fmt.Fprintf(w, "%+8.3fs %-14s %-5s %s  %s\n", l.Time.Sub(start).Seconds(), l.Host, l.Level, l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
