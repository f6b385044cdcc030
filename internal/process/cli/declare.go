package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	filberthookv1 "filberthook/api/filberthook/v1"
)

func (a *app) addDeclare(parser *kingpin.Application) {
	parent := parser.Command("declare", "Declare which models, adapters and versions each engine carries.")
	a.addDeclareSet(parent)
	a.addNamed(parent, "remove", "Remove the declaration of an engine.", "engine", func(name string) *filberthookv1.Change {
		return &filberthookv1.Change{Change: &filberthookv1.Change_RemoveDeclaration{RemoveDeclaration: &filberthookv1.RemoveDeclaration{Engine: name}}}
	})
	a.command(parent.Command("list", "List the declarations."), a.listDeclarations)
}

func (a *app) addDeclareSet(parent *kingpin.CmdClause) {
	var f changeFlags
	clause := parent.Command("set", "Replace the declaration of an engine.")
	engine := clause.Arg("engine", "Instance identifier of the engine.").Required().String()
	models := clause.Arg("model", "Model as NAME@VERSION or NAME@VERSION+ADAPTER+ADAPTER.").Required().Strings()
	f.add(clause)
	a.command(clause, func(ctx context.Context) error {
		d := &filberthookv1.Declaration{Engine: *engine}
		for _, text := range *models {
			m, err := parseModel(text)
			if err != nil {
				return err
			}
			d.Models = append(d.Models, m)
		}
		return a.change(ctx, &f, &filberthookv1.Change{Change: &filberthookv1.Change_SetDeclaration{
			SetDeclaration: &filberthookv1.SetDeclaration{Declaration: d}}})
	})
}

// parseModel parses NAME@VERSION+ADAPTER+ADAPTER.
func parseModel(text string) (*filberthookv1.Model, error) {
	parts := strings.Split(text, "+")
	name, version, ok := strings.Cut(parts[0], "@")
	if !ok || name == "" || version == "" {
		return nil, usage("model %q is not NAME@VERSION+ADAPTER; write for example assist-7b@1+rail", text)
	}
	return &filberthookv1.Model{Name: name, Version: version, Adapters: parts[1:]}, nil
}

// formatModels is the inverse of parseModel for lists.
func formatModels(models []*filberthookv1.Model) string {
	var all []string
	for _, m := range models {
		all = append(all, strings.Join(append([]string{m.Name + "@" + m.Version}, m.Adapters...), "+"))
	}
	return orDash(strings.Join(all, " "))
}

func (a *app) listDeclarations(ctx context.Context) error {
	config, err := a.readConfiguration(ctx)
	if err != nil {
		return err
	}
	shown := &filberthookv1.Configuration{Revision: config.Revision, Declarations: config.Declarations}
	return a.printMessage(shown, func() {
		var rows [][]string
		for _, d := range config.Declarations {
			rows = append(rows, []string{d.Engine, formatModels(d.Models)})
		}
		a.table("ENGINE MODELS", rows)
		fmt.Fprintf(a.out, "revision %d\n", config.Revision)
	})
}
