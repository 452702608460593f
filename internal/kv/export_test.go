package kv

// Planted faults of Settle, for the oracle to find.
var (
	UnknownIsFailure = settleFaults{unknownIsFailure: true}
	UnmovedIsFailure = settleFaults{unmovedIsFailure: true}
	RefusalIsFailure = settleFaults{refusalIsFailure: true}
)

// SettleFaults names the type for tests.
type SettleFaults = settleFaults

// WithFaults returns the attempt with rules switched off.
func (a Attempt) WithFaults(f SettleFaults) Attempt {
	a.faults = f
	return a
}
