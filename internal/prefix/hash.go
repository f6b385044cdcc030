// Package prefix computes chained hashes of prompt prefixes and keeps an index
// of the prefixes that engines have cached. The index is built from cache
// events that arrive late and with gaps.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engineapi"
)

// BytesPerToken is the number of prompt bytes that count as one token.
const BytesPerToken = 4

// pieceBytes is the number of prompt bytes in one piece of engine memory.
const pieceBytes = engineapi.PieceTokens * BytesPerToken

// CountTokens returns the estimated number of tokens in text.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// PrefixHashes returns one chained hash for each whole piece of PieceTokens
// tokens in text. Hash i covers the model, the adapter and the text from its
// start to the end of piece i; a partial last piece has no hash.
func PrefixHashes(model, adapter, text string) []uint64 {
	pieces := len(text) / pieceBytes
	if pieces == 0 {
		return nil
	}
	hashes := make([]uint64, 0, pieces)
	previous := chain(xxhash.Sum64String(model), xxhash.Sum64String(adapter))
	for i := range pieces {
		piece := text[i*pieceBytes : (i+1)*pieceBytes]
		previous = chain(previous, xxhash.Sum64String(piece))
		hashes = append(hashes, previous)
	}
	return hashes
}

// chain combines the hash of everything before a piece with the piece's own.
func chain(previous, piece uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], previous)
	binary.LittleEndian.PutUint64(buf[8:], piece)
	return xxhash.Sum64(buf[:])
}
