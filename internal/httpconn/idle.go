package httpconn

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// This file keeps idle connections for later requests.

// idleConn returns the most recently used idle connection that is still usable and not to be avoided, or nil.
func (p *Pool) idleConn(address string, avoid []int64) *conn {
	for {
		c := p.popIdle(address, avoid)
		if c == nil || c.usable(time.Now()) {
			return c
		}
		c.reset()
	}
}

func (p *Pool) popIdle(address string, avoid []int64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for at, c := range slices.Backward(list) {
		if slices.Contains(avoid, c.number) {
			continue
		}
		p.idle[address] = slices.Delete(list, at, at+1)
		return c
	}
	return nil
}

// usable reports whether the idle connection has not expired and has received nothing,
// neither a close nor unsolicited bytes. A late second response would otherwise be taken
// for the response to the next request.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.idleDeadline) {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(failed, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

func (p *Pool) putIdle(address string, c *conn, header http.Header) {
	idle := idleTimeout(header)
	if idle <= 0 {
		c.reset()
		return
	}
	c.idleDeadline = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerHost {
		c.reset()
		return
	}
	p.idle[address] = append(p.idle[address], c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.sweepInterval, p.sweep)
	}
}

// sweep closes the idle connections that are no longer usable. Connections are otherwise looked at only when their address is
// used again, which that of an upstream that has gone never is.
func (p *Pool) sweep() {
	p.mu.Lock()
	addresses := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, a := range addresses {
		p.sweepAddress(a, time.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sweeping = len(p.idle) > 0; p.sweeping {
		time.AfterFunc(p.sweepInterval, p.sweep)
	}
}

// sweepAddress closes the idle connections to an address that are no longer usable.
func (p *Pool) sweepAddress(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []*conn
	for _, c := range p.idle[address] {
		if c.usable(now) {
			kept = append(kept, c)
		} else {
			c.reset()
		}
	}
	if len(kept) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = kept
}

// idleTimeout returns how long an idle connection may be used: the upstream's own timeout
// from a Keep-Alive header ("timeout=5, max=100") less idleMargin, or defaultIdleTimeout.
func idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.reset()
	}
}
