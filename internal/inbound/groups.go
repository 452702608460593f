package inbound

import "github.com/chestnutarch/chestnutarch/internal/connlimit"

const (
	// otherDivisor is the part of a process's connections that each of its other listeners may have.
	otherDivisor = 8
	// minConnections is how many these may have at least.
	minConnections = 8
)

// Groups are the groups of a process with one main listener.
type Groups struct {
	// Main is the group of the main listener.
	Main  *connlimit.Group
	table *connlimit.Table
}

// NewGroups returns groups whose main one may have a number of connections, and whose heads may take an amount of memory, in bytes.
func NewGroups(connections int, headMemory int64) *Groups {
	table := connlimit.NewTable(headMemory)
	return &Groups{Main: table.Group(connections), table: table}
}

// Other returns a group for another listener.
func (g *Groups) Other() *connlimit.Group {
	return g.table.Group(max(minConnections, g.Main.Limit()/otherDivisor))
}
