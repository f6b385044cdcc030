package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/control/controlhost"
	"filberthook/internal/control/regroup"
	"filberthook/internal/replication/fsys"
)

// recovery is the command that makes a new control group from the disk of one host.
type recovery struct {
	clause *kingpin.CmdClause
	lost   []string
	ask    []string
	dryRun bool
}

func addRecover(app *kingpin.Application) *recovery {
	r := &recovery{clause: app.Command("recover", "Make a new control group from the data folder of this stopped control host, after the group has lost its quorum for good.")}
	r.clause.Flag("lost", "listen.peers of a control host that does not answer and is gone for good, or stays stopped until the new group runs and then discards its log; repeat it.").StringsVar(&r.lost)
	r.clause.Flag("ask", "listen.peers of a further control host to ask; the members of the log and the seeds are asked in any case. Each must answer or be named with --lost. Repeat it for more.").StringsVar(&r.ask)
	r.clause.Flag("dry-run", "Show what the disk holds and what stands against a new group; change nothing.").BoolVar(&r.dryRun)
	return r
}

// run returns the exit code.
func (r *recovery) run(s controlhost.Settings, out, errOut io.Writer) int {
	seeds, err := s.SeedPeers()
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitSettings
	}
	survivor, err := regroup.Open(fsys.OS{}, s.ReplicaDir(), s.PeersAddress())
	if err != nil {
		fmt.Fprintln(errOut, "no new group:", err)
		return exitRefused
	}
	defer survivor.Close()
	r.printDisk(survivor, out)
	answers := regroup.Ask(context.Background(), survivor.Others(seeds, r.ask), false)
	printAnswers(answers, out)
	printUnknown(survivor, answers, out)
	if err := survivor.Check(r.lost, answers); err != nil {
		fmt.Fprintln(errOut, "no new group:", err)
		return exitRefused
	}
	if r.dryRun {
		fmt.Fprintln(out, "nothing stands against a new group; nothing was changed")
		return 0
	}
	id, term, err := survivor.Found(s.Zone, answers)
	if err != nil {
		fmt.Fprintln(errOut, "no new group:", err)
		return exitFailed
	}
	fmt.Fprintf(out, "new group: replica %d at %s is its only voter, from term %d on, with configuration %d\n"+
		"start this host; start the others as usual, they join. Members of the former group discard their disks when they come back\n",
		id, s.PeersAddress(), term, survivor.Version)
	return 0
}

// printDisk prints what the disk holds.
func (r *recovery) printDisk(s *regroup.Survivor, out io.Writer) {
	fmt.Fprintf(out, "disk: replica %d, last entry %d of term %d, configuration %d, other voters %s\n",
		s.ID, s.Last, s.LastTerm, s.Version, strings.Join(s.Voters(), ", "))
	fmt.Fprintf(out, "kept: entries up to %d, of which %d after %d may never have been acknowledged\n", s.Last, s.Last-s.Commit, s.Commit)
}

// printUnknown prints which voters may hold what this disk lacks.
func printUnknown(s *regroup.Survivor, answers []regroup.Answer, out io.Writer) {
	fmt.Fprintf(out, "not known: whether changes after entry %d were acknowledged; a new group does without them\n", s.Last)
	if voters := s.Unheard(answers); len(voters) > 0 {
		fmt.Fprintf(out, "not known: %s did not answer and may hold more; compare disks that can be read with recover --dry-run on their hosts\n", strings.Join(voters, ", "))
	}
}

func printAnswers(answers []regroup.Answer, out io.Writer) {
	for _, a := range answers {
		switch {
		case a.Status != nil:
			fmt.Fprintf(out, "asked %s: replica %d, leader %q, last entry %d of term %d, commit %d\n",
				a.Address, a.Status.Replica, a.Status.Leader, a.Status.Last, a.Status.LastTerm, a.Status.Commit)
		case a.Reached:
			fmt.Fprintf(out, "asked %s: it runs but does not say what it holds\n", a.Address)
		default:
			fmt.Fprintf(out, "asked %s: no answer\n", a.Address)
		}
	}
}
