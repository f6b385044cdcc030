package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/control/changefile"
	"filberthook/internal/engines/fleet"
)

func (a *app) addOperator(parser *kingpin.Application) {
	parent := parser.Command("operator", "Manage operators and their roles.")
	a.addOperatorSet(parent)
	a.addNamed(parent, "remove", "Remove an operator.", "operator", func(name string) *filberthookv1.Change {
		return &filberthookv1.Change{Change: &filberthookv1.Change_RemoveOperator{RemoveOperator: &filberthookv1.RemoveOperator{Operator: name}}}
	})
	a.command(parent.Command("list", "List the operators."), a.listOperators)
}

func (a *app) addOperatorSet(parent *kingpin.CmdClause) {
	var f changeFlags
	op := &filberthookv1.Operator{}
	clause := parent.Command("set", "Add an operator or replace its role; an admin may do everything, an owner approves teams for its own endpoints, a reader reads.")
	clause.Arg("operator", "Name of the operator.").Required().StringVar(&op.Name)
	role := clause.Flag("role", "Role of the operator.").Required().Enum("admin", "owner", "reader")
	clause.Flag("key-sha256", "SHA-256 sum of the operator's key; the key of an existing operator stays without it.").StringVar(&op.KeySha256)
	newKey := clause.Flag("new-key", "Make a key and show it once.").Bool()
	f.add(clause)
	a.command(clause, func(ctx context.Context) error {
		op.Role = changefile.Roles[*role]
		var keyText string
		if *newKey {
			key, hash := fleet.NewKey()
			op.KeySha256, keyText = string(hash), key
		}
		change := &filberthookv1.Change{Change: &filberthookv1.Change_SetOperator{SetOperator: &filberthookv1.SetOperator{Operator: op}}}
		return a.changeWithKey(ctx, &f, "of operator "+op.Name, keyText, []*filberthookv1.Change{change})
	})
}

func (a *app) listOperators(ctx context.Context) error {
	config, err := a.readConfiguration(ctx)
	if err != nil {
		return err
	}
	shown := &filberthookv1.Configuration{Revision: config.Revision, Operators: config.Operators}
	return a.printMessage(shown, func() {
		var rows [][]string
		for _, op := range config.Operators {
			rows = append(rows, []string{op.Name, nameOf(changefile.Roles, op.Role)})
		}
		a.table("OPERATOR ROLE", rows)
		fmt.Fprintf(a.out, "revision %d\n", config.Revision)
	})
}
