package httpanswer

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

func read(text string) (*http.Response, error) {
	return Read(bufio.NewReader(strings.NewReader(text)), http.MethodGet)
}

func TestMalformedHeads(t *testing.T) {
	const end = "\r\nContent-Length: 0\r\n\r\n"
	for text, want := range map[string]Reason{
		"HTTP/1.1 200 OK" + end:                             "",
		"HTTP/1.1 100 Continue" + end:                       "",
		"HTTP/1.1 599 Other" + end:                          "",
		"HTTP/1.1 000 X" + end:                              ReasonStatus,
		"HTTP/1.1 007 X" + end:                              ReasonStatus,
		"HTTP/1.1 099 X" + end:                              ReasonStatus,
		"HTTP/1.1 +99 X" + end:                              ReasonStatus,
		"HTTP/1.1 600 X" + end:                              ReasonStatus,
		"HTTP/1.1 999 X" + end:                              ReasonStatus,
		"HTTP/1.1 101 X" + end:                              ReasonStatus,
		"HTTP/1.1 200 OK\r\nX-1!#$%&'*+.^_`|~: a" + end:     "",
		"HTTP/1.1 200 OK\r\nX A: a" + end:                   ReasonFieldName,
		"HTTP/1.1 200 OK\r\nX-A : a" + end:                  ReasonFieldName,
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n":     ReasonFieldName,
		"HTTP/1.1 100 Continue\r\nX A: a" + end:             ReasonFieldName,
		"HTTP/1.1 200 OK\r\nX-A: a\r\n continued : a" + end: "",
	} {
		_, err := read(text)
		var malformed *MalformedError
		if want == "" && err != nil || want != "" && (!errors.As(err, &malformed) || malformed.Reason != want) {
			t.Errorf("%q: %v, want the reason %q", text, err, want)
		}
	}
}

var token = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")

// Whatever bytes come, the head that is returned is one of RFC 9112, and the text of its names and its status
// is in them.
func FuzzRead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 000 X\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok")
	f.Add("HTTP/1.0 200 OK\nX-A: b\n c\n\nok")
	f.Add("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		answer, err := read(text)
		if err != nil {
			return
		}
		if !strings.Contains(text, fmt.Sprintf(" %03d", answer.StatusCode)) || answer.StatusCode < 100 || answer.StatusCode > 599 {
			t.Errorf("status %d of %q", answer.StatusCode, text)
		}
		for name, values := range answer.Header {
			if !token.MatchString(name) || !strings.Contains(strings.ToLower(text), strings.ToLower(name)+":") {
				t.Errorf("name %q of %q", name, text)
			}
			if strings.ContainsAny(strings.Join(values, ""), "\r\n\x00") {
				t.Errorf("value %q of %q", values, text)
			}
		}
	})
}
