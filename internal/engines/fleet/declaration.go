package fleet

import (
	"fmt"

	"filberthook/internal/engines/engineapi"
)

// Limits on one declaration.
const (
	MaxModelsPerEngine  = 64
	MaxAdaptersPerModel = 256
)

// Declaration lists the models that one engine should have loaded.
type Declaration struct {
	Engine   string            `json:"engine"` // instance identifier
	Models   []engineapi.Model `json:"models"`
	Revision uint64            `json:"revision"`
}

// SetDeclaration replaces the declaration of one engine.
type SetDeclaration struct {
	Engine string            `json:"engine"`
	Models []engineapi.Model `json:"models"`
}

func (a SetDeclaration) addAffected(d *Delta) { d.setDeclaration(a.Engine, nil) }

func (a SetDeclaration) summary() string {
	return fmt.Sprintf("declare %d models for engine %s", len(a.Models), a.Engine)
}

func (a SetDeclaration) apply(d *draft, _ Actor) *Error {
	if err := checkName("engine", a.Engine); err != nil {
		return err
	}
	if err := checkModels(a.Models); err != nil {
		return err
	}
	d.delta.setDeclaration(a.Engine, &Declaration{Engine: a.Engine, Models: a.Models, Revision: d.delta.Revision})
	return nil
}

func checkModels(models []engineapi.Model) *Error {
	if len(models) > MaxModelsPerEngine {
		return errInvalid(fmt.Sprintf("the declaration has %d models", len(models)),
			fmt.Sprintf("declare at most %d models", MaxModelsPerEngine))
	}
	seen := make(map[string]bool, len(models))
	for _, m := range models {
		if err := checkName("model", m.Name); err != nil {
			return err
		}
		if m.Version == "" {
			return errInvalid(fmt.Sprintf("model %q has no version", m.Name), "declare the version to load")
		}
		if seen[m.Name] {
			return errInvalid(fmt.Sprintf("model %q is declared twice", m.Name), "declare each model once")
		}
		seen[m.Name] = true
		if len(m.Adapters) > MaxAdaptersPerModel {
			return errInvalid(fmt.Sprintf("model %q has %d adapters", m.Name, len(m.Adapters)),
				fmt.Sprintf("declare at most %d adapters", MaxAdaptersPerModel))
		}
	}
	return nil
}

// RemoveDeclaration removes the declaration of one engine.
type RemoveDeclaration struct {
	Engine string `json:"engine"`
}

func (a RemoveDeclaration) addAffected(d *Delta) { d.setDeclaration(a.Engine, nil) }

func (a RemoveDeclaration) summary() string { return "remove declaration of engine " + a.Engine }

func (a RemoveDeclaration) apply(d *draft, _ Actor) *Error {
	if _, ok := d.declaration(a.Engine); !ok {
		return errNotFound("declaration of engine", a.Engine)
	}
	d.delta.setDeclaration(a.Engine, nil)
	return nil
}
