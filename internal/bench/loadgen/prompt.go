package loadgen

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// wordBytes is the length of a generated word with its space. At 4 bytes, a word
// is one token for the engines and in the entry hosts' estimate.
const wordBytes = 4

const letters = "abcdefghijklmnopqrstuvwxyz"

// Prompts generates random prompts. It is not safe for concurrent use.
type Prompts struct{ rng *rand.Rand }

// NewPrompts returns a generator that depends on the seed only.
func NewPrompts(seed uint64) *Prompts {
	return &Prompts{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Prompt returns a prompt of about tokens tokens whose answer has output tokens.
// Prompts with the same prefix number start with the same text.
func (p *Prompts) Prompt(prefix uint64, tokens, output int) string {
	shared := rand.New(rand.NewPCG(prefix, prefix))
	var b strings.Builder
	b.Grow(tokens*wordBytes + 32)
	for range max(tokens-2, 0) {
		writeWord(&b, shared)
	}
	fmt.Fprintf(&b, "q%x [out=%d]", p.rng.Uint64(), output)
	return b.String()
}

// Chance returns true with the given probability.
func (p *Prompts) Chance(probability float64) bool { return p.rng.Float64() < probability }

// Between returns a random number from low to high, both included.
func (p *Prompts) Between(low, high int) int { return low + p.rng.IntN(high-low+1) }

func writeWord(b *strings.Builder, rng *rand.Rand) {
	n := rng.Uint32()
	b.WriteByte(letters[n%26])
	b.WriteByte(letters[n/26%26])
	b.WriteByte(letters[n/676%26])
	b.WriteByte(' ')
}
