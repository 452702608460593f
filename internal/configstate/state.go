package configstate

import (
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// State is the configuration state of one VM. Envelopes arrive from the service,
// from peers and from operators in any order, late and repeatedly; the state never
// goes back to an older version. It is not safe for concurrent use.
type State struct {
	// Environment names the environment that the VM belongs to. Envelopes of
	// other environments are refused as a whole: otherwise one wrong peer address
	// would bring in the teams, keys and upstreams of another environment. If it
	// is empty, the environment is not checked.
	Environment string

	envelope  *Envelope
	withdrawn []string
	snapshot  *Snapshot

	// faults disables single rules in tests that check whether the oracles
	// detect it.
	faults faults
}

type faults struct {
	acceptLower       bool
	forgetWithdrawals bool
	ignoreLate        bool
	ignoreSum         bool
}

// Offer applies an envelope from any source and reports whether the snapshot
// changed. Of an envelope that is not newer than the one in force only the
// withdrawals apply: a withdrawal takes effect from whichever source delivers it
// first. Withdrawals also apply if the document cannot be parsed, which is
// reported as an error. Nothing applies with ErrWrongEnvironment and ErrDivergent.
func (s *State) Offer(e *Envelope) (changed bool, err error) {
	if err := s.checkEnvironment(e.Environment); err != nil {
		return false, err
	}
	if s.envelope != nil && e.Version == s.envelope.Version && e.Digest != s.envelope.Digest {
		return false, errors.Wrapf(ErrDivergent, "version %d: digest %s in force, digest %s offered", e.Version, s.envelope.Digest, e.Digest)
	}
	if s.faults.ignoreLate && s.envelope != nil && !s.newer(e) {
		return false, nil
	}
	added := s.addWithdrawn(e.Withdrawn)
	if s.envelope != nil && !s.newer(e) {
		if added {
			s.publish(s.snapshot.Document)
		}
		return added, nil
	}
	doc, err := s.parseDocument(e)
	if err != nil {
		// The withdrawals must take effect even if this build cannot read the
		// document, for example because a newer release wrote it.
		if added && s.envelope != nil {
			s.publish(s.snapshot.Document)
		}
		return added, err
	}
	s.envelope = e
	s.publish(doc)
	return true, nil
}

func (s *State) checkEnvironment(environment string) error {
	if s.Environment != "" && environment != s.Environment {
		return errors.Wrapf(ErrWrongEnvironment, "envelope of %q offered to %q", environment, s.Environment)
	}
	return nil
}

func (s *State) newer(e *Envelope) bool {
	if s.faults.acceptLower {
		return e.Version != s.envelope.Version
	}
	return e.Version > s.envelope.Version
}

// parseDocument parses the document unless it is the one in force, which is the
// usual case of a withdrawal.
func (s *State) parseDocument(e *Envelope) (*document.Document, error) {
	if s.envelope != nil && s.envelope.Digest == e.Digest {
		return s.snapshot.Document, nil
	}
	return document.Parse([]byte(e.Document), e.ChangeID)
}

func (s *State) addWithdrawn(digests []string) (added bool) {
	union := Union(s.withdrawn, digests)
	added = len(union) > len(s.withdrawn)
	s.withdrawn = union
	return added
}

func (s *State) publish(doc *document.Document) {
	if s.faults.forgetWithdrawals {
		s.withdrawn = s.envelope.Withdrawn
	}
	s.snapshot = NewSnapshot(s.envelope.Version, s.envelope.ChangeID, s.envelope.Digest, doc, s.withdrawn)
}

// Withdraw applies withdrawals that the service does not have yet. They take
// effect at once, and Pending returns them until a stored envelope contains them.
// It reports whether the snapshot changed, and returns ErrEnvelope if a digest is
// malformed.
func (s *State) Withdraw(digests []string) (changed bool, err error) {
	for _, digest := range digests {
		if !document.IsDigest(digest) {
			return false, errors.Wrapf(ErrEnvelope, "withdrawn %q is not a SHA-256 digest", digest)
		}
	}
	added := s.addWithdrawn(digests)
	if added && s.envelope != nil {
		s.publish(s.snapshot.Document)
	}
	return added, nil
}

// Pending returns the withdrawals that are missing in an envelope of the service
// and therefore would be lost with the VMs that have them.
func (s *State) Pending(stored *Envelope) []string {
	if stored == nil {
		return s.withdrawn
	}
	return Missing(stored.Withdrawn, s.withdrawn)
}

// Snapshot returns the configuration in force, nil if there is none.
func (s *State) Snapshot() *Snapshot { return s.snapshot }

// Version returns the version in force, 0 if there is none.
func (s *State) Version() int64 {
	if s.envelope == nil {
		return 0
	}
	return s.envelope.Version
}

// Envelope returns the envelope in force with every withdrawal of this state, so
// that a peer can catch up. It returns nil if there is none.
func (s *State) Envelope() *Envelope {
	if s.envelope == nil {
		return nil
	}
	e := *s.envelope
	e.Withdrawn = s.withdrawn
	return &e
}
