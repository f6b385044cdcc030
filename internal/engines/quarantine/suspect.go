package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"strings"
)

// Suspect names what may end the instances that run requests with it: a block of their prompts,
// or a request that comes again.
type Suspect string

// Kind is a kind of suspect.
type Kind uint8

// Kinds of suspects.
const (
	KindBlock   Kind = iota // a block that prompts share, named MODEL/ID
	KindRequest             // a request that comes again, named request:ENDPOINT:DIGEST
	kinds
)

func (k Kind) String() string { return [...]string{"block", "request"}[k] }

const (
	requestPrefix = "request:"
	// maxBlockBytes and maxEndpointBytes bound a suspect's name; the rest of a longer ID or name is
	// cut off.
	maxBlockBytes    = 64
	maxEndpointBytes = 64
	// digestBytes is how much of the SHA-256 digest names a request.
	digestBytes = 20
)

// BlockOf returns the name of a model's block.
func BlockOf(model, id string) Suspect {
	if strings.HasPrefix(model, requestPrefix) {
		model = "model:" + model // callers choose the model's name
	}
	name := model + "/" + id
	return Suspect(name[:min(len(name), maxBlockBytes)])
}

// Identity is what two requests have in common if one is the other that comes again.
type Identity struct {
	Endpoint string // that runs it
	Method   string
	Host     string
	Target   string // path and query
	Caller   string // the caller's credentials, empty if it sends none
	Model    string // empty for plain services
	Body     []byte
}

// Suspect returns the name of the request. Nobody can find another request with the same name.
func (i Identity) Suspect() Suspect {
	h := sha256.New()
	for _, field := range []string{i.Method, strings.ToLower(i.Host), i.Target, i.Caller, i.Model} {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field)))) // keeps fields apart
		_, _ = io.WriteString(h, field)                                    // never fails
	}
	h.Write(i.Body)
	digest := base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
	endpoint := i.Endpoint[:min(len(i.Endpoint), maxEndpointBytes)]
	return Suspect(requestPrefix + endpoint + ":" + digest)
}

// Kind returns the suspect's kind.
func (s Suspect) Kind() Kind {
	if strings.HasPrefix(string(s), requestPrefix) {
		return KindRequest
	}
	return KindBlock
}

// blockScope is the scope of all blocks, and of ends without suspects.
const blockScope = ""

// scope names the instances whose ends count for and against a suspect: for a request those of its
// endpoint.
func (s Suspect) scope() string {
	if s.Kind() == KindRequest {
		return string(s[:strings.LastIndexByte(string(s), ':')])
	}
	return blockScope
}

// Valid reports whether the suspect could have come from BlockOf or Identity.
func (s Suspect) Valid() bool {
	if name, isRequest := strings.CutPrefix(string(s), requestPrefix); isRequest {
		colon := strings.LastIndexByte(name, ':')
		if colon <= 0 || colon > maxEndpointBytes {
			return false
		}
		digest, err := base64.RawURLEncoding.DecodeString(name[colon+1:])
		return err == nil && len(digest) == digestBytes
	}
	model, id, found := strings.Cut(string(s), "/")
	return found && model != "" && id != "" && len(s) <= maxBlockBytes
}
