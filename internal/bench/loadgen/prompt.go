package loadgen

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// wordBytes is the length of each generated word with its space, so that one
// word is one token for the engines and for the estimate of the entry hosts.
const wordBytes = 4

const letters = "abcdefghijklmnopqrstuvwxyz"

// Prompts draws prompts. It is not safe for concurrent use.
type Prompts struct{ rng *rand.Rand }

// NewPrompts returns a source of prompts that depends on the seed only.
func NewPrompts(seed uint64) *Prompts {
	return &Prompts{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Prompt returns a prompt of about tokens tokens whose answer has output
// tokens. Prompts about the same subject share their beginning.
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

// Chance reports true with a probability.
func (p *Prompts) Chance(probability float64) bool { return p.rng.Float64() < probability }

// Between returns a number of low to high.
func (p *Prompts) Between(low, high int) int { return low + p.rng.IntN(high-low+1) }

func writeWord(b *strings.Builder, rng *rand.Rand) {
	n := rng.Uint32()
	b.WriteByte(letters[n%26])
	b.WriteByte(letters[n/26%26])
	b.WriteByte(letters[n/676%26])
	b.WriteByte(' ')
}
