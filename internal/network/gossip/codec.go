package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/network/membership"

	"google.golang.org/protobuf/proto"
)

// Sizes of a datagram.
const (
	maxPacketBytes     = 1300 // stays below the usual path MTU
	packetReserveBytes = 120  // for the sender's name, the kind and the signature
	macBytes           = 16
)

// MinKeyBytes is the minimum length of the key that signs packets.
const MinKeyBytes = 16

// Errors of received packets.
var (
	errTooShort  = errors.New("packet too short")
	errSignature = errors.New("signature wrong: use the same gossip key on every host")
)

// seal encodes and signs a packet.
func seal(key []byte, p *gossipv1.Packet) ([]byte, error) {
	body, err := proto.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode gossip packet: %w", err)
	}
	return append(sign(key, body), body...), nil
}

// open checks the signature of a datagram and decodes it.
func open(key, data []byte) (*gossipv1.Packet, error) {
	if len(data) < macBytes {
		return nil, errTooShort
	}
	body := data[macBytes:]
	if !hmac.Equal(data[:macBytes], sign(key, body)) {
		return nil, errSignature
	}
	p := &gossipv1.Packet{}
	if err := proto.Unmarshal(body, p); err != nil {
		return nil, fmt.Errorf("decode gossip packet: %w", err)
	}
	if p.GetProtocol() != membership.ProtocolVersion {
		return nil, &VersionError{Theirs: p.GetProtocol()}
	}
	return p, nil
}

func sign(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)[:macBytes:macBytes]
}

// VersionError reports a packet of another protocol version.
type VersionError struct{ Theirs uint32 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("gossip packet of protocol %d, this host speaks %d: upgrade the older host", e.Theirs, membership.ProtocolVersion)
}
