package vm

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// A VM learns that a newer configuration exists but cannot get it. Requests for a route
// that was just added were answered with status 404, and callers were sent to this VM for as
// long as it ran.
func TestVMThatLacksAConfigurationDoesNotDenyRoutes(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0))
	v := c.start("vm-1")
	unknown := call{method: "GET", path: "/added/"}
	require.Equal(t, http.StatusNotFound, c.send(v, unknown).status)

	held, _ := v.configuration()
	newer := configurationOrder{revision: held.Revision + 1}
	v.configurationLag.recordPeer(newer, time.Now())
	require.True(t, v.ready(), "the VM stays ready while the configuration may still arrive in time")
	got := c.send(v, unknown)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	withKey := call{method: "GET", path: "/look/", header: map[string]string{"Authorization": "Token added"}}
	require.Equal(t, http.StatusServiceUnavailable, c.send(v, withKey).status)
	require.Equal(t, http.StatusOK, c.send(v, call{method: "GET", path: "/look/"}).status, "a known route must be served")

	v.configurationLag = configurationLag{applied: configurationOrder{revision: held.Revision}}
	v.configurationLag.recordPeer(newer, time.Now().Add(-v.settings.Bounds.Configuration-time.Second))
	require.False(t, v.ready())
	c.configure(nil)
	c.eventually(func() bool { return v.ready() })
	require.Equal(t, http.StatusNotFound, c.send(v, unknown).status)
}

// Configurations follow each other faster than they come into force. A VM that is one
// behind for a moment each time must not count as having been behind all the time.
func TestVMThatKeepsUpIsNotBehind(t *testing.T) {
	var lag configurationLag
	now := time.Now()
	at := func(revision store.Revision) configurationOrder { return configurationOrder{revision: revision} }
	for revision := range store.Revision(100) {
		lag.recordPeer(at(revision+2), now)
		lag.apply(at(revision+1), now)
		now = now.Add(100 * time.Millisecond)
		require.LessOrEqual(t, lag.behind(now), 100*time.Millisecond)
	}
	lag.apply(at(200), now)
	require.Zero(t, lag.behind(now))
}

// A report names a configuration that this VM has put in force a moment before. If it counted
// as newer, the VM would be out of service until the next change.
func TestConfigurationThatIsInForceIsNotNewer(t *testing.T) {
	var lag configurationLag
	now := time.Now()
	lag.apply(configurationOrder{revision: 7}, now)
	lag.recordPeer(configurationOrder{revision: 7}, now)
	lag.recordPeer(configurationOrder{revision: 5}, now)
	require.Zero(t, lag.behind(now.Add(time.Minute)))
}
