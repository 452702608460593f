package vm

import (
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/patch"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

// ErrPatchBase means that a patch applies to a revision of a value that this VM does not
// hold.
var ErrPatchBase = errors.New("vm: base revision of the patch is not held")

// valueHistory keeps earlier revisions of large values, to make patches for VMs that hold
// them.
type valueHistory struct{ history *patch.History }

func newValueHistory() valueHistory { return valueHistory{patch.NewHistory()} }

// record adds an item's newest value.
func (v valueHistory) record(i store.Item) { v.history.Record(i.Key, int64(i.Revision), i.Value) }

// itemFor returns an item for a VM that holds its revision held, zero if that VM does not hold
// the item: as a patch if possible, else with its whole value.
func (v valueHistory) itemFor(i store.Item, held store.Revision) *peerpb.StoreItem {
	out := &peerpb.StoreItem{Key: i.Key, Revision: int64(i.Revision)}
	if p, base, ok := v.history.Patch(i.Key, int64(i.Revision), int64(held)); ok {
		out.Patch, out.BaseRevision = p, base
		return out
	}
	out.Value = i.Value
	return out
}

// decodeItem returns the value of an item sent by another VM, held being the item that this
// VM has. It returns ErrPatchBase if a patch is based on another revision than that of held,
// and patch.ErrPatch if it cannot be applied.
func decodeItem(i *peerpb.StoreItem, held store.Item) ([]byte, error) {
	if len(i.Patch) == 0 {
		return i.Value, nil
	}
	if i.BaseRevision == 0 {
		return patch.Apply(nil, i.Patch)
	}
	if i.BaseRevision != int64(held.Revision) {
		return nil, errors.Wrapf(ErrPatchBase, "%s: base revision of the patch is %v, held revision is %v", i.Key, store.Revision(i.BaseRevision), held.Revision)
	}
	return patch.Apply(held.Value, i.Patch)
}
