package route

import "github.com/cespare/xxhash/v2"

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

// score is the place of an engine, by the hash of its name, in a prefix's order
// (rendezvous hashing): each VM computes the same order without a message, and an
// engine that comes or goes moves only its own prefixes. The two hashes are mixed as
// in SplitMix64 (Steele, Lea and Flood, 2014).
func (p Prefix) score(engine uint64) uint64 {
	z := uint64(p) ^ engine
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
