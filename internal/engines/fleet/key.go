package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// keyBytes is the entropy of a generated key, in bytes.
const keyBytes = 32

// KeyHash is the hexadecimal SHA-256 hash of a key. Keys are random and long, so
// the hash cannot be reversed although it is unsalted.
type KeyHash string

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// NewKey returns a random key and its hash. The key is shown once to its owner
// and is never sent to the control group.
func NewKey() (string, KeyHash) {
	raw := make([]byte, keyBytes)
	rand.Read(raw) // never fails, see package crypto/rand
	key := "fhk_" + base64.RawURLEncoding.EncodeToString(raw)
	return key, HashKey(key)
}

func (h KeyHash) check() *Error {
	raw, err := hex.DecodeString(string(h))
	if err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != string(h) {
		return errInvalid("the key sum is not a SHA-256 sum in lower-case hexadecimal",
			"send the output of sha256sum over the key")
	}
	return nil
}
