package portblock

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// ErrNoBlock means that other processes have claimed all blocks.
var ErrNoBlock = errors.New("portblock: all blocks of ports are claimed")

const (
	// lowest is the first port of the first block, size the number of ports of a block, its
	// guard included, and blocks their number.
	lowest = 12_000
	size   = 500
	blocks = 36
)

// Ports gives out ports. The zero value is ready for use, and safe for concurrent use.
type Ports struct {
	mu sync.Mutex
	// first is the first port of the block in use, next the one to give out.
	first, next int
	// guards are kept for as long as the process lives.
	guards []net.Listener
}

// Next returns a port that nobody listens on and that no other test process gives out. It is
// given out once. It returns ErrNoBlock.
func (p *Ports) Next() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.first == 0 || p.next >= p.first+size {
			if err := p.claim(); err != nil {
				return 0, err
			}
		}
		port := p.next
		p.next++
		l, err := listen(port)
		if err != nil {
			continue
		}
		_ = l.Close()
		return port, nil
	}
}

// claim takes a block that nobody guards. Processes begin to look at different ones.
func (p *Ports) claim() error {
	for i := range blocks {
		first := lowest + (os.Getpid()+i)%blocks*size
		guard, err := listen(first)
		if err != nil {
			continue
		}
		p.guards = append(p.guards, guard)
		p.first, p.next = first, first+1
		return nil
	}
	return errors.WithStack(ErrNoBlock)
}

func listen(port int) (net.Listener, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
	return l, errors.WithStack(err)
}
