package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/regroup"
)

// addGroup adds the command that shows the control group of filberthook-host.
func (a *app) addGroup(parser *kingpin.Application) {
	clause := parser.Command("group", "Show what each control host of filberthook-host knows of its group, with or without a quorum; the host with the most complete log first.")
	var hosts []string
	clause.Flag("control", "listen.peers of a control host, host:port; repeat it for more. The members that they know are asked too.").
		Envar("FILBERTHOOK_CONTROL").Required().StringsVar(&hosts)
	a.command(clause, func(ctx context.Context) error { return a.group(ctx, hosts) })
}

var errNoControlHost = errors.New("name others with --control")

// group asks the hosts, and then those that they name, once each.
func (a *app) group(ctx context.Context, hosts []string) error {
	found := regroup.Find(ctx, hosts)
	if a.options.output == outputJSON {
		if err := a.printJSON(found); err != nil {
			return err
		}
	} else {
		a.printGroup(found)
	}
	for _, answer := range found {
		if answer.Status != nil {
			return nil
		}
	}
	return &noAnswerError{names: hosts, err: errNoControlHost}
}

func (a *app) printGroup(found []regroup.Answer) {
	var rows [][]string
	for _, answer := range found {
		s := answer.Status
		if s == nil {
			state := "no answer"
			if answer.Reached {
				state = "runs an older version"
			}
			rows = append(rows, []string{answer.Address, state, "", "", "", "", "", "", ""})
			continue
		}
		rows = append(rows, []string{
			answer.Address, s.Host, role(s), leader(s), fmt.Sprint(s.Term), fmt.Sprint(s.LastTerm), fmt.Sprint(s.Last), fmt.Sprint(s.Commit), fmt.Sprint(s.Version),
		})
	}
	a.table("ADDRESS HOST ROLE LEADER TERM LAST-TERM LAST COMMIT CONFIG", rows)
	for _, answer := range found {
		if answer.Status != nil {
			a.printMembers(answer.Status)
		}
	}
	a.printUnknown(found)
}

func role(s *controlapi.GroupStatus) string {
	switch {
	case s.Voter:
		return "voter"
	case s.Member:
		return "learner"
	default:
		return "no member"
	}
}

func leader(s *controlapi.GroupStatus) string {
	if s.Leader == "" {
		return "none for " + sinceMS(s.WithoutLeaderMS)
	}
	return s.Leader
}

func (a *app) printMembers(s *controlapi.GroupStatus) {
	fmt.Fprintf(a.out, "\nmembers in the log of %s:\n", s.Address)
	var rows [][]string
	for _, m := range s.Members {
		heard := "now"
		switch {
		case !m.Answers && m.SilentMS < 0:
			heard = "not since the start of " + s.Host
		case !m.Answers:
			heard = sinceMS(m.SilentMS) + " ago"
		}
		rows = append(rows, []string{m.Address, m.Zone, yesNo(m.Voter), yesNo(m.Answers), heard, m.Error})
	}
	a.table("ADDRESS ZONE VOTES ANSWERS HEARD WHY-NOT", rows)
}

// printUnknown says what the answers leave open when no host knows a leader.
func (a *app) printUnknown(found []regroup.Answer) {
	var best, known *controlapi.GroupStatus
	for _, answer := range found {
		s := answer.Status
		if s == nil || !s.Member {
			continue
		}
		if s.Leader != "" {
			return
		}
		if best == nil {
			best = s
		}
		if known == nil || s.Commit > known.Commit {
			known = s
		}
	}
	if best == nil {
		return
	}
	fmt.Fprintf(a.out, "\nno leader. %s holds most: up to entry %d of term %d. Committed for certain: up to %d (%s).\n"+
		"Changes after entry %d may have been acknowledged if voters that do not answer hold them; no host that answers can tell.\n",
		best.Address, best.Last, best.LastTerm, known.Commit, known.Address, best.Last)
}
