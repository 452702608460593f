package patch

import (
	"slices"
	"sync"
)

const (
	// MinBytes is the size from which a value is passed on as a patch. Making one takes
	// some megabytes for a moment, which smaller values are not worth.
	MinBytes = 32 << 10
	// versions is how many versions of a value are kept: the newest one, and those that
	// somebody may still hold while changes come in quick succession.
	versions = 4
)

// History keeps the newest versions of large values, to make patches of. It is safe for
// concurrent use.
type History struct {
	mu   sync.Mutex
	keys map[string]*versioned
}

// versioned is a key's versions, the oldest first.
type versioned struct {
	kept []version
	// patches make the newest version of earlier ones, by their revision.
	patches map[int64][]byte
}

type version struct {
	revision int64
	value    []byte
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{keys: make(map[string]*versioned)} }

// Note takes in a key's value at a revision, if it is large and newer than those kept.
func (h *History) Note(key string, revision int64, value []byte) {
	if len(value) < MinBytes {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.keys[key]
	if v == nil {
		v = &versioned{}
		h.keys[key] = v
	}
	if n := len(v.kept); n > 0 && revision <= v.kept[n-1].revision {
		return
	}
	v.kept = append(v.kept, version{revision, value})
	v.kept = slices.Clone(v.kept[max(0, len(v.kept)-versions):])
	v.patches = make(map[int64][]byte)
}

// Patch returns what makes a key's value at a revision of the one at base, and the base it
// rests on: zero if the one asked for is not kept. It returns false if the revision is not
// the newest one or no patch can be made, so that the value itself has to be passed on.
func (h *History) Patch(key string, revision, base int64) (patch []byte, on int64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.keys[key]
	if v == nil {
		return nil, 0, false
	}
	newest := v.kept[len(v.kept)-1]
	if newest.revision != revision {
		return nil, 0, false
	}
	var from []byte
	for _, k := range v.kept {
		if k.revision == base {
			from, on = k.value, base
		}
	}
	if known, ok := v.patches[on]; ok {
		return known, on, true
	}
	patch, err := Make(from, newest.value)
	if err != nil {
		return nil, 0, false
	}
	v.patches[on] = patch
	return patch, on, true
}
