package soak

import (
	"net"
	"sync"
	"time"
)

// flow is how a proxy treats the bytes of one direction.
type flow int

const (
	// pass forwards them.
	pass flow = iota
	// hold delays them until the flow changes, like a broken link whose packets are
	// retransmitted.
	hold
)

// proxy forwards loopback connections to a target and injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// changed is closed and replaced whenever the proxy's settings change.
	changed chan struct{}
	// toTarget and toCaller are the flows of the two directions.
	toTarget, toCaller flow
	delay              time.Duration
	// rate limits each connection in the direction from the target to the caller, in bytes a
	// second. Zero means no limit.
	rate int
	// refuse resets new connections.
	refuse      bool
	connections map[*connection]bool
	// updates are the times at which faults began or ended.
	updates []time.Time
}

// connection is one connection through a proxy, with its two sockets.
type connection struct {
	caller, target net.Conn
	// A silent connection delivers no more bytes and is not reset.
	silent bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := ports.Listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), connections: make(map[*connection]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.heal()
	p.reset()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *proxy) serve(caller *net.TCPConn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	target, err := net.Dial("tcp4", p.target)
	if err != nil || refuse {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		if err == nil {
			_ = target.Close()
		}
		return
	}
	c := &connection{caller: caller, target: target}
	p.mu.Lock()
	p.connections[c] = true
	rate := p.rate
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(c, target, caller, func() flow { return p.toTarget }, 0) })
	both.Go(func() { p.forward(c, caller, target, func() flow { return p.toCaller }, rate) })
	both.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// forward copies one direction. After an end or a reset it closes both sockets.
func (p *proxy) forward(c *connection, to, from net.Conn, direction func() flow, rate int) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.waitUntilPassed(c, direction) {
			continue
		}
		if rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// waitUntilPassed waits until bytes of a direction may be forwarded, and returns true.
func (p *proxy) waitUntilPassed(c *connection, direction func() flow) bool {
	for {
		p.mu.Lock()
		silent, held, changed, delay := c.silent, direction() == hold, p.changed, p.delay
		p.mu.Unlock()
		if silent {
			<-changed
			p.mu.Lock()
			gone := !p.connections[c]
			p.mu.Unlock()
			if gone {
				return true
			}
			continue
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// update changes the proxy's settings and wakes the goroutines that wait for a change.
func (p *proxy) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.updates = append(p.updates, time.Now())
	close(p.changed)
	p.changed = make(chan struct{})
}

// disturbedBetween reports whether a fault of the proxy began or ended within a time.
func (p *proxy) disturbedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return anyBetween(p.updates, from, to)
}

// heal removes all faults except silent connections.
func (p *proxy) heal() {
	p.update(func() { p.toTarget, p.toCaller, p.delay, p.refuse = pass, pass, 0, false })
}

// silence makes all open connections silent until they are reset.
func (p *proxy) silence() {
	p.update(func() {
		for c := range p.connections {
			c.silent = true
		}
	})
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.update(func() {
		for c := range p.connections {
			for _, conn := range []net.Conn{c.caller, c.target} {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			delete(p.connections, c)
		}
	})
}
