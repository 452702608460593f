package vm

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// upstreamPath is the way of one VM to all upstreams. While it is cut, connections hang: what is written is lost and
// nothing arrives; new ones get no answer, or are refused.
type upstreamPath struct {
	mu     sync.Mutex
	cut    bool
	refuse bool
	// lost holds the addresses that refuse new connections, and whose connections are reset when they are used.
	lost map[string]bool
	// changed is closed and replaced when cut changes.
	changed chan struct{}
}

func newUpstreamPath() *upstreamPath { return &upstreamPath{changed: make(chan struct{})} }

// set cuts the path, or joins it again. refuse makes new connections fail at once instead of hanging.
func (p *upstreamPath) set(cut, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.refuse = cut, refuse
	close(p.changed)
	p.changed = make(chan struct{})
}

// refuseNew makes new connections fail at once, while open ones live on.
func (p *upstreamPath) refuseNew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = true
}

// lose makes an address unreachable.
func (p *upstreamPath) lose(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == nil {
		p.lost = make(map[string]bool)
	}
	p.lost[address] = true
}

func (p *upstreamPath) hasLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost[address]
}

func (p *upstreamPath) state() (cut, refuse bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.refuse, p.changed
}

func (p *upstreamPath) dial(ctx context.Context, address string) (net.Conn, error) {
	for {
		cut, refuse, changed := p.state()
		if refuse || p.hasLost(address) {
			return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
		}
		if !cut {
			var d net.Dialer
			raw, err := d.DialContext(ctx, "tcp4", address)
			if err != nil {
				return nil, err
			}
			return &pathConn{Conn: raw, path: p, closed: make(chan struct{})}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(connectTimeoutOfTest):
			return nil, context.DeadlineExceeded
		case <-changed:
		}
	}
}

// connectTimeoutOfTest is how long a new connection on a path that is cut gets no answer.
const connectTimeoutOfTest = 600 * time.Millisecond

type pathConn struct {
	net.Conn
	path   *upstreamPath
	once   sync.Once
	closed chan struct{}
}

func (c *pathConn) Write(b []byte) (int, error) {
	if c.path.hasLost(c.RemoteAddr().String()) {
		return 0, net.ErrClosed
	}
	if cut, _, _ := c.path.state(); cut {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for {
		cut, _, changed := c.path.state()
		if !cut {
			return n, err
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-changed:
		}
	}
}

func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// namedBy reports whether the address answers of a VM name another one.
func namedBy(v, other *testVM) bool {
	addresses, _ := v.fleet.Addresses("", "a")
	return slices.Contains(addresses, other.settings.Callers)
}

// Callers are sent to a VM that has lost its way to all upstreams of one service of two.
func TestAddressAnswersLeaveOutAVMThatReachesNoUpstream(t *testing.T) {
	c := newCluster(t)
	for i := range 3 {
		c.add(standin.NewReplica(fmt.Sprintf("clerk-%d", i), 0))
		c.add(standin.NewReplica(fmt.Sprintf("engine-%d", i), 1, "m0"))
	}
	paths := []*upstreamPath{newUpstreamPath(), newUpstreamPath(), newUpstreamPath()}
	for i, path := range paths {
		c.startAs(vmSpec{name: string(rune('a' + i)), domain: "a", upstreams: path})
	}
	named := func(other *testVM) (n int) {
		for _, v := range c.vms {
			if namedBy(v, other) {
				n++
			}
		}
		return n
	}
	look := func(v *testVM) {
		c.send(v, call{method: "GET", path: "/look/", header: map[string]string{"X-Chestnutarch-Deadline-Remaining-Ms": "300"}})
	}
	c.eventually(func() bool { return named(c.vms[0]) == 3 && named(c.vms[1]) == 3 && named(c.vms[2]) == 3 })
	for _, refuse := range []bool{false, true} {
		paths[0].set(true, refuse)
		c.eventually(func() bool { look(c.vms[0]); return named(c.vms[0]) == 0 })
		require.Equal(t, 3, named(c.vms[1]))
		paths[0].set(false, false)
		c.eventually(func() bool { return named(c.vms[0]) == 3 })
	}

	// No VM reaches an upstream: none is worse than the others.
	for _, path := range paths {
		path.set(true, false)
	}
	c.eventually(func() bool {
		for _, v := range c.vms {
			go look(v)
		}
		time.Sleep(50 * time.Millisecond)
		return c.vms[0].reach.Cut("clerk") && c.vms[1].reach.Cut("clerk") && c.vms[2].reach.Cut("clerk")
	})
	c.eventually(func() bool { return named(c.vms[0]) == 3 && named(c.vms[1]) == 3 && named(c.vms[2]) == 3 })
}

// A VM loses its way to all upstreams. Its callers must be sent to other VMs, and those who come all the same must be served.
func TestCallersOfAVMThatReachesNoUpstreamAreServed(t *testing.T) {
	c := newCluster(t)
	for i := range 3 {
		c.add(standin.NewReplica(fmt.Sprintf("clerk-%d", i), 0))
		c.add(standin.NewReplica(fmt.Sprintf("engine-%d", i), 1, "m0"))
	}
	path := newUpstreamPath()
	cutOff, others := c.startAs(vmSpec{name: "a", domain: "a", upstreams: path}), []*testVM{c.start("b"), c.start("c")}
	c.eventually(func() bool { return namedBy(others[0], cutOff) && namedBy(others[1], cutOff) })
	calls := []call{
		{method: "POST", path: "/file/", body: "x"}, {method: "GET", path: "/look/"},
		{method: "POST", path: "/chat/", model: "m0"}, {method: "POST", path: "/draft/", model: "m0"},
	}
	for _, q := range calls {
		require.Equal(t, http.StatusOK, c.sendUntilAccepted(cutOff, q).status)
	}
	path.set(true, false)
	for began := time.Now(); time.Since(began) < 2*time.Second; {
		for _, q := range calls {
			c.send(cutOff, q)
		}
	}
	require.False(t, namedBy(cutOff, cutOff), "callers are sent to a VM that reaches no upstream")
	require.False(t, namedBy(others[0], cutOff), "callers are sent to a VM that reaches no upstream")
	before := c.runsByID()
	for range 10 {
		for _, q := range calls {
			require.Equal(t, http.StatusOK, c.send(cutOff, q).status, "%s", q.path)
		}
	}
	after := c.runsByID()
	require.Equal(t, len(before)+40, len(after))
	for id, n := range after {
		require.LessOrEqual(t, n, 1, "%s ran more than once", id)
	}
	path.set(false, false)
	c.eventually(func() bool { return namedBy(cutOff, cutOff) && namedBy(others[0], cutOff) })
}

// runsByID returns how often the upstreams have run each request.
func (c *cluster) runsByID() map[string]int {
	out := make(map[string]int)
	for _, r := range c.replicas {
		for _, run := range r.Runs() {
			out[run.ID]++
		}
	}
	return out
}

// In a fleet with hubs, a whole failure domain loses its way to the upstreams, its hub too.
func TestCallersOfAFailureDomainThatReachesNoUpstreamAreServed(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0))
	path := newUpstreamPath()
	for i := range 14 {
		spec := vmSpec{name: string(rune('a' + i)), domain: string(rune('a' + i%2))}
		if spec.domain == "a" {
			spec.upstreams = path
		}
		c.startAs(spec)
	}
	var cutOff, others []*testVM
	for i, v := range c.vms {
		if i%2 == 0 {
			cutOff = append(cutOff, v)
		} else {
			others = append(others, v)
		}
	}
	count := func(v *testVM, list []*testVM) (n int) {
		for _, other := range list {
			if namedBy(v, other) {
				n++
			}
		}
		return n
	}
	for _, v := range c.vms {
		c.eventually(func() bool { return count(v, c.vms) == len(c.vms) })
	}
	path.set(true, true)
	for _, v := range cutOff {
		c.eventually(func() bool { c.send(v, call{method: "GET", path: "/look/"}); return v.reach.Cut("clerk") })
	}
	for _, v := range others {
		c.eventually(func() bool { return count(v, cutOff) == 0 && count(v, others) == len(others) })
	}
	for _, v := range cutOff {
		require.Equal(t, http.StatusOK, c.send(v, call{method: "POST", path: "/file/"}).status)
	}
	path.set(false, false)
	for _, v := range c.vms {
		c.eventually(func() bool { return count(v, c.vms) == len(c.vms) })
	}
}

// The leader loses its way to the engines: another VM must lead, or no model can be loaded until the way is back.
func TestLeaderThatReachesNoEngineResigns(t *testing.T) {
	engine := standin.NewReplica("engine-1", 2, "m0")
	c := newCluster(t, engine)
	paths := map[*testVM]*upstreamPath{}
	for _, name := range []string{"a", "b", "c"} {
		path := newUpstreamPath()
		paths[c.startAs(vmSpec{name: name, domain: "a", upstreams: path})] = path
	}
	leader := c.waitLeader()
	paths[leader].set(true, false)
	c.eventually(func() bool {
		go c.send(leader, call{method: "POST", path: "/chat/", model: "m0"})
		time.Sleep(50 * time.Millisecond)
		return !leader.candidate.HasTerm()
	})
	c.eventually(func() bool { next := c.waitLeader(); return next != leader })
	require.Equal(t, http.StatusOK, c.sendUntilAccepted(leader, call{method: "POST", path: "/chat/", model: "m1"}).status)
}

// Each VM has lost its way to some service: the answers name those that lack fewest, and requests go to VMs that reach their service.
func TestCallersAreServedWhenEveryVMLacksAService(t *testing.T) {
	c := newCluster(t)
	for i := range 3 {
		c.add(standin.NewReplica(fmt.Sprintf("clerk-%d", i), 0))
		c.add(standin.NewReplica(fmt.Sprintf("engine-%d", i), 1, "m0"))
	}
	var paths []*upstreamPath
	for i := range 3 {
		paths = append(paths, newUpstreamPath())
		c.startAs(vmSpec{name: string(rune('a' + i)), domain: "a", upstreams: paths[i]})
	}
	for _, v := range c.vms {
		c.eventually(func() bool { return namedBy(v, c.vms[0]) && namedBy(v, c.vms[1]) && namedBy(v, c.vms[2]) })
	}
	for id, server := range c.servers {
		address := server.Listener.Addr().String()
		paths[2].lose(address)
		if service, _, _ := strings.Cut(id, "-"); service == "clerk" {
			paths[0].lose(address)
		} else {
			paths[1].lose(address)
		}
	}
	file, chat := call{method: "POST", path: "/file/"}, call{method: "POST", path: "/chat/", model: "m0"}
	c.eventually(func() bool {
		for _, v := range c.vms {
			c.send(v, file)
			c.send(v, chat)
		}
		return c.vms[0].reach.Cut("clerk") && c.vms[1].reach.Cut("engine") && c.vms[2].reach.Cut("clerk") && c.vms[2].reach.Cut("engine")
	})
	for _, v := range c.vms {
		c.eventually(func() bool { return namedBy(v, c.vms[0]) && namedBy(v, c.vms[1]) && !namedBy(v, c.vms[2]) })
		require.Equal(t, http.StatusOK, c.send(v, file).status)
		require.Equal(t, http.StatusOK, c.send(v, chat).status)
	}
}
