package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/process/logtrace"
)

// addLogs adds the command that finds the lines of one request in hosts' logs.
func (a *app) addLogs(parser *kingpin.Application) {
	clause := parser.Command("logs", "Shows the path of one request from the log files of the hosts.")
	id := clause.Arg("id", "Id of the request, as its caller sent it.").Required().String()
	files := clause.Arg("file", "Log files of entry hosts and control hosts; - for standard input.").Required().Strings()
	a.command(clause, func(context.Context) error { return a.logs(*id, *files) })
}

func (a *app) logs(id string, files []string) error {
	var lines []logtrace.Line
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return &usageError{fmt.Errorf("%s: %w", name, err)}
		}
		lines = append(lines, read...)
	}
	trace, err := logtrace.Trace(lines, id)
	if err != nil {
		return &usageError{err}
	}
	return logtrace.Write(a.out, trace, id)
}

func readLog(name string) ([]logtrace.Line, error) {
	if name == "-" {
		return logtrace.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return logtrace.Read(file)
}
