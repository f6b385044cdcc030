// Package controlapi defines the calls between control hosts, and from entry hosts
// to control hosts. Package peer transports them.
package controlapi

import (
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/replication/document"
)

// Methods of control hosts.
const (
	MethodWatch         = "control.watch"          // WatchRequest to WatchResponse; at any control host
	MethodDocument      = "control.document"       // DocumentRequest to DocumentResponse; at any control host
	MethodPropose       = "control.propose"        // document.Document to ProposeResponse; at the leader
	MethodProposePacked = "control.propose_packed" // document.Packed to ProposeResponse, for large documents; at the leader
	MethodJoin          = "control.join"           // JoinRequest to JoinResponse; at any control host
	MethodLeave         = "control.leave"          // LeaveRequest to LeaveResponse, from a control host whose process ends; at the leader
	MethodGroup         = "control.group"          // GroupRequest to GroupStatus, also from an operator; at any control host, without a quorum
	MethodExpelled      = "control.expelled"       // ExpelledRequest, from a host that was made a new group, to members of the former one
	MethodLoad          = "control.load"           // LoadReport to LoadReport, from an entry host
	MethodProbe         = "control.probe"          // quarantine.Probe to ProbeResponse, from an entry host; at the leader
	MethodBlocks        = "control.blocks"         // BlocksRequest to BlocksResponse, from an operator; at any control host
	MethodDigest        = "control.digest"         // LoadReport to LoadReport without contents, from another control host
)

// MaxMessageBytes bounds a call. The largest configuration, encoded in base64 within
// JSON, fits with its envelope.
const MaxMessageBytes = 8 << 20

// WatchRequest asks for what changed at a control host since the last answer. The
// answer is delayed until something has.
type WatchRequest struct {
	Epoch    string `json:"epoch"`    // of the control process that sent the last answer
	Position uint64 `json:"position"` // of the last answer
	Version  uint64 `json:"version"`  // of the configuration in force at the requesting host
	WaitMS   int64  `json:"wait_ms"`  // longest delay of the answer
	// PageBytes bounds the changes in the answer, but for a single one; 0 means
	// instances.MaxPageBytes. Further changes are left to the next answer.
	PageBytes int  `json:"page_bytes,omitempty"`
	Packed    bool `json:"packed,omitempty"` // the requesting host reads Packed
	Observer  bool `json:"observer"`         // the requesting host is a control host, which serves no callers
}

// WatchResponse lists what changed.
type WatchResponse struct {
	Epoch    string   `json:"epoch"` // differs in each control process
	Position uint64   `json:"position"`
	Changes  Changes  `json:"changes,omitempty"`
	Packed   []byte   `json:"packed,omitempty"` // instead of Changes; see Pack
	Version  uint64   `json:"version"`          // of the configuration in force at the control host
	Peers    []string `json:"peers,omitempty"`  // addresses of the control hosts of the group
	Hosts    int      `json:"hosts"`            // entry hosts that watch the control host, 0 while it has just started
	Leader   string   `json:"leader,omitempty"` // address of the group's leader
	Zone     string   `json:"zone,omitempty"`   // availability zone of the control host
}

// DocumentRequest asks for the configuration in force.
type DocumentRequest struct {
	// Confirm asks the control host to find out whether a newer one is in force elsewhere.
	Confirm bool `json:"confirm,omitempty"`
	// VersionOnly asks for the version without the body. Older releases send both.
	VersionOnly bool `json:"version_only,omitempty"`
	// MaxAgeMS allows a confirmation from a read that began so long before the call, with
	// VersionOnly. Older releases read anew for each call.
	MaxAgeMS int64 `json:"max_age_ms,omitempty"`
}

// DocumentResponse holds the configuration in force at the control host.
type DocumentResponse struct {
	document.Packed
	// Confirmed says that a quorum knew of none newer when it was asked. A control host that is
	// out of touch with the leader, or has not caught up, may lag behind the others.
	Confirmed bool `json:"confirmed,omitempty"`
	// ConfirmedAgeMS is how long before the call the read began that confirmed it, by the control
	// host's CLOCK_BOOTTIME and rounded up; 0 if it began after the call.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms,omitempty"`
}

// ProposeResponse holds the version in force after a proposal.
type ProposeResponse struct {
	Version uint64 `json:"version"`
}

// JoinRequest asks to become a member of the group.
type JoinRequest struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Last is the index of the last entry of the replica's log, 0 for an empty one.
	Last uint64 `json:"last,omitempty"`
}

// JoinResponse confirms that the leader has queued the request.
type JoinResponse struct {
	Peers []string `json:"peers,omitempty"` // addresses of the group's members
	// Members are the peer addresses of the group's members by replica id. A host without a log
	// needs them to answer the leader.
	Members map[uint64]string `json:"members,omitempty"`
	// Removed says that the replica was a member and was removed, or that its log is of another
	// group: its id cannot be used.
	Removed bool `json:"removed,omitempty"`
}

// LeaveRequest announces that the process of a member ends.
type LeaveRequest struct {
	ID uint64 `json:"id"`
}

// LeaveResponse is sent once the member's vote has moved or no other member can take it.
type LeaveResponse struct {
	Moved bool `json:"moved"` // the member has no vote
}

// MaxHostsPerExchange is the number of entry hosts up to which all exchange their load
// through the group's leader. More of them exchange it through the control hosts of their
// availability zones, which send each other digests.
const MaxHostsPerExchange = 24

// LoadReport is the work that entry hosts have under way at engines, and what they know
// of the engines' caches. A request reports that of the requesting host, the answer that
// of all other hosts. A digest reports that of all entry hosts that report to the
// requesting control host.
type LoadReport struct {
	// IntervalMS is the time until the requesting host's next report; in requests only.
	IntervalMS int64 `json:"interval_ms,omitempty"`
	// Tokens counts the prompt tokens that await prefill, by instance and priority from 0.
	Tokens Backlogs `json:"backlog,omitempty"`
	// Demand is the demand of callers by endpoint; in requests only.
	Demand map[string]Demand `json:"demand,omitempty"`
	// Requests are callers' requests per second, by endpoint.
	Requests map[string]float64 `json:"requests,omitempty"`
	// Notices are what instances have said about themselves.
	Notices Notices `json:"notices,omitempty"`
	// Evidence is what is known of prompts that end instances.
	Evidence *quarantine.Report `json:"evidence,omitempty"`
	// Updates tell which prefixes engines have cached or will soon. A request holds what
	// the requesting host has learned since its last report, the answer what other hosts
	// have reported after the request's UpdatesPosition.
	Updates CacheUpdates `json:"cache,omitempty"`
	// UpdatesEpoch and UpdatesPosition identify the control process and the newest update
	// that an answer covers. A request repeats those of the last answer.
	UpdatesEpoch    string `json:"news_epoch,omitempty"`
	UpdatesPosition uint64 `json:"news_position,omitempty"`
}

// ProbeResponse tells whether the asking host may probe a suspect in quarantine.
type ProbeResponse struct {
	Granted bool `json:"granted"`
}

// BlocksRequest lists the blocks and requests in quarantine, after an operator's word on one.
type BlocksRequest struct {
	Word  BlockWord          `json:"word,omitempty"`
	Block quarantine.Suspect `json:"block,omitempty"` // the suspect, with Hold and Release
	// Forwarded is set by the control host that passes the request on to the leader.
	Forwarded bool `json:"forwarded,omitempty"`
	// Copied is set by the leader that passes the word on to the other control hosts.
	Copied bool `json:"copied,omitempty"`
}

// BlockWord is what an operator says of a prompt block.
type BlockWord string

// Words of operators.
const (
	NoWord       BlockWord = ""        // only list
	HoldBlock    BlockWord = "hold"    // into quarantine until released
	ReleaseBlock BlockWord = "release" // out of quarantine
)

// BlocksResponse lists the blocks and requests in quarantine as the group's leader knows them.
type BlocksResponse struct {
	Blocks []quarantine.Entry `json:"blocks"`
}

// Demand is a rate of work.
type Demand struct {
	PromptTokens float64 `json:"prompt_tokens"` // to prefill per second
	OutputTokens float64 `json:"output_tokens"` // to generate per second
	DecodeSlots  float64 `json:"decode_slots"`  // decode slots that OutputTokens take, 0 if unknown
	// PrefillEngines is how many engines PromptTokens keep busy.
	PrefillEngines float64 `json:"prefill_engines"`
}

// Add returns the sum of two demands.
func (d Demand) Add(other Demand) Demand {
	d.PromptTokens += other.PromptTokens
	d.OutputTokens += other.OutputTokens
	d.DecodeSlots += other.DecodeSlots
	d.PrefillEngines += other.PrefillEngines
	return d
}
