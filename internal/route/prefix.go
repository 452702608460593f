package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Prefix is the hash of an item and the beginning of a prompt. NoPrefix stands
// for a prompt that is too short to be worth an engine's cache.
type Prefix uint64

// NoPrefix means that there is no prefix to go by.
const NoPrefix Prefix = 0

const (
	// PrefixBytes is how much of a prompt is hashed. Prompts that agree so far
	// go to the same engines.
	PrefixBytes = 4 << 10
	// MinPrefixBytes is the length below which a prompt has no prefix.
	MinPrefixBytes = 512
)

// PrefixOf returns the prefix of a prompt. Its length is rounded down to whole
// blocks, so that a question behind a shared text shorter than PrefixBytes does
// not change the hash of the text's blocks before it.
func PrefixOf(i Item, prompt string) Prefix {
	if len(prompt) < MinPrefixBytes {
		return NoPrefix
	}
	prompt = prompt[:min(len(prompt), PrefixBytes)]
	prompt = prompt[:len(prompt)/MinPrefixBytes*MinPrefixBytes]
	d := xxhash.New()
	_, _ = d.WriteString(i.Model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(i.Adapter)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	return max(Prefix(d.Sum64()), 1)
}

// score is an engine's place in a prefix's order (rendezvous hashing): each VM
// computes the same order without a message, and an engine that comes or goes
// moves only its own prefixes.
func (p Prefix) score(engine string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(p))
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(engine)
	return d.Sum64()
}
