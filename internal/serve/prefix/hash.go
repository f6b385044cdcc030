// Package prefix computes chained hashes of prompt prefixes and keeps an index
// of the prefixes that engines have cached. It builds the index from the engines'
// cache events, which may arrive late or be lost.
package prefix

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engines/engineapi"
)

// CountTokens returns the number of tokens in text. A token is a run of bytes
// without white space.
func CountTokens(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}

// PrefixHashes returns one chained hash for each full block of KVBlockTokens tokens
// in text. Hash i covers the model, the adapter and the text from its start to the
// end of block i; a partial last block has no hash.
func PrefixHashes(model, adapter, text string) []uint64 {
	var hashes []uint64
	previous := chain(xxhash.Sum64String(model), xxhash.Sum64String(adapter))
	start, tokens := 0, 0
	inToken := false
	for i := range len(text) {
		space := isSpace(text[i])
		if inToken && space {
			tokens++
		}
		inToken = !space
		if tokens == engineapi.KVBlockTokens {
			previous = chain(previous, xxhash.Sum64String(text[start:i]))
			hashes = append(hashes, previous)
			start, tokens = i, 0
		}
	}
	if inToken && tokens == engineapi.KVBlockTokens-1 {
		previous = chain(previous, xxhash.Sum64String(text[start:]))
		hashes = append(hashes, previous)
	}
	return hashes
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\n' || b == '\t' || b == '\r' || b == '\v' || b == '\f'
}

// chain combines the hash of everything before a block with the hash of the block.
func chain(previous, block uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], previous)
	binary.LittleEndian.PutUint64(buf[8:], block)
	return xxhash.Sum64(buf[:])
}
