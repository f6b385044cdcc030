package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"filberthook/internal/process/invariant"
)

// Snapshot is the part of the configuration that entry hosts need, at one
// revision. It is immutable and safe for concurrent use.
type Snapshot struct {
	Revision     uint64
	Endpoints    map[string]Endpoint
	Teams        map[string]Team
	Declarations map[string]Declaration
	Policy       Policy

	keys map[[sha256.Size]byte]keyOwner
}

// keyOwner is the team that a key belongs to.
type keyOwner struct {
	team    string
	revoked bool
	sum     [sha256.Size]byte
}

// NewSnapshot returns the snapshot of a configuration. Operators are left out.
func NewSnapshot(c Configuration) *Snapshot {
	c = c.complete()
	s := &Snapshot{
		Revision:     c.Revision,
		Endpoints:    c.Endpoints,
		Teams:        c.Teams,
		Declarations: c.Declarations,
		Policy:       c.Policy,
	}
	s.keys = indexKeys(c.Teams)
	return s
}

// Configuration returns the snapshot as a configuration without operators, for
// storage.
func (s *Snapshot) Configuration() Configuration {
	return Configuration{
		Revision:     s.Revision,
		Endpoints:    s.Endpoints,
		Teams:        s.Teams,
		Operators:    map[string]Operator{},
		Declarations: s.Declarations,
		Policy:       s.Policy,
	}
}

// With returns the snapshot after the next delta.
func (s *Snapshot) With(d Delta) *Snapshot {
	invariant.Check(d.Revision == s.Revision+1, "revision-grows",
		"a delta of revision %d follows revision %d", d.Revision, s.Revision)
	next := &Snapshot{
		Revision:     d.Revision,
		Endpoints:    patched(s.Endpoints, d.Endpoints),
		Teams:        patched(s.Teams, d.Teams),
		Declarations: patched(s.Declarations, d.Declarations),
		Policy:       s.Policy,
		keys:         s.keys,
	}
	if d.Policy != nil {
		next.Policy = *d.Policy
	}
	if len(d.Teams) > 0 {
		next.keys = indexKeys(next.Teams)
	}
	return next
}

func indexKeys(teams map[string]Team) map[[sha256.Size]byte]keyOwner {
	index := make(map[[sha256.Size]byte]keyOwner, len(teams))
	for _, team := range teams {
		for _, key := range team.Keys {
			raw, err := hex.DecodeString(string(key.Hash))
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			sum := [sha256.Size]byte(raw)
			index[sum] = keyOwner{team: team.Name, revoked: key.Revoked, sum: sum}
		}
	}
	return index
}

// Authorize returns the team that a key belongs to, if the endpoint approves
// it. The error is an *AuthorizeError. The key is hashed before the lookup, so
// that the response time reveals nothing about stored keys.
func (s *Snapshot) Authorize(key, endpoint string) (string, error) {
	sum := sha256.Sum256([]byte(key))
	owner, ok := s.keys[sum]
	if !ok || subtle.ConstantTimeCompare(owner.sum[:], sum[:]) != 1 {
		return "", &AuthorizeError{Reason: ReasonUnknownKey, Endpoint: endpoint}
	}
	if owner.revoked {
		return "", &AuthorizeError{Reason: ReasonRevokedKey, Team: owner.team, Endpoint: endpoint}
	}
	e, ok := s.Endpoints[endpoint]
	if !ok {
		return "", &AuthorizeError{Reason: ReasonUnknownEndpoint, Team: owner.team, Endpoint: endpoint}
	}
	if _, ok := e.Approved[owner.team]; !ok {
		return "", &AuthorizeError{Reason: ReasonNotApproved, Team: owner.team, Endpoint: endpoint, Owner: e.Owner}
	}
	return owner.team, nil
}
