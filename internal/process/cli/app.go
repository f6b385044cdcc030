// Package cli is the operators' command line, filberthook.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/serve/routes"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1 // unexpected error
	ExitUsage       = 2 // wrong arguments or files; nothing was sent
	ExitRefused     = 3 // the change breaks a rule; nothing was changed
	ExitConflict    = 4 // another change came first; nothing was changed
	ExitDenied      = 5 // the key is unknown or its role may not do this
	ExitUnavailable = 6 // no control host with a quorum answered; nothing was changed
	ExitUnknown     = 7 // the change may have been applied; resend with the same change id
	ExitNotInForce  = 8 // the change is accepted, some live host has not applied it yet
)

// exitCodesHelp documents the exit codes in the help text.
const exitCodesHelp = `Exit codes: 0 done; 1 unexpected error; 2 wrong arguments or files; 3 refused by a rule; ` +
	`4 conflict with another change; 5 access denied; 6 control group unavailable, nothing changed; ` +
	`7 outcome unknown, resend with the same --change-id; 8 accepted, not yet in force at every live host.`

// app holds what every command uses.
type app struct {
	out, errOut io.Writer
	platform    Platform
	options     options
	run         func(context.Context) error // of the selected command
}

// options are the flags of every command.
type options struct {
	addresses []string
	keyFile   string
	caFile    string
	output    string
	timeout   time.Duration
}

const (
	outputText = "text"
	outputJSON = "json"
)

// Platform adapts commands for filberthook-host to the format of its configuration. Commands without
// what they need are left out.
type Platform struct {
	DecodeConfig func([]byte) (*routes.Config, error)
}

// Main runs the command line without a Platform and returns the exit code.
func Main(args []string, out, errOut io.Writer) int { return MainFor(Platform{}, args, out, errOut) }

// MainFor runs the command line and returns the exit code.
func MainFor(platform Platform, args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut, platform: platform}
	parser, exited := a.parser()
	_, err := parser.Parse(args)
	if *exited >= 0 {
		return *exited
	}
	if err != nil {
		fmt.Fprintf(errOut, "filberthook: %v; see `filberthook --help`\n", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, a.options.timeout)
	defer cancel()
	if err := a.run(ctx); err != nil {
		return a.report(err)
	}
	return ExitOK
}

// parser declares all commands. The returned number is -1 until the parser itself
// ends the command, for example after printing the help; then it is the exit code.
func (a *app) parser() (*kingpin.Application, *int) {
	exited := -1
	parser := kingpin.New("filberthook", "Operates filberthook: endpoints, calling teams, engines and the control group. "+exitCodesHelp)
	parser.UsageWriter(a.out)
	parser.ErrorWriter(a.errOut)
	parser.Terminate(func(code int) {
		if exited < 0 {
			exited = code
		}
	})
	parser.HelpFlag.Short('h')
	parser.Flag("address", "Operators' address of a control host, host:port or URL; repeat it for more hosts, which are tried in turn.").
		Envar("FILBERTHOOK_ADDRESS").Default("127.0.0.1:7102").StringsVar(&a.options.addresses)
	parser.Flag("key-file", "File with the operator's key; without it the variable FILBERTHOOK_KEY is read.").
		Envar("FILBERTHOOK_KEY_FILE").StringVar(&a.options.keyFile)
	parser.Flag("ca", "CA certificate of the control hosts, in PEM; turns TLS on.").
		Envar("FILBERTHOOK_CA").StringVar(&a.options.caFile)
	parser.Flag("output", "Form of the output.").Short('o').Default(outputText).EnumVar(&a.options.output, outputText, outputJSON)
	parser.Flag("timeout", "Longest time for the command.").Default("30s").DurationVar(&a.options.timeout)
	for _, add := range []func(*kingpin.Application){
		a.addApply, a.addEndpoint, a.addTeam, a.addOperator, a.addDeclare, a.addPolicy,
		a.addStatus, a.addEngines, a.addAudit, a.addMembers, a.addSnapshot, a.addKey, a.addKeys,
		a.addRequests, a.addLogs, a.addQuarantine, a.addGroup, a.addConfigCheck,
	} {
		add(parser)
	}
	return parser, &exited
}

// command registers run as the action of a command. Main calls it after parsing.
func (a *app) command(clause *kingpin.CmdClause, run func(context.Context) error) {
	clause.Action(func(*kingpin.ParseContext) error {
		a.run = run
		return nil
	})
}
