package experiment

import "time"

// Call is one request of a trace, for runs in real time.
type Call struct {
	At           time.Duration
	Workload     *Workload
	Zone, Entry  int // entry host that the platform's load balancer chooses
	Team         string
	Prompt       int      // tokens
	Output       int      // tokens
	PrefixBlocks []uint64 // hash of each full prefix block; equal leading hashes are shared text
	ServiceTime  time.Duration
}

// Trace returns the requests of a scenario in order of arrival, identical to those of an
// experiment run with the same seed.
func (s *Scenario) Trace(seed uint64) []Call {
	arrivals := newTrace(s, seed)
	out := make([]Call, len(arrivals))
	for i := range arrivals {
		a := &arrivals[i]
		out[i] = Call{
			At:           a.at,
			Workload:     &s.Fleet.Workloads[a.workload],
			Zone:         a.zone,
			Entry:        a.entry,
			Team:         a.team,
			Prompt:       a.prompt,
			Output:       a.output,
			PrefixBlocks: a.prefixes,
			ServiceTime:  a.serviceTime,
		}
	}
	return out
}

// InTime reports whether a complete answer met the targets of its class: the time
// to the first token, the 95th percentile of the gaps between tokens, and the
// deadline for the whole answer.
func (s *Scenario) InTime(w *Workload, first, gapP95, whole time.Duration) bool {
	if deadline := w.Deadline.Duration; deadline > 0 && whole > deadline {
		return false
	}
	if w.Endpoint != "" {
		return true
	}
	targets := s.Fleet.Routing.Targets.Of(w.Class)
	return first <= targets.FirstToken.Duration && gapP95 <= targets.Gap.Duration
}

// DeploymentPolicy names the daemons' policy with the planner weights of the fleet's own
// settings.
const DeploymentPolicy = nameDeployment
