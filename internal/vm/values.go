package vm

import (
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/patch"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

// ErrPatchBase means that a patch applies to a version of a value that this VM does not hold.
var ErrPatchBase = errors.New("vm: this VM does not hold what the patch applies to")

// values is what this VM knows of large values, for VMs that hold earlier versions of them.
type values struct{ history *patch.History }

func newValues() values { return values{patch.NewHistory()} }

// note takes in an item's newest value.
func (v values) note(i store.Item) { v.history.Note(i.Key, i.Revision, i.Value) }

// item returns an item as it is told to a VM that holds another revision of it, zero for
// none.
func (v values) item(i store.Item, held int64) *peerpb.StoreItem {
	out := &peerpb.StoreItem{Key: i.Key, Revision: i.Revision}
	if p, base, ok := v.history.Patch(i.Key, i.Revision, held); ok {
		out.Patch, out.BaseRevision = p, base
		return out
	}
	out.Value = i.Value
	return out
}

// valueOf returns the value of an item that another VM tells, of which this VM holds a
// version. It returns ErrPatchBase and patch.ErrPatch.
func valueOf(i *peerpb.StoreItem, held store.Item) ([]byte, error) {
	if len(i.Patch) == 0 {
		return i.Value, nil
	}
	if i.BaseRevision == 0 {
		return patch.Apply(nil, i.Patch)
	}
	if i.BaseRevision != held.Revision {
		return nil, errors.Wrapf(ErrPatchBase, "%s: revision %d, not %d", i.Key, i.BaseRevision, held.Revision)
	}
	return patch.Apply(held.Value, i.Patch)
}
