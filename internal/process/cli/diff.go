package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	filberthookv1 "filberthook/api/filberthook/v1"
)

// printDifferences prints one line for each value that changes.
func (a *app) printDifferences(all []*filberthookv1.Difference) {
	for _, d := range all {
		before, after := flatten(d.Before), flatten(d.After)
		switch {
		case d.Before == "":
			fmt.Fprintf(a.out, "+ %s %s\n", d.Aggregate, d.Name)
		case d.After == "":
			fmt.Fprintf(a.out, "- %s %s\n", d.Aggregate, d.Name)
		default:
			fmt.Fprintf(a.out, "~ %s %s\n", d.Aggregate, d.Name)
		}
		a.printFields(before, after)
	}
}

func (a *app) printFields(before, after map[string]string) {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	delete(names, "revision")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, hadOld := before[name]
		value, hasNew := after[name]
		if hadOld && hasNew && old == value {
			continue
		}
		if hadOld {
			fmt.Fprintf(a.out, "    - %s = %s\n", name, old)
		}
		if hasNew {
			fmt.Fprintf(a.out, "    + %s = %s\n", name, value)
		}
	}
}

// flatten returns the values of a JSON object under dotted names.
func flatten(object string) map[string]string {
	values := map[string]string{}
	var v any
	if object == "" || json.Unmarshal([]byte(object), &v) != nil {
		return values
	}
	flattenInto(values, "", v)
	return values
}

func flattenInto(values map[string]string, name string, v any) {
	prefix := ""
	if name != "" {
		prefix = name + "."
	}
	switch v := v.(type) {
	case map[string]any:
		for key, child := range v {
			flattenInto(values, prefix+key, child)
		}
	case []any:
		for i, child := range v {
			flattenInto(values, fmt.Sprintf("%s%d", prefix, i), child)
		}
	default:
		data, err := json.Marshal(v)
		if err == nil {
			values[name] = string(data)
		}
	}
}
