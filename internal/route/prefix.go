package route

import "github.com/cespare/xxhash/v2"

// Prefix is the hash of an item and the beginning of a prompt, or NoPrefix if the
// prompt is too short for prefix caching to pay off.
type Prefix uint64

// NoPrefix means that there is no prefix to route by.
const NoPrefix Prefix = 0

const (
	// PrefixBytes is the maximum number of bytes of a prompt that are hashed.
	// Prompts that agree in these bytes are routed to the same engines.
	PrefixBytes = 4 << 10
	// MinPrefixBytes is the length in bytes below which a prompt has no prefix. It
	// is also the size of the blocks to which PrefixOf rounds down.
	MinPrefixBytes = 512
)

// PrefixOf returns the prefix of a prompt for an item. The hashed length is rounded
// down to whole blocks of MinPrefixBytes, so that a question that follows a shared
// text shorter than PrefixBytes does not change the hash of the blocks before it.
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

// score returns the rendezvous hashing score of an engine, given by the hash of its
// name, for a prefix. The engine with the highest score comes first. Each VM computes
// the same order without communication, and an engine that joins or leaves moves only
// its own prefixes. The two hashes are mixed as in SplitMix64 (Steele, Lea and Flood,
// 2014).
func (p Prefix) score(engine uint64) uint64 {
	z := uint64(p) ^ engine
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
