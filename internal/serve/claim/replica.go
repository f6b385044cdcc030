package claim

import (
	"encoding/json"
	"time"

	"filberthook/internal/process/invariant"
)

// Batch is a list of commands that form one entry of the replicated log.
type Batch struct {
	Commands []Command `json:"commands"`
}

// BatchResult holds the results of a Batch, in the order of its commands.
type BatchResult struct {
	Results []Result `json:"results"`
	Error   string   `json:"error,omitempty"` // the batch could not be decoded; no command was applied
}

// Replica applies encoded batches of the replicated log to a Machine.
type Replica struct{ *Machine }

// NewReplica returns a Replica without claims.
func NewReplica(limits Limits) Replica { return Replica{NewMachine(limits)} }

// Apply applies an encoded Batch and returns an encoded BatchResult.
func (r Replica) Apply(now time.Duration, data json.RawMessage) json.RawMessage {
	var batch Batch
	if err := json.Unmarshal(data, &batch); err != nil {
		return encode(BatchResult{Error: "batch of claims not readable: " + err.Error()})
	}
	res := BatchResult{Results: make([]Result, len(batch.Commands))}
	for i, cmd := range batch.Commands {
		res.Results[i] = r.Machine.Apply(now, cmd)
	}
	return encode(res)
}

func encode(res BatchResult) json.RawMessage {
	data, err := json.Marshal(res)
	invariant.Check(err == nil, "claim-result-encodes", "%v", err)
	return data
}
