package httpanswer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

func read(text string) (*http.Response, error) {
	return NewReader(strings.NewReader(text)).Next(http.MethodGet, nil)
}

func TestMalformedHeads(t *testing.T) {
	const end = "\r\nContent-Length: 0\r\n\r\n"
	for text, want := range map[string]Reason{
		"HTTP/1.1 200 OK" + end:                                            "",
		"HTTP/1.1 100 Continue" + end:                                      "",
		"HTTP/1.1 599 Other" + end:                                         "",
		"HTTP/1.1 000 X" + end:                                             ReasonStatus,
		"HTTP/1.1 007 X" + end:                                             ReasonStatus,
		"HTTP/1.1 099 X" + end:                                             ReasonStatus,
		"HTTP/1.1 +99 X" + end:                                             ReasonStatus,
		"HTTP/1.1 600 X" + end:                                             ReasonStatus,
		"HTTP/1.1 999 X" + end:                                             ReasonStatus,
		"HTTP/1.1 101 X" + end:                                             ReasonStatus,
		"HTTP/1.1 200 OK\r\nX-1!#$%&'*+.^_`|~: a" + end:                    "",
		"HTTP/1.1 200 OK\r\nX A: a" + end:                                  ReasonFieldName,
		"HTTP/1.1 200 OK\r\nX-A : a" + end:                                 ReasonFieldName,
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n":                    ReasonFieldName,
		"HTTP/1.1 100 Continue\r\nX A: a" + end:                            ReasonFieldName,
		"HTTP/1.1 200 OK\r\nX-A: a\r\n continued : a" + end:                "",
		"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked":                "",
		"HTTP/1.0 200 OK\ntransfer-encoding: chunked\n\n0\r\n\r\n":         ReasonFraming,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + end:              ReasonFraming,
		"HTTP/1.2 200 OK" + end:                                            "",
		"HTTP/2.0 200 OK" + end:                                            ReasonVersion,
		"HTTP/0.9 200 OK" + end:                                            ReasonVersion,
		"\x00\x01\r\n\r\n":                                                 ReasonSyntax,
		"HTTP/1.1 200 OK\r\nX\x00: a" + end:                                ReasonSyntax,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", MaxHeadBytes) + end: ReasonTooLarge,
	} {
		_, err := read(text)
		var malformed *MalformedError
		if want == "" && err != nil || want != "" && (!errors.As(err, &malformed) || malformed.Reason != want) {
			t.Errorf("%.99q: %v, want the reason %q", text, err, want)
		}
	}
}

func TestHeadThatIsCutIsNotMalformed(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"
	for cut := range len(head) {
		if _, err := read(head[:cut]); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut after %q: %v", head[:cut], err)
		}
	}
}

func TestFieldsOfTheNextAnswerAreItsOwn(t *testing.T) {
	r := NewReader(strings.NewReader("HTTP/1.0 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	for _, want := range []int{http.StatusNoContent, http.StatusOK} {
		if got, err := r.Next(http.MethodGet, nil); err != nil || got.StatusCode != want {
			t.Errorf("got %v, %v, want %d", got, err, want)
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
