package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	filberthookv1 "filberthook/api/filberthook/v1"
)

// printMessage prints an answer as JSON, or calls text to print it as text.
func (a *app) printMessage(m proto.Message, text func()) error {
	if a.options.output != outputJSON {
		text()
		return nil
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	return a.printJSON(json.RawMessage(data))
}

// printJSON prints a value as indented JSON.
func (a *app) printJSON(v any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// progress prints a message to the error output, unless the output is JSON.
func (a *app) progress(format string, args ...any) {
	if a.options.output != outputJSON {
		fmt.Fprintf(a.errOut, format+"\n", args...)
	}
}

// table prints rows under a header, in columns.
func (a *app) table(header string, rows [][]string) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// changeOutcome is the JSON form of an accepted change.
type changeOutcome struct {
	Revision    uint64                      `json:"revision"`
	ChangeID    string                      `json:"change_id"`
	Repeated    bool                        `json:"repeated"`
	DryRun      bool                        `json:"dry_run"`
	Differences []*filberthookv1.Difference `json:"differences"`
}

func (a *app) printChange(resp *filberthookv1.ApplyResponse, id string, dryRun bool) error {
	if a.options.output == outputJSON {
		return a.printJSON(changeOutcome{
			Revision: resp.Revision, ChangeID: id, Repeated: resp.Repeated, DryRun: dryRun, Differences: resp.Differences,
		})
	}
	a.printDifferences(resp.Differences)
	switch {
	case dryRun:
		fmt.Fprintf(a.out, "dry run: would make revision %d; nothing was changed\n", resp.Revision)
	case resp.Repeated:
		fmt.Fprintf(a.out, "accepted before at revision %d (change id %s)\n", resp.Revision, id)
	default:
		fmt.Fprintf(a.out, "accepted at revision %d (change id %s)\n", resp.Revision, id)
	}
	return nil
}
