package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthook/internal/process/boottime"
	"filberthook/internal/serve/dialect"
	"filberthook/internal/serve/revocation"
	"filberthook/internal/serve/routes"
)

// keyDialect is a testDialect whose requests carry keys.
type keyDialect struct{ testDialect }

func (keyDialect) DecodeRequest(h http.Header) dialect.Meta {
	m := testDialect{}.DecodeRequest(h)
	m.Key, m.Caller = h.Get("X-Key"), h.Get("X-Key")
	return m
}

func (keyDialect) EncodeRequest(caller http.Header, s dialect.SendOptions) http.Header {
	h := testDialect{}.EncodeRequest(caller, s)
	if s.Keyed {
		h.Del("X-Key")
		h.Set("X-Account", s.Account)
	}
	return h
}

const secretKey = "s3cret-key"

// startKeyed starts a harness with an account that holds secretKey, and version 1 confirmed.
func startKeyed(t *testing.T, public bool, list ...*instance) (*harness, *revocation.Confirmations) {
	t.Helper()
	r := route(routes.Unsafe, func(r *routes.Route) { r.Public = public })
	h := start(t, r, list...)
	confirmations := &revocation.Confirmations{}
	confirmations.Confirm(1, boottime.Now())
	h.server.dialect = keyDialect{}
	h.server.settings.Keys = Keys{Policy: revocation.Policy{Within: 5 * time.Second}, Confirmations: confirmations}
	h.setKeys(1, public, secretKey)
	return h, confirmations
}

// setKeys puts a version into force in which the account has these keys.
func (h *harness) setKeys(version uint64, public bool, keys ...string) {
	r := route(routes.Unsafe, func(r *routes.Route) { r.Public = public })
	h.server.SetTable(routes.NewTable(&routes.Config{
		Version: version, Routes: []routes.Route{r}, Endpoints: map[string]routes.Endpoint{"e": {Name: "e"}},
		Keyed: true, Accounts: []routes.Account{{Name: "ada", Keys: keys}},
	}))
}

func withKey(key string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Key", key) }
}

func TestRequestRunsOnlyWithAKey(t *testing.T) {
	i := service("i", ok)
	h, _ := startKeyed(t, false, i)
	for _, change := range []func(*http.Request){nil, withKey("another")} {
		if status, header, _, _ := h.do(t, change); status != http.StatusUnauthorized || header.Get("WWW-Authenticate") == "" {
			t.Errorf("status %d, want 401 with a challenge", status)
		}
	}
	if i.runs() != 0 {
		t.Error("a request without a key of the configuration has run")
	}
	if status, _, body, _ := h.do(t, withKey(secretKey)); status != http.StatusOK {
		t.Fatalf("with a key: %d %s", status, body)
	}
	if got := i.last().Header; got.Get("X-Account") != "ada" || got.Get("X-Key") != "" {
		t.Errorf("the instance got %v", got)
	}
	if h.log.count(secretKey) > 0 || h.log.count(`"account":"ada"`) == 0 {
		t.Errorf("log, which must name the account and not the key:\n%s", h.log.text())
	}
}

// The identity of a request goes to other hosts and into logs. It must be the same for all keys of
// an account, and must not depend on a key, which somebody could test guesses against.
func TestIdentityOfARequestDependsOnTheAccountOnly(t *testing.T) {
	i := service("i", ok)
	h, _ := startKeyed(t, false, i)
	h.setKeys(2, false, secretKey, "second")
	h.do(t, withKey(secretKey))
	h.do(t, withKey("second"))
	var found []string
	for line := range strings.Lines(h.log.text()) {
		if _, after, ok := strings.Cut(line, `"identity":"`); ok {
			identity, _, _ := strings.Cut(after, `"`)
			found = append(found, identity)
		}
	}
	if len(found) != 2 || found[0] != found[1] || found[0] == "" {
		t.Errorf("identities %q, want the same one twice", found)
	}
}

func TestKeysAreRefusedWithoutAConfirmationAndPublicRoutesServed(t *testing.T) {
	for _, public := range []bool{false, true} {
		i := service("i", ok)
		h, _ := startKeyed(t, public, i)
		confirmations := &revocation.Confirmations{}
		h.server.settings.Keys.Confirmations = confirmations
		confirmations.Confirm(1, boottime.Now()-5*time.Second)
		confirmations.Failed()
		status, header, _, _ := h.do(t, withKey(secretKey))
		switch {
		case public && (status != http.StatusOK || i.last().Header.Get("X-Account") != ""):
			t.Errorf("public route: status %d, account %q", status, i.last().Header.Get("X-Account"))
		case !public && (status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || i.runs() > 0):
			t.Errorf("status %d, Retry-After %q, %d runs", status, header.Get("Retry-After"), i.runs())
		}
	}
}

// A host that has just started gets its first confirmation right after its configuration. Requests
// that waited for the configuration must not be refused in between.
func TestRequestWaitsForTheFirstConfirmation(t *testing.T) {
	i := service("i", ok)
	h, _ := startKeyed(t, false, i)
	confirmations := &revocation.Confirmations{}
	h.server.settings.Keys.Confirmations = confirmations
	time.AfterFunc(100*time.Millisecond, func() { confirmations.Confirm(1, boottime.Now()) })
	if status, _, body, _ := h.do(t, withKey(secretKey)); status != http.StatusOK {
		t.Errorf("status %d %s, want the answer", status, body)
	}
}

// A new key may be used once its configuration is acknowledged, while this host still fetches it.
func TestKeyOfAConfigurationThatIsFetchedIsNotCalledUnknown(t *testing.T) {
	i := service("i", ok)
	h, confirmations := startKeyed(t, false, i)
	h.server.settings.Keys.Announced = func() uint64 { return 2 }
	confirmations.Failed() // do not wait
	if status, header, _, _ := h.do(t, withKey("new")); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, want 503 with Retry-After", status)
	}
	confirmations.Confirm(1, boottime.Now())
	time.AfterFunc(100*time.Millisecond, func() { h.setKeys(2, false, "new") })
	if status, _, body, _ := h.do(t, withKey("new")); status != http.StatusOK {
		t.Errorf("status %d %s, want the answer", status, body)
	}
}

// A body may arrive slowly: a key that is taken away meanwhile must not let the request run.
func TestKeyIsCheckedAgainOnceTheBodyHasArrived(t *testing.T) {
	i := service("i", ok)
	h, confirmations := startKeyed(t, false, i)
	body := &slowBody{after: func() {
		h.setKeys(2, false, "another")
		confirmations.Confirm(2, boottime.Now())
	}}
	resp, err := http.DefaultClient.Do(h.request(t, func(r *http.Request) {
		withKey(secretKey)(r)
		r.Body, r.ContentLength = body, 4
	}))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized || i.runs() > 0 {
		t.Errorf("status %d, %d runs; want 401 and none", resp.StatusCode, i.runs())
	}
}

// slowBody is a body of 4 bytes. It calls after once the header has been handled.
type slowBody struct {
	after func()
	sent  int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.sent == 3 {
		time.Sleep(200 * time.Millisecond)
		b.after()
	}
	b.sent++
	return copy(p, "x"), nil
}

func (b *slowBody) Close() error { return nil }
