package kv

// Faults to inject into Settle, which the oracle must detect.
var (
	UnknownIsFailure = settleFaults{unknownIsFailure: true}
	UnmovedIsFailure = settleFaults{unmovedIsFailure: true}
	RefusalIsFailure = settleFaults{refusalIsFailure: true}
)

// SettleFaults exports settleFaults for tests.
type SettleFaults = settleFaults

// WithFaults returns a copy of the attempt with the rules of f disabled.
func (a Attempt) WithFaults(f SettleFaults) Attempt {
	a.faults = f
	return a
}
