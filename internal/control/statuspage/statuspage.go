// Package statuspage renders the state of one entry host as plain HTML without scripts.
// The caller supplies the data.
package statuspage

import (
	_ "embed"
	"fmt"
	"html/template"
	"net/http"
	"time"
)

// Page is everything that the page shows.
type Page struct {
	Host      string
	Zone      string
	Ready     string // "ready", or why the host is not ready
	Uptime    time.Duration
	Revision  uint64        // of the configuration in force
	ConfigAge time.Duration // since a control replica confirmed the revision
	InFlight  int           // requests in progress
	Waiting   int           // requests that wait for capacity at an engine
	Hosts     []Host
	Instances []Instance
	Endpoints []Endpoint
	Planner   Planner
	Refusals  []Count
	Retries   []Count
}

// Host is another entry host.
type Host struct{ Name, Zone, State string }

// Instance is one endpoint instance.
type Instance struct {
	Name, Zone, Kind, Role, Models, Address string
	Running, Queued, UsedPieces, Pieces     int
	LoadAge                                 time.Duration
	State                                   string // "ready", "draining" or "changing"
}

// Endpoint is one endpoint with its approved teams.
type Endpoint struct {
	Name, Owner, Kind, Model string
	Repeatable               bool
	Teams                    []string
}

// Planner is the state of the zone's planner on this host.
type Planner struct {
	Holding bool   // this host holds the zone's lease
	Outcome string // of the last evaluation
	Change  string // change in progress
	Step    string
}

// Count is a counter with its label.
type Count struct {
	Name  string
	Value uint64
}

//go:embed page.html
var pageHTML string

var page = template.Must(template.New("page").Funcs(template.FuncMap{"short": short}).Parse(pageHTML))

// short rounds a duration for display.
func short(d time.Duration) string {
	if d < time.Minute {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// Handler serves the page, with the data that gather returns for each request.
func Handler(gather func() Page) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		if err := page.Execute(w, gather()); err != nil {
			fmt.Fprintf(w, "<p>page not rendered: %s</p>", template.HTMLEscapeString(err.Error()))
		}
	})
}
