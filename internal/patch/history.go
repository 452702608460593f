package patch

import (
	"slices"
	"sync"
)

const (
	// MinBytes is the size in bytes from which a value is sent as a patch. Making a patch
	// briefly takes some megabytes of memory, which does not pay for smaller values.
	MinBytes = 32 << 10
	// maxVersions is how many versions of a value are kept: the newest one, and those that
	// a receiver may still have when changes follow each other quickly.
	maxVersions = 4
)

// History keeps the newest versions of large values and makes patches between them. It is
// safe for concurrent use.
type History struct {
	mu        sync.Mutex
	histories map[string]*keyHistory
}

// keyHistory holds the kept versions of a key's value, the oldest first.
type keyHistory struct {
	versions []version
	// patches caches the patches to the newest version, by the revision of their base.
	patches map[int64][]byte
}

type version struct {
	revision int64
	value    []byte
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{histories: make(map[string]*keyHistory)} }

// Record records a key's value at a revision. It ignores values smaller than MinBytes and
// revisions that are not newer than the newest kept one.
func (h *History) Record(key string, revision int64, value []byte) {
	if len(value) < MinBytes {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.histories[key]
	if v == nil {
		v = &keyHistory{}
		h.histories[key] = v
	}
	if n := len(v.versions); n > 0 && revision <= v.versions[n-1].revision {
		return
	}
	v.versions = append(v.versions, version{revision, value})
	v.versions = slices.Clone(v.versions[max(0, len(v.versions)-maxVersions):])
	v.patches = make(map[int64][]byte)
}

// Patch returns a patch to a key's value at a revision from its value at base, and the base
// that the patch applies to: zero, for no base, if that revision is not kept. It returns
// false if the revision is not the newest one or no patch can be made; the caller then has
// to send the value itself.
func (h *History) Patch(key string, revision, base int64) (patch []byte, usedBase int64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.histories[key]
	if v == nil {
		return nil, 0, false
	}
	newest := v.versions[len(v.versions)-1]
	if newest.revision != revision {
		return nil, 0, false
	}
	var baseValue []byte
	for _, kept := range v.versions {
		if kept.revision == base {
			baseValue, usedBase = kept.value, base
		}
	}
	if cached, ok := v.patches[usedBase]; ok {
		return cached, usedBase, true
	}
	patch, err := Make(baseValue, newest.value)
	if err != nil {
		return nil, 0, false
	}
	v.patches[usedBase] = patch
	return patch, usedBase, true
}
