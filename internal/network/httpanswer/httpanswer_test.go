package httpanswer

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

func read(text string) (*http.Response, error) {
	return Read(bufio.NewReader(strings.NewReader(text)), http.MethodGet)
}

func TestMalformedHeads(t *testing.T) {
	const end = "\r\nContent-Length: 0\r\n\r\n"
	for text, want := range map[string]Reason{
		"HTTP/1.1 200 OK" + end:       "",
		"HTTP/1.1 100 Continue" + end: "",
		"HTTP/1.1 599 Other" + end:    "",
		"HTTP/1.1 000 X" + end:        ReasonStatus,
		"HTTP/1.1 007 X" + end:        ReasonStatus,
		"HTTP/1.1 099 X" + end:        ReasonStatus,
		"HTTP/1.1 +99 X" + end:        ReasonStatus,
		"HTTP/1.1 600 X" + end:        ReasonStatus,
		"HTTP/1.1 999 X" + end:        ReasonStatus,
		"HTTP/1.1 101 X" + end:        ReasonStatus,
	} {
		_, err := read(text)
		var malformed *MalformedError
		if want == "" && err != nil || want != "" && (!errors.As(err, &malformed) || malformed.Reason != want) {
			t.Errorf("%q: %v, want the reason %q", text, err, want)
		}
	}
}
