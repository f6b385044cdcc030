package operator

import (
	"encoding/json"
	"maps"
	"slices"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/engines/fleet"
)

// differences returns the aggregates that two deltas name, as JSON without the
// sums of keys, in the order of kinds and names. Either delta may be nil.
func differences(before, after *fleet.Delta) []*filberthookv1.Difference {
	if before == nil && after == nil {
		return nil
	}
	var a, b fleet.Delta
	if before != nil {
		a = *before
	}
	if after != nil {
		b = *after
	}
	var all []*filberthookv1.Difference
	all = append(all, compare("endpoint", a.Endpoints, b.Endpoints, keep[fleet.Endpoint])...)
	all = append(all, compare("team", a.Teams, b.Teams, withoutSums)...)
	all = append(all, compare("operator", a.Operators, b.Operators, withoutSum)...)
	all = append(all, compare("declaration", a.Declarations, b.Declarations, keep[fleet.Declaration])...)
	all = append(all, compare("policy", single(a.Policy), single(b.Policy), keep[fleet.Policy])...)
	return all
}

func single(p *fleet.Policy) map[string]*fleet.Policy {
	if p == nil {
		return nil
	}
	return map[string]*fleet.Policy{"policy": p}
}

func keep[V any](v V) V { return v }

func withoutSums(t fleet.Team) fleet.Team {
	t.Keys = slices.Clone(t.Keys)
	for i := range t.Keys {
		t.Keys[i].Hash = ""
	}
	return t
}

func withoutSum(o fleet.Operator) fleet.Operator {
	o.Key = ""
	return o
}

func compare[V any](aggregate string, before, after map[string]*V, redact func(V) V) []*filberthookv1.Difference {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var all []*filberthookv1.Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		all = append(all, &filberthookv1.Difference{
			Aggregate: aggregate,
			Name:      name,
			Before:    encoded(before[name], redact),
			After:     encoded(after[name], redact),
		})
	}
	return all
}

func encoded[V any](v *V, redact func(V) V) string {
	if v == nil {
		return ""
	}
	data, err := json.Marshal(redact(*v))
	if err != nil {
		return ""
	}
	return string(data)
}
