package controlhost

import (
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/document"
)

// proposal is a document in the form in which it is replicated.
type proposal struct {
	version uint64
	command []byte
	plain   document.Document
	large   *document.Packed // nil for a document whose command is in plain form
}

// newProposal packs a large document once for all attempts to propose it.
func newProposal(d document.Document) (proposal, error) {
	if !d.Large() {
		return proposal{version: d.Version, command: d.Encode(), plain: d}, nil
	}
	packed, err := document.Pack(d)
	if err != nil {
		return proposal{}, err
	}
	return proposal{version: d.Version, command: packed.Encode(), large: &packed}, nil
}

// call returns the call that forwards the proposal to the leader. A leader of a release without
// the call for packed documents refuses it; it could not replicate a document of that size.
func (p proposal) call() (method string, params any) {
	if p.large != nil {
		return controlapi.MethodProposePacked, *p.large
	}
	return controlapi.MethodPropose, p.plain
}

// transferTime is what the replication of a large document may take beyond that of a small one.
func (p proposal) transferTime() time.Duration {
	if p.large == nil {
		return 0
	}
	return time.Duration(len(p.command)) * time.Second / transferRate
}
