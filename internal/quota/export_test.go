package quota

// Fault identifies a rule of the protocol that a test breaks on purpose.
type Fault string

// The faults that the oracle must detect.
const (
	FaultAuthorityFromAnswer Fault = "authority counted from the answer"
	FaultNoClosingWait       Fault = "no wait before an authority counts as ended"
	FaultLendBeforeTaking    Fault = "loan sent before it is taken away"
	FaultAcceptRepeated      Fault = "repeated loan accepted"
	FaultGiveBeforeStopping  Fault = "slots handed over before they are out of use"
	FaultPromiseAfterConsent Fault = "promise after consent to close"
)

// InjectFault makes the machine violate the rule of a fault.
func (m *Machine) InjectFault(f Fault) {
	switch f {
	case FaultAuthorityFromAnswer:
		m.faults.authorityFromAnswer = true
	case FaultNoClosingWait:
		m.faults.noClosingWait = true
	case FaultLendBeforeTaking:
		m.faults.lendBeforeTaking = true
	case FaultAcceptRepeated:
		m.faults.acceptRepeated = true
	case FaultGiveBeforeStopping:
		m.faults.giveBeforeStopping = true
	case FaultPromiseAfterConsent:
		m.faults.promiseAfterConsent = true
	}
}
