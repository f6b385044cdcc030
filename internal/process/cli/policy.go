package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/proto"

	filberthookv1 "filberthook/api/filberthook/v1"
)

func (a *app) addPolicy(parser *kingpin.Application) {
	parent := parser.Command("policy", "Show and set the weights and budgets of the deployment.")
	a.command(parent.Command("show", "Show the policy."), a.showPolicy)
	a.addPolicySet(parent)
}

// policyFlags holds the flags of `policy set`. given names those that were set; the
// other values of the policy stay.
type policyFlags struct {
	goodput, roleChange *float64
	roleChanges, loads  *int32
	given               map[string]bool
}

func (a *app) addPolicySet(parent *kingpin.CmdClause) {
	var f changeFlags
	p := policyFlags{given: map[string]bool{}}
	clause := parent.Command("set", "Change values of the policy; values without a flag stay.")
	p.goodput = clause.Flag("goodput-weight", "Weight of goodput.").Action(p.markGiven("goodput")).Float64()
	p.roleChange = clause.Flag("role-change-weight", "Weight of each role change.").Action(p.markGiven("role-change")).Float64()
	p.roleChanges = clause.Flag("max-role-changes-per-hour", "Highest number of role changes in one zone and hour.").Action(p.markGiven("role-changes")).Int32()
	p.loads = clause.Flag("max-concurrent-loads", "Highest number of loads from the weight store at once.").Action(p.markGiven("loads")).Int32()
	f.add(clause)
	a.command(clause, func(ctx context.Context) error {
		config, err := a.readConfiguration(ctx)
		if err != nil {
			return err
		}
		if f.expected == "" {
			f.expected = fmt.Sprint(config.Revision)
		}
		return a.change(ctx, &f, &filberthookv1.Change{Change: &filberthookv1.Change_SetPolicy{
			SetPolicy: &filberthookv1.SetPolicy{Policy: p.applyTo(config.Policy)}}})
	})
}

func (p *policyFlags) markGiven(name string) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		p.given[name] = true
		return nil
	}
}

// applyTo returns a copy of a policy with the given values replaced.
func (p *policyFlags) applyTo(current *filberthookv1.Policy) *filberthookv1.Policy {
	next := proto.CloneOf(current)
	if p.given["goodput"] {
		next.GoodputWeight = *p.goodput
	}
	if p.given["role-change"] {
		next.RoleChangeWeight = *p.roleChange
	}
	if p.given["role-changes"] {
		next.MaxRoleChangesPerHour = *p.roleChanges
	}
	if p.given["loads"] {
		next.MaxConcurrentLoads = *p.loads
	}
	return next
}

func (a *app) showPolicy(ctx context.Context) error {
	config, err := a.readConfiguration(ctx)
	if err != nil {
		return err
	}
	p := config.Policy
	return a.printMessage(p, func() {
		fmt.Fprintf(a.out, "goodput weight             %g\n", p.GoodputWeight)
		fmt.Fprintf(a.out, "role change weight         %g\n", p.RoleChangeWeight)
		fmt.Fprintf(a.out, "max role changes per hour  %d\n", p.MaxRoleChangesPerHour)
		fmt.Fprintf(a.out, "max concurrent loads       %d\n", p.MaxConcurrentLoads)
		fmt.Fprintf(a.out, "revision %d\n", config.Revision)
	})
}
