package configstate

import (
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// State is what one VM knows of the configuration. Envelopes come from the
// service, from peers and from operators in any order, late and repeatedly; the
// state only ever moves forward. It is not safe for concurrent use.
type State struct {
	// Environment names the environment that the VM belongs to. Envelopes of
	// others are refused with all that they hold: one wrong address among the
	// peers would otherwise bring their teams, keys and upstreams. Empty means
	// that it is not checked.
	Environment string

	envelope  *Envelope
	withdrawn []string
	snapshot  *Snapshot

	// faults switch off single rules in tests, which show that the oracles
	// notice.
	faults faults
}

type faults struct {
	acceptLower       bool
	forgetWithdrawals bool
	ignoreLate        bool
	ignoreSum         bool
}

// Offer takes an envelope from any source. It reports whether the snapshot
// changed. An envelope that is behind changes nothing, but its withdrawals
// count: a withdrawal holds from whichever source it is heard first. The same
// is true with an error, which means that the document cannot be used.
func (s *State) Offer(e *Envelope) (changed bool, err error) {
	if err := s.foreign(e.Environment); err != nil {
		return false, err
	}
	if s.envelope != nil && e.Version == s.envelope.Version && e.Digest != s.envelope.Digest {
		return false, errors.Wrapf(ErrDivergent, "version %d: %s and %s", e.Version, s.envelope.Digest, e.Digest)
	}
	if s.faults.ignoreLate && s.envelope != nil && !s.newer(e) {
		return false, nil
	}
	grew := s.merge(e.Withdrawn)
	if s.envelope != nil && !s.newer(e) {
		if grew {
			s.publish(s.snapshot.Document)
		}
		return grew, nil
	}
	doc, err := s.read(e)
	if err != nil {
		// A document that this build cannot read, for example one of a newer
		// release, must not hide the withdrawals that came with it.
		if grew && s.envelope != nil {
			s.publish(s.snapshot.Document)
		}
		return grew, err
	}
	s.envelope = e
	s.publish(doc)
	return true, nil
}

func (s *State) foreign(environment string) error {
	if s.Environment != "" && environment != s.Environment {
		return errors.Wrapf(ErrForeign, "%q offered to %q", environment, s.Environment)
	}
	return nil
}

func (s *State) newer(e *Envelope) bool {
	if s.faults.acceptLower {
		return e.Version != s.envelope.Version
	}
	return e.Version > s.envelope.Version
}

// read parses the document unless it is the one in force, which is the common
// case of a withdrawal.
func (s *State) read(e *Envelope) (*document.Document, error) {
	if s.envelope != nil && s.envelope.Digest == e.Digest {
		return s.snapshot.Document, nil
	}
	return document.Parse([]byte(e.Document), e.ChangeID)
}

func (s *State) merge(digests []string) (grew bool) {
	union := Union(s.withdrawn, digests)
	grew = len(union) > len(s.withdrawn)
	s.withdrawn = union
	return grew
}

func (s *State) publish(doc *document.Document) {
	if s.faults.forgetWithdrawals {
		s.withdrawn = s.envelope.Withdrawn
	}
	s.snapshot = NewSnapshot(s.envelope.Version, s.envelope.ChangeID, s.envelope.Digest, doc, s.withdrawn)
}

// Withdraw takes withdrawals that the service does not hold yet. They hold at
// once, and Pending returns them until an envelope carries them. It reports
// whether the snapshot changed.
func (s *State) Withdraw(digests []string) (changed bool, err error) {
	for _, digest := range digests {
		if !document.IsDigest(digest) {
			return false, errors.Wrapf(ErrEnvelope, "withdrawn %q", digest)
		}
	}
	grew := s.merge(digests)
	if grew && s.envelope != nil {
		s.publish(s.snapshot.Document)
	}
	return grew, nil
}

// Pending returns the withdrawals that an envelope of the service lacks, and
// which therefore would be lost with the VMs that hold them.
func (s *State) Pending(stored *Envelope) []string {
	if stored == nil {
		return s.withdrawn
	}
	return Missing(stored.Withdrawn, s.withdrawn)
}

// Snapshot returns the configuration in force, nil while none is known.
func (s *State) Snapshot() *Snapshot { return s.snapshot }

// Version returns the version in force, 0 while none is known.
func (s *State) Version() int64 {
	if s.envelope == nil {
		return 0
	}
	return s.envelope.Version
}

// Envelope returns what a peer needs to catch up: the envelope in force with
// every withdrawal that is known here. It returns nil while none is known.
func (s *State) Envelope() *Envelope {
	if s.envelope == nil {
		return nil
	}
	e := *s.envelope
	e.Withdrawn = s.withdrawn
	return &e
}
