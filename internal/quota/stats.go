package quota

// Stats counts what a machine has done since its start.
type Stats struct {
	// AdmittedTokens and RefusedTokens sum the sizes of requests, in tokens.
	AdmittedTokens int64
	RefusedTokens  int64
	// Refused counts refused requests by cause.
	Refused map[Cause]int64
	// Messages counts messages sent.
	Messages int64
	// Reads and Writes count calls to the key-value service.
	Reads  int64
	Writes int64
	// Loans counts loans received. Collections counts collections started, each for
	// one request that needs tokens of several lenders.
	Loans       int64
	Collections int64
}

func newStats() Stats {
	return Stats{Refused: make(map[Cause]int64)}
}

// Stats returns a copy of the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Refused = make(map[Cause]int64, len(m.stats.Refused))
	for cause, n := range m.stats.Refused {
		s.Refused[cause] = n
	}
	return s
}
