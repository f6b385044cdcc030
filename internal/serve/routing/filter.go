package routing

import "filberthook/internal/engines/engineapi"

// Filter decides whether a candidate can run a request at all, whatever its load.
type Filter interface {
	Check(c *Candidate, r *Request) Reason
}

// FilterFunc adapts a function to a Filter.
type FilterFunc func(c *Candidate, r *Request) Reason

// Check implements Filter.
func (f FilterFunc) Check(c *Candidate, r *Request) Reason { return f(c, r) }

// defaultFilters run in this order; the first that rejects gives the reason.
var defaultFilters = []Filter{
	FilterFunc(checkKind),
	FilterFunc(checkModel),
	FilterFunc(checkExcluded),
	FilterFunc(checkState),
	FilterFunc(checkSize),
}

func checkKind(c *Candidate, r *Request) Reason {
	if c.Kind != r.kind() {
		return ReasonKind
	}
	if c.Endpoint != "" && c.Endpoint != r.Endpoint {
		return ReasonKind
	}
	if c.Kind == engineapi.KindService && c.Endpoint == "" {
		return ReasonKind
	}
	return Admitted
}

// kind returns the kind of instance that runs the request: a request without a
// model goes to a plain service.
func (r *Request) kind() engineapi.Kind {
	if r.Kind != "" {
		return r.Kind
	}
	if r.Model == "" {
		return engineapi.KindService
	}
	return engineapi.KindModel
}

func checkModel(c *Candidate, r *Request) Reason {
	if c.Kind == engineapi.KindModel && !c.serves(r) {
		return ReasonModel
	}
	return Admitted
}

func checkExcluded(c *Candidate, r *Request) Reason {
	for _, instance := range r.Exclude {
		if c.Instance == instance {
			return ReasonExcluded
		}
	}
	return Admitted
}

func checkState(c *Candidate, _ *Request) Reason {
	switch {
	case c.Fenced:
		return ReasonLease
	case c.Draining:
		return ReasonDraining
	case c.Changing:
		return ReasonChanging
	}
	return Admitted
}

// checkSize rejects engines whose memory is too small for the request even when
// idle. The scorer checks the memory that is free now.
func checkSize(c *Candidate, r *Request) Reason {
	if c.Kind == engineapi.KindModel && r.KVBlocks() > c.KVBlocks {
		return ReasonTooLarge
	}
	return Admitted
}
