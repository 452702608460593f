package vm

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// Guards against requests that run at another service, since another writer left an incomplete entry in the place of a replica.
func TestIncompleteEntryMovesNoReplicaToAnotherService(t *testing.T) {
	t.Parallel()
	clerk, engine := standin.NewReplica("clerk-1", 0), standin.NewReplica("engine-1", 2, "m0")
	c := newCluster(t, clerk, engine)
	v := c.start("a")
	chat := call{method: "POST", path: "/chat/", model: "m0"}
	require.Equal(t, http.StatusOK, c.send(v, chat).status)
	// caughtUp returns once the VM has read what was written before.
	caughtUp := func() {
		clerk := standin.NewReplica("clerk-marker-"+t.Name(), 0)
		c.add(clerk)
		c.eventually(func() bool { return v.instance(clerk.ID) != nil })
		c.store.Delete("servers/" + clerk.ID)
		c.eventually(func() bool { return v.instance(clerk.ID) == nil })
	}
	c.store.Put("servers/engine-1", map[string]any{
		"service": "clerk", "address": c.servers["engine-1"].Listener.Addr().String(), "state": "ready", "slots": 8,
	})
	caughtUp()
	ran := len(engine.Runs())
	for range 20 {
		require.Equal(t, http.StatusOK, c.send(v, call{method: "POST", path: "/file/"}).status)
	}
	require.Len(t, engine.Runs(), ran)
	c.setReplicaState("engine-1", "ready")
	caughtUp()
	require.Equal(t, http.StatusOK, c.send(v, chat).status)
}
