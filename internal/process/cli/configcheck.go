package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/serve/configcheck"
	"filberthook/internal/serve/routes"
)

// checkedConfig is the JSON form of the answer of config-check.
type checkedConfig struct {
	Version     uint64                   `json:"version"`
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences,omitempty"` // from the configuration in force
}

// warningsError reports that a configuration is valid and has findings.
type warningsError struct{ count int }

// Error implements error.
func (e *warningsError) Error() string {
	return fmt.Sprintf("the configuration is valid and has %d warnings", e.count)
}

// invalidConfigError reports a configuration that the control group would refuse.
type invalidConfigError struct{ err *routes.InvalidError }

// Error implements error.
func (e *invalidConfigError) Error() string { return e.err.Error() }

// addConfigCheck adds the command that examines a configuration of filberthook-host.
func (a *app) addConfigCheck(parser *kingpin.Application) {
	if a.platform.DecodeConfig == nil {
		return
	}
	clause := parser.Command("config-check", "Check a configuration of filberthook-host before it is sent. Exit codes: 0 nothing found, 1 warnings, 3 the control group would refuse it.")
	file := clause.Arg("file", "The configuration, as it would be sent.").Required().String()
	inForce := clause.Flag("in-force", "File with the configuration in force, as a control host returns it; shows the differences.").String()
	a.command(clause, func(context.Context) error { return a.configCheck(*file, *inForce) })
}

func (a *app) configCheck(file, inForce string) error {
	next, err := a.readConfig(file)
	var invalid *routes.InvalidError
	if errors.As(err, &invalid) {
		answer := checkedConfig{Findings: []configcheck.Finding{{Severity: configcheck.Error, Field: invalid.Field, Problem: invalid.Reason, Remedy: invalid.Remedy}}}
		return errors.Join(a.printChecked(answer), &invalidConfigError{invalid})
	}
	if err != nil {
		return err
	}
	answer := checkedConfig{Version: next.Version, Findings: configcheck.Check(next)}
	if inForce != "" {
		before, err := a.readConfig(inForce)
		if err != nil {
			return usage("%s: %w", inForce, err)
		}
		answer.Differences = configcheck.Compare(before, next)
	}
	if err := a.printChecked(answer); err != nil {
		return err
	}
	if n := len(answer.Findings); n > 0 {
		return &warningsError{n}
	}
	return nil
}

// readConfig returns a *routes.InvalidError for a configuration that is invalid.
func (a *app) readConfig(file string) (*routes.Config, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("%w", err)
	}
	return a.platform.DecodeConfig(body)
}

func (a *app) printChecked(answer checkedConfig) error {
	if a.options.output == outputJSON {
		return a.printJSON(answer)
	}
	for _, f := range answer.Findings {
		fmt.Fprintf(a.out, "%s: %s: %s; %s\n", f.Severity, f.Field, f.Problem, f.Remedy)
	}
	for _, d := range answer.Differences {
		fmt.Fprintln(a.out, strings.TrimSpace(fmt.Sprintf("%s %s  %s", d.Change, d.Entry, strings.Join(d.Fields, "; "))))
	}
	return nil
}
