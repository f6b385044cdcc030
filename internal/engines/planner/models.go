package planner

import (
	"slices"

	"filberthook/internal/engines/engineapi"
)

// missingModel returns a change that loads a declared model which too few
// engines have. Engines keep their other models.
func missingModel(v View) (Change, bool) {
	for i := range v.Declared {
		d := &v.Declared[i]
		if countEngines(v.Engines, d.Model) >= d.Engines {
			continue
		}
		if target := loadTarget(v, d); target >= 0 {
			e := &v.Engines[target]
			return Change{
				Kind:        ChangeLoadModel,
				Instance:    e.Instance,
				Incarnation: e.Incarnation,
				Model:       d.Model,
				Reason:      "declared for more engines than carry it",
			}, true
		}
	}
	return Change{}, false
}

// countEngines counts the engines that have the model in this version and with
// these adapters.
func countEngines(engines []Engine, m engineapi.Model) int {
	n := 0
	for i := range engines {
		if engines[i].hasExactModel(m) {
			n++
		}
	}
	return n
}

func (e *Engine) hasExactModel(m engineapi.Model) bool {
	return slices.ContainsFunc(e.Models, func(o engineapi.Model) bool {
		return o.Name == m.Name && o.Version == m.Version && containsAll(o.Adapters, m.Adapters)
	})
}

func containsAll(have, want []string) bool {
	for _, w := range want {
		if !slices.Contains(have, w) {
			return false
		}
	}
	return true
}

// loadTarget returns the engine that should load a declared model, or -1: the
// one with the fewest models, then with the fewest running requests. Another
// version of the model is replaced only if the zone can serve it without this
// engine.
func loadTarget(v View, d *Declaration) int {
	best := -1
	for i := range v.Engines {
		e := &v.Engines[i]
		if !e.available() || e.hasExactModel(d.Model) {
			continue
		}
		if e.hasModel(d.Model.Name) && !servedWithout(v.Engines, i, d.Model.Name) {
			continue
		}
		if best < 0 || lessLoaded(e, &v.Engines[best]) {
			best = i
		}
	}
	return best
}

func lessLoaded(a, b *Engine) bool {
	if len(a.Models) != len(b.Models) {
		return len(a.Models) < len(b.Models)
	}
	return a.Running < b.Running
}
