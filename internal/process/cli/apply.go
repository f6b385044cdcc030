package cli

import (
	"context"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/control/changefile"
)

func (a *app) addApply(parser *kingpin.Application) {
	var f changeFlags
	clause := parser.Command("apply", "Apply a file with a list of changes, all or nothing. See examples/changes.toml.")
	file := clause.Flag("file", "File with the changes, in TOML.").Short('f').Required().String()
	f.add(clause)
	a.command(clause, func(ctx context.Context) error {
		changes, err := changefile.Load(*file)
		if err != nil {
			return err
		}
		if f.changeID == "" {
			f.changeID = changes.ChangeID
		}
		if f.expected == "" && changes.ExpectedRevision != nil {
			f.expected = strconv.FormatUint(*changes.ExpectedRevision, 10)
		}
		return a.change(ctx, &f, changes.Messages()...)
	})
}
