package portblock

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// ErrNoBlock means that other processes have claimed all blocks.
var ErrNoBlock = errors.New("portblock: all blocks of ports are claimed")

const (
	// firstPort is the first port of the first block, portsPerBlock the number of ports in a
	// block, including its guard, and blockCount the number of blocks.
	firstPort     = 12_000
	portsPerBlock = 500
	blockCount    = 36
)

// Ports allocates ports. The zero value is ready for use, and safe for concurrent use.
type Ports struct {
	mu sync.Mutex
	// blockStart is the first port of the current block, nextPort the next port to try.
	blockStart, nextPort int
	// guards listen on the first ports of the claimed blocks until the process ends.
	guards []net.Listener
}

// Next returns a port that no process listens on and that no other test process allocates. Each
// port is returned at most once. Next returns ErrNoBlock, wrapped, if no block can be claimed.
func (p *Ports) Next() (int, error) {
	l, err := p.Listen()
	if err != nil {
		return 0, err
	}
	_ = l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// Listen listens on a port that no other test process allocates, and that is not allocated again
// after the listener is closed. Listen returns ErrNoBlock, wrapped, if no block can be claimed.
func (p *Ports) Listen() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.blockStart == 0 || p.nextPort >= p.blockStart+portsPerBlock {
			if err := p.claimBlock(); err != nil {
				return nil, err
			}
		}
		port := p.nextPort
		p.nextPort++
		l, err := listen(port)
		if err != nil {
			continue
		}
		return l, nil
	}
}

// Serve starts a server on a port of its own. Its errors are those of Listen.
func (p *Ports) Serve(handler http.Handler) (*httptest.Server, error) {
	listener, err := p.Listen()
	if err != nil {
		return nil, err
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}}
	server.Start()
	return server, nil
}

// claimBlock claims a block that no process guards. The search starts at a block that depends on
// the process ID, so that processes start at different blocks.
func (p *Ports) claimBlock() error {
	for i := range blockCount {
		first := firstPort + (os.Getpid()+i)%blockCount*portsPerBlock
		guard, err := listen(first)
		if err != nil {
			continue
		}
		p.guards = append(p.guards, guard)
		p.blockStart, p.nextPort = first, first+1
		return nil
	}
	return errors.WithStack(ErrNoBlock)
}

func listen(port int) (net.Listener, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
	return l, errors.WithStack(err)
}
