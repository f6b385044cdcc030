package controlnode

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// closingTests closes the idle connections of the default HTTP client after the tests, so
// that goleak does not report their goroutines.
type closingTests struct{ *testing.M }

// Run implements goleak.TestingM.
func (m closingTests) Run() int {
	code := m.M.Run()
	http.DefaultClient.CloseIdleConnections()
	return code
}

// TestMain checks that stopped nodes leave no goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(closingTests{m}) }
