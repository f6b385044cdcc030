package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/control/changefile"
)

func (a *app) addEndpoint(parser *kingpin.Application) {
	parent := parser.Command("endpoint", "Create, change and list endpoints; approve and withdraw calling teams.")
	a.addEndpointSettings(parent, "create", "Create an endpoint.", func(e *filberthookv1.Endpoint) *filberthookv1.Change {
		return &filberthookv1.Change{Change: &filberthookv1.Change_CreateEndpoint{CreateEndpoint: &filberthookv1.CreateEndpoint{Endpoint: e}}}
	})
	a.addEndpointSettings(parent, "update", "Replace the settings of an endpoint; approvals stay.", func(e *filberthookv1.Endpoint) *filberthookv1.Change {
		return &filberthookv1.Change{Change: &filberthookv1.Change_UpdateEndpoint{UpdateEndpoint: &filberthookv1.UpdateEndpoint{Endpoint: e}}}
	})
	a.addApproval(parent, "approve", "Let a team call an endpoint.", func(endpoint, team string) *filberthookv1.Change {
		return &filberthookv1.Change{Change: &filberthookv1.Change_ApproveTeam{ApproveTeam: &filberthookv1.ApproveTeam{Endpoint: endpoint, Team: team}}}
	})
	a.addApproval(parent, "withdraw", "End the approval of a team.", func(endpoint, team string) *filberthookv1.Change {
		return &filberthookv1.Change{Change: &filberthookv1.Change_WithdrawTeam{WithdrawTeam: &filberthookv1.WithdrawTeam{Endpoint: endpoint, Team: team}}}
	})
	a.addNamed(parent, "remove", "Remove an endpoint with its approvals.", "endpoint", func(name string) *filberthookv1.Change {
		return &filberthookv1.Change{Change: &filberthookv1.Change_RemoveEndpoint{RemoveEndpoint: &filberthookv1.RemoveEndpoint{Endpoint: name}}}
	})
	a.command(parent.Command("list", "List the endpoints."), a.listEndpoints)
}

// addEndpointSettings adds a command that takes all settings of an endpoint.
func (a *app) addEndpointSettings(parent *kingpin.CmdClause, verb, help string, change func(*filberthookv1.Endpoint) *filberthookv1.Change) {
	var f changeFlags
	e := &filberthookv1.Endpoint{}
	clause := parent.Command(verb, help)
	clause.Arg("endpoint", "Name of the endpoint.").Required().StringVar(&e.Name)
	clause.Flag("owner", "Operator that approves calling teams.").Required().StringVar(&e.Owner)
	kind := clause.Flag("kind", "What its instances run.").Required().Enum("model", "service")
	clause.Flag("repeatable", "A call may run more than once.").BoolVar(&e.Repeatable)
	deadline := clause.Flag("default-deadline", "Deadline of calls that bring none.").Default("60s").Duration()
	clause.Flag("model", "Model that serves the endpoint, for kind model.").StringVar(&e.Model)
	clause.Flag("adapter", "Adapter of the model.").StringVar(&e.Adapter)
	clause.Flag("version", "Version of the model; any without it.").StringVar(&e.Version)
	f.add(clause)
	a.command(clause, func(ctx context.Context) error {
		e.Kind = changefile.Kinds[*kind]
		e.DefaultDeadlineMs = deadline.Milliseconds()
		return a.change(ctx, &f, change(e))
	})
}

// addApproval adds a command that takes an endpoint and a team.
func (a *app) addApproval(parent *kingpin.CmdClause, verb, help string, change func(endpoint, team string) *filberthookv1.Change) {
	var f changeFlags
	clause := parent.Command(verb, help)
	endpoint := clause.Arg("endpoint", "Name of the endpoint.").Required().String()
	team := clause.Arg("team", "Name of the team.").Required().String()
	f.add(clause)
	a.command(clause, func(ctx context.Context) error { return a.change(ctx, &f, change(*endpoint, *team)) })
}

// addNamed adds a command that takes one name.
func (a *app) addNamed(parent *kingpin.CmdClause, verb, help, what string, change func(name string) *filberthookv1.Change) {
	var f changeFlags
	clause := parent.Command(verb, help)
	name := clause.Arg(what, "Name of the "+what+".").Required().String()
	f.add(clause)
	a.command(clause, func(ctx context.Context) error { return a.change(ctx, &f, change(*name)) })
}

// readConfiguration returns the newest configuration.
func (a *app) readConfiguration(ctx context.Context) (*filberthookv1.Configuration, error) {
	c, err := a.connect()
	if err != nil {
		return nil, err
	}
	return configuration(ctx, c)
}

func (a *app) listEndpoints(ctx context.Context) error {
	config, err := a.readConfiguration(ctx)
	if err != nil {
		return err
	}
	shown := &filberthookv1.Configuration{Revision: config.Revision, Endpoints: config.Endpoints}
	return a.printMessage(shown, func() {
		var rows [][]string
		for _, e := range config.Endpoints {
			deadline := time.Duration(e.DefaultDeadlineMs) * time.Millisecond
			rows = append(rows, []string{e.Name, nameOf(changefile.Kinds, e.Kind), e.Owner, yesNo(e.Repeatable),
				deadline.String(), modelName(e), orDash(strings.Join(e.ApprovedTeams, ","))})
		}
		a.table("ENDPOINT KIND OWNER REPEATABLE DEADLINE MODEL APPROVED", rows)
		fmt.Fprintf(a.out, "revision %d\n", config.Revision)
	})
}

// modelName returns model@version+adapter.
func modelName(e *filberthookv1.Endpoint) string {
	name := orDash(e.Model)
	if e.Version != "" {
		name += "@" + e.Version
	}
	if e.Adapter != "" {
		name += "+" + e.Adapter
	}
	return name
}

// nameOf returns the name of a value in files and flags.
func nameOf[V comparable](names map[string]V, value V) string {
	for name, v := range names {
		if v == value {
			return name
		}
	}
	return "unknown"
}
