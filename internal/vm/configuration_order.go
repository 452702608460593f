package vm

import "github.com/chestnutarch/chestnutarch/internal/store"

// configurationOrder tells which of two configurations is the newer one: by the version that the operator gave them, so
// that a configuration stays in force while a store that came back from a copy still has an older one.
type configurationOrder struct {
	version  int64
	revision store.Revision
}

// newerThan reports whether a configuration is newer than another. A version that was written in two eras is the same
// configuration. A VM of an earlier build tells no version, which is zero; then revisions decide.
func (o configurationOrder) newerThan(other configurationOrder) bool {
	if o.version != 0 && other.version != 0 {
		if o.version != other.version {
			return o.version > other.version
		}
		if o.revision.Era() != other.revision.Era() {
			return false
		}
	}
	return o.revision > other.revision
}
