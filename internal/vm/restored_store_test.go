package vm

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// outageOfRestore is how long the store is away before it comes back from a copy.
const outageOfRestore = 400 * time.Millisecond

// advanceStore makes a number of changes that concern no VM, so that the store's revision grows.
func (c *cluster) advanceStore(changes int) {
	for n := range changes {
		c.store.Put("op/note-"+strconv.Itoa(n), n)
	}
}

// restoreStore takes the store away and brings it back from a copy. back is called before any VM reaches it again.
func (c *cluster) restoreStore(from *standin.StoreCopy, back func()) {
	c.store.Override(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	time.Sleep(outageOfRestore)
	c.store.Restore(from)
	if back != nil {
		back()
	}
	c.store.Override(nil)
}

// versions returns the versions of the configurations that are in force at the VMs.
func (c *cluster) versions() (out []int64) {
	for _, v := range c.vms {
		version := int64(0)
		if in := v.core.Catalog(); in != nil {
			version = in.Version
		}
		out = append(out, version)
	}
	return out
}

// inForce reports whether every VM has the last version of the configuration.
func (c *cluster) inForce() bool {
	for _, version := range c.versions() {
		if version != int64(c.version) {
			return false
		}
	}
	return true
}

// Guards against configurations that are taken for older ones by the revisions of a store that came back from a copy.
func TestConfigurationIsInForceAfterTheStoreCameBackFromACopy(t *testing.T) {
	c := newCluster(t, &standin.Replica{ID: "clerk-1"})
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		c.start(vm)
	}
	from := c.store.Copy()
	c.advanceStore(40)
	c.configure(nil)
	c.eventually(c.inForce)
	c.restoreStore(from, nil)
	time.Sleep(300 * time.Millisecond)
	c.version--
	c.configure(nil)
	time.Sleep(600 * time.Millisecond)
	c.configure(nil)
	c.eventually(c.inForce)
}

// Guards against a watch that goes on from a revision of before the store came back from a copy.
func TestChangesAreSeenAlthoughTheRestoredStoreHasPassedTheVMsRevision(t *testing.T) {
	c := newCluster(t, &standin.Replica{ID: "clerk-1"})
	c.start("vm-1")
	from := c.store.Copy()
	c.configure(nil)
	c.eventually(c.inForce)
	c.restoreStore(from, func() {
		c.configure(nil)
		c.setReplicaState("clerk-1", "draining")
		c.advanceStore(40)
	})
	c.eventually(func() bool { return c.vms[0].instance("clerk-1").Draining })
	require.Equal(t, c.version, int(c.vms[0].core.Catalog().Version))
}
