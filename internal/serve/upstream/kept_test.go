package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestHintsDoNotTakeThePlaceOfAnswers(t *testing.T) {
	const hint = "HTTP/1.1 103 Early Hints\r\nX-Id: other\r\n\r\n"
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		next()
		io.WriteString(c, strings.Repeat(hint, 3)+answer("other", "no")+hint+answer("1", "yes"))
		next()
	})
	if body, err := fetch(t, newPool(t), e.address(), get("1")); err != nil || body != "yes" {
		t.Errorf("got %q, %v, want the answer to the request", body, err)
	}
}
