package vm

import (
	"github.com/chestnutarch/chestnutarch/internal/connlimit"
	"github.com/chestnutarch/chestnutarch/platform"
)

// The parts of a VM's sockets that each listener may use for the connections of its clients. The rest is for connections to
// upstreams, to the store and to other VMs.
const (
	callersShare   = 3.0 / 8
	peersShare     = 1.0 / 4
	directoryShare = 1.0 / 16
	readinessShare = 1.0 / 64
	operatorsShare = 1.0 / 64
)

const (
	// defaultSockets is how many sockets a VM may use if its settings do not tell.
	defaultSockets = 3900
	// minConnections is how many connections each listener may have open at least.
	minConnections = 8
	// connectionMemory is about what a connection takes when nothing happens on it, in bytes.
	connectionMemory = 32 << 10
	// connectionsMemoryShare is the part of a VM's memory that the connections of one listener may take.
	connectionsMemoryShare = 1.0 / 8
	// headsMemoryShare is the part of a VM's memory that the heads of requests may take.
	headsMemoryShare = 1.0 / 8
	// headSlack is by how much a head may be larger than the configuration allows, in bytes: what it counts beside the header
	// fields is not told.
	headSlack = 4 << 10
)

// connections holds the connections of the clients of each listener.
type connections struct {
	table                                           *connlimit.Table
	callers, peers, directory, readiness, operators *connlimit.Group
}

func newConnections(s *platform.Settings) connections {
	sockets := s.Sockets
	if sockets == 0 {
		sockets = defaultSockets
	}
	table := connlimit.NewTable(int64(headsMemoryShare * float64(int64(s.MemoryMB)<<20)))
	group := func(share float64) *connlimit.Group {
		limit := int(share * float64(sockets))
		if s.MemoryMB > 0 {
			limit = min(limit, int(connectionsMemoryShare*float64(int64(s.MemoryMB)<<20)/connectionMemory))
		}
		return table.Group(max(minConnections, limit))
	}
	return connections{
		table: table, callers: group(callersShare), peers: group(peersShare), directory: group(directoryShare), readiness: group(readinessShare),
		operators: group(operatorsShare),
	}
}

// headLimit returns the size of the largest head that is accepted, in bytes.
func (p *Process) headLimit() int64 {
	if config := p.core.Catalog(); config != nil && config.Limits.HeaderBytes > 0 {
		return config.Limits.HeaderBytes + headSlack
	}
	return maxHeaderBytes
}

// updateConnections updates the gauges of the connections of clients.
func (p *Process) updateConnections() {
	for name, group := range map[string]*connlimit.Group{
		"callers": p.connections.callers, "peers": p.connections.peers, "directory": p.connections.directory,
		"readiness": p.connections.readiness, "operators": p.connections.operators,
	} {
		counts := group.Counts()
		p.setGauge("connections."+name, int64(counts.Open))
		p.setGauge("connections."+name+"_limit", int64(group.Limit()))
		p.setGauge("connections."+name+"_closed", counts.Closed)
		p.setGauge("connections."+name+"_refused", counts.Refused)
	}
	heads := p.connections.table.HeadCounts()
	p.setGauge("held.heads_bytes", heads.Held)
	p.setGauge("held.heads_limit_bytes", p.connections.table.Memory())
	p.setGauge("held.heads_ended", heads.Closed)
	p.setGauge("held.heads_refused", heads.Refused)
}
