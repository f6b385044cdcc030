package operator

import (
	"encoding/json"
	"maps"
	"slices"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/engines/fleet"
)

// differences returns the aggregates that two deltas name, as JSON without the hashes of
// keys, sorted by name within each kind. Either delta may be nil.
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
	all = append(all, compare("endpoint", a.Endpoints, b.Endpoints, unredacted[fleet.Endpoint])...)
	all = append(all, compare("team", a.Teams, b.Teams, withoutKeyHashes)...)
	all = append(all, compare("operator", a.Operators, b.Operators, withoutKeyHash)...)
	all = append(all, compare("declaration", a.Declarations, b.Declarations, unredacted[fleet.Declaration])...)
	all = append(all, compare("policy", single(a.Policy), single(b.Policy), unredacted[fleet.Policy])...)
	return all
}

func single(p *fleet.Policy) map[string]*fleet.Policy {
	if p == nil {
		return nil
	}
	return map[string]*fleet.Policy{"policy": p}
}

func unredacted[V any](v V) V { return v }

func withoutKeyHashes(t fleet.Team) fleet.Team {
	t.Keys = slices.Clone(t.Keys)
	for i := range t.Keys {
		t.Keys[i].Hash = ""
	}
	return t
}

func withoutKeyHash(o fleet.Operator) fleet.Operator {
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
			Before:    encodeJSON(before[name], redact),
			After:     encodeJSON(after[name], redact),
		})
	}
	return all
}

func encodeJSON[V any](v *V, redact func(V) V) string {
	if v == nil {
		return ""
	}
	data, err := json.Marshal(redact(*v))
	if err != nil {
		return ""
	}
	return string(data)
}
