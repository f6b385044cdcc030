package configcheck

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"filberthook/internal/serve/routes"
)

// Difference is an entry that a new configuration adds, removes or changes.
type Difference struct {
	Change string   `json:"change"` // added, removed or changed
	Entry  string   `json:"entry"`
	Fields []string `json:"fields,omitempty"` // of a changed entry: name, value in force and new value
}

// Compare returns how next differs from the configuration in force, ordered by entry. A version that
// is not higher is told as well, as it would replace nothing.
func Compare(inForce, next *routes.Config) []Difference {
	out := []Difference{}
	if next.Version <= inForce.Version {
		out = append(out, Difference{"changed", "version", []string{fmt.Sprintf("%d is not above %d, the one in force: the configuration would have no effect", next.Version, inForce.Version)}})
	}
	out = append(out, compareMaps(routesByPlace(inForce), routesByPlace(next))...)
	out = append(out, compareMaps(endpointsByName(inForce), endpointsByName(next))...)
	if fields := changedFields(inForce.Limits, next.Limits); len(fields) > 0 {
		out = append(out, Difference{"changed", "limits", fields})
	}
	slices.SortStableFunc(out, func(a, b Difference) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

func routesByPlace(c *routes.Config) map[string]routes.Route {
	out := make(map[string]routes.Route, len(c.Routes))
	for i := range c.Routes {
		p := placeOf(&c.Routes[i])
		out["route "+p.host+p.prefix] = c.Routes[i]
	}
	return out
}

func endpointsByName(c *routes.Config) map[string]routes.Endpoint {
	out := make(map[string]routes.Endpoint, len(c.Endpoints))
	for name, e := range c.Endpoints {
		out["service "+name] = e
	}
	return out
}

func compareMaps[T any](before, after map[string]T) []Difference {
	var out []Difference
	for name, old := range before {
		if now, ok := after[name]; !ok {
			out = append(out, Difference{Change: "removed", Entry: name})
		} else if fields := changedFields(old, now); len(fields) > 0 {
			out = append(out, Difference{"changed", name, fields})
		}
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			out = append(out, Difference{Change: "added", Entry: name})
		}
	}
	return out
}

// changedFields returns the fields of two structs of one type that differ.
func changedFields(before, after any) []string {
	var out []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if x, y := a.Field(i).Interface(), b.Field(i).Interface(); !reflect.DeepEqual(x, y) {
			out = append(out, fmt.Sprintf("%s: %s, now %s", a.Type().Field(i).Name, text(x), text(y)))
		}
	}
	return out
}

// text formats a value; pointers as what they point to.
func text(v any) string {
	if p := reflect.ValueOf(v); p.Kind() == reflect.Pointer {
		if p.IsNil() {
			return "none"
		}
		v = p.Elem().Interface()
	}
	return fmt.Sprintf("%+v", v)
}
