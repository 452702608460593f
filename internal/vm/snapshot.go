package vm

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/patch"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

// ErrPacked means that the packed items of a hub's answer cannot be read.
var ErrPacked = errors.New("vm: packed items of a hub's answer cannot be read")

// maxSnapshotChanges is how many changes there may be since a snapshot was made, as a fraction of the
// keys, before the next one is made.
const maxSnapshotChanges = 0.25

// snapshot is the view of a hub at an earlier moment, compressed. It serves all VMs that begin to follow
// the hub: hundreds start together, and the hub's link would take longer for the plain items than they
// may take to serve. Large values are left out, since most VMs hold an earlier revision of them.
type snapshot struct {
	// change is the number of the newest change that it contains.
	change int64
	packed []byte
}

// snapshots keeps the newest snapshot. Only one is made at a time.
type snapshots struct {
	mu   sync.Mutex
	last *snapshot
}

// get returns the last snapshot if usable accepts its change number, and makes one otherwise. items
// returns the items to pack and their change number. It returns nil if the items cannot be packed.
func (s *snapshots) get(usable func(change int64) bool, items func() ([]store.Item, int64)) *snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && usable(s.last.change) {
		return s.last
	}
	listed, change := items()
	packed, err := packItems(listed)
	if err != nil {
		return nil
	}
	s.last = &snapshot{change: change, packed: packed}
	return s.last
}

// minPackedBytes is the size of changed items from which they are packed.
const minPackedBytes = 4 << 10

// deltas keeps the packed changes up to the newest one, by the change from which they begin: the VMs that
// follow a hub are mostly at the same one.
type deltas struct {
	mu     sync.Mutex
	change int64
	packed map[int64][]byte
}

// pack packs the changed items since one change up to another, and returns the items that are not in it:
// large ones, or all if that does not pay.
func (d *deltas) pack(since, change int64, items []store.Item) (packed []byte, rest []store.Item) {
	size := 0
	var small []store.Item
	for _, i := range items {
		if isLarge(i) {
			rest = append(rest, i)
			continue
		}
		size += len(i.Key) + len(i.Value)
		small = append(small, i)
	}
	if size < minPackedBytes {
		return nil, items
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if change < d.change {
		return nil, items
	}
	if change > d.change {
		d.change, d.packed = change, make(map[int64][]byte)
	}
	if d.packed[since] == nil {
		made, err := packItems(small)
		if err != nil {
			return nil, items
		}
		d.packed[since] = made
	}
	return d.packed[since], rest
}

func isLarge(i store.Item) bool { return len(i.Value) >= patch.MinBytes }

func packItems(items []store.Item) ([]byte, error) {
	plain := &peerpb.FollowResponse{Items: make([]*peerpb.StoreItem, 0, len(items))}
	for _, i := range items {
		plain.Items = append(plain.Items, &peerpb.StoreItem{Key: i.Key, Value: i.Value, Revision: int64(i.Revision)})
	}
	encoded, err := proto.Marshal(plain)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return patch.Make(nil, encoded)
}

// unpackItems is the inverse of packItems. Errors are ErrPacked, wrapped.
func unpackItems(packed []byte) ([]*peerpb.StoreItem, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	encoded, err := patch.Apply(nil, packed)
	if err != nil {
		return nil, errors.Wrapf(ErrPacked, "%v", err)
	}
	plain := &peerpb.FollowResponse{}
	if err := proto.Unmarshal(encoded, plain); err != nil {
		return nil, errors.Wrapf(ErrPacked, "%v", err)
	}
	return plain.Items, nil
}
