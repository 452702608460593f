package configstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/document"
)

func textWithKeys(rate int, digests ...string) string {
	text := fmt.Sprintf("environment: test\nfailure_domains: [a]\nteams:\n- name: t\n  rate: %d\n  burst: 10\n  keys:\n", rate)
	for i, digest := range digests {
		text += fmt.Sprintf("  - {id: k%d, sha256: %s}\n", i, digest)
	}
	return text
}

func envelope(version int64, text string, withdrawn ...string) *Envelope {
	return &Envelope{
		Version:   version,
		ChangeID:  fmt.Sprintf("change-%d", version),
		Nonce:     fmt.Sprintf("nonce-%d", version),
		Digest:    document.Digest([]byte(text)),
		Document:  text,
		Withdrawn: Union(withdrawn),
	}
}

// A watch delivers an older envelope after a peer has delivered a newer one.
// Applying it would put a configuration in force that operators have replaced.
func TestStateIgnoresOlderEnvelope(t *testing.T) {
	var s State
	changed, err := s.Offer(envelope(2, textWithKeys(2)))
	require.NoError(t, err)
	require.True(t, changed)
	changed, err = s.Offer(envelope(1, textWithKeys(1)))
	require.NoError(t, err)
	require.False(t, changed)
	require.EqualValues(t, 2, s.Snapshot().Version)
	require.EqualValues(t, 2, s.Snapshot().Document.Teams[0].Rate)
}

// An operator applies a document written before a withdrawal, and its envelope
// reaches a VM that has the withdrawal. The VM must still refuse the key.
func TestWithdrawnKeyStaysRefused(t *testing.T) {
	key := DigestKey("secret")
	var s State
	_, err := s.Offer(envelope(1, textWithKeys(1, key)))
	require.NoError(t, err)
	owner, err := s.Snapshot().Authenticate(key)
	require.NoError(t, err)
	require.Equal(t, KeyOwner{Team: "t", KeyID: "k0"}, owner)

	before := s.Snapshot().WithdrawnSum()
	changed, err := s.Withdraw([]string{key})
	require.NoError(t, err)
	require.True(t, changed)
	require.NotEqual(t, before, s.Snapshot().WithdrawnSum())
	require.Equal(t, []string{key}, s.Pending(envelope(1, textWithKeys(1, key))))

	_, err = s.Offer(envelope(2, textWithKeys(2, key)))
	require.NoError(t, err)
	_, err = s.Snapshot().Authenticate(key)
	require.ErrorIs(t, err, ErrKeyWithdrawn)
	require.Equal(t, []string{key}, s.Envelope().Withdrawn)
	require.ErrorIs(t, CheckListedKeys(s.Snapshot().Document, s.Envelope().Withdrawn), ErrWithdrawnListed)
}

// A peer with an older version has received a withdrawal that this VM missed.
func TestOlderEnvelopeWithdrawalsAreApplied(t *testing.T) {
	key := DigestKey("secret")
	var s State
	_, err := s.Offer(envelope(2, textWithKeys(2, key)))
	require.NoError(t, err)
	changed, err := s.Offer(envelope(1, textWithKeys(1, key), key))
	require.NoError(t, err)
	require.True(t, changed)
	_, err = s.Snapshot().Authenticate(key)
	require.ErrorIs(t, err, ErrKeyWithdrawn)
}

func TestStateRefusesUnusableEnvelopes(t *testing.T) {
	var s State
	_, err := s.Offer(envelope(1, "environment: [\n"))
	require.Error(t, err)
	require.Nil(t, s.Snapshot())
	_, err = s.Offer(envelope(1, textWithKeys(1)))
	require.NoError(t, err)
	_, err = s.Offer(envelope(1, textWithKeys(2)))
	require.ErrorIs(t, err, ErrDivergent)
	_, err = s.Withdraw([]string{"short"})
	require.ErrorIs(t, err, ErrEnvelope)
}

func TestEnvelopeRoundTrip(t *testing.T) {
	e := envelope(3, textWithKeys(1), DigestKey("x"))
	data, err := e.Encode()
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, e, got)
	for _, bad := range []string{"", "{}", `{"version":1,"digest":"x","document":""}`, string(data[:len(data)/2])} {
		_, err = Decode([]byte(bad))
		require.ErrorIs(t, err, ErrEnvelope)
	}
}

func clockReading(mono, wall time.Duration) clock.Reading {
	return clock.Reading{Mono: mono, Wall: time.Unix(1000, 0).Add(wall)}
}

// A VM is paused for a minute while its monotonic clock stands still. By that
// clock alone it would keep serving keys that were withdrawn during the pause.
func TestFreshnessExpiresOnEitherClock(t *testing.T) {
	f := NewFreshness(clockReading(0, 0), 3*time.Second)
	require.True(t, f.Fresh(clockReading(3*time.Second, 3*time.Second)))
	require.False(t, f.Fresh(clockReading(0, time.Minute)), "must not be fresh after a minute in which the monotonic clock stood still")
	require.False(t, f.Fresh(clockReading(time.Minute, -time.Hour)), "must not be fresh after a minute in which the wall clock was set back")
	require.False(t, Freshness{}.Fresh(clockReading(0, 0)))
}

func TestCheckEvidenceNamesMissedThreshold(t *testing.T) {
	p := document.Promotion{MinTimeInForce: time.Hour, MinRequests: 100, MinAttainment: 0.95, MaxErrorShare: 0.01}
	good := Evidence{Digest: "d", InForceMS: time.Hour.Milliseconds(), Requests: 100, Attained: 95, Failed: 1}
	require.NoError(t, CheckEvidence(p, "d", &good))
	for threshold, modify := range map[string]func(*Evidence){
		"digest":            func(e *Evidence) { e.Digest = "other" },
		"min_time_in_force": func(e *Evidence) { e.InForceMS-- },
		"min_requests":      func(e *Evidence) { e.Requests-- },
		"min_attainment":    func(e *Evidence) { e.Attained-- },
		"max_error_share":   func(e *Evidence) { e.Failed++ },
	} {
		e := good
		modify(&e)
		var missed *ThresholdError
		require.ErrorAs(t, CheckEvidence(p, "d", &e), &missed)
		require.Equal(t, threshold, missed.Threshold)
	}
	require.ErrorIs(t, CheckEvidence(p, "d", nil), ErrThresholdNotMet)
	require.ErrorIs(t, CheckEvidence(document.Promotion{}, "d", &Evidence{Digest: "d"}), ErrThresholdNotMet, "evidence without requests must be refused")
}

// The settings of a VM name a peer of another environment. Everything that the
// peer sends is refused, including withdrawals.
func TestEnvelopeOfOtherEnvironmentIsRefused(t *testing.T) {
	s := State{Environment: "test"}
	ours := envelope(1, textWithKeys(1, DigestKey("a")))
	ours.Environment = "test"
	_, err := s.Offer(ours)
	require.NoError(t, err)
	foreign := envelope(9, textWithKeys(9), DigestKey("a"))
	foreign.Environment = "production"
	_, err = s.Offer(foreign)
	require.ErrorIs(t, err, ErrWrongEnvironment)
	_, err = s.OfferUpdate(&Update{Environment: "production", Deltas: []Delta{{Version: 1, Withdrawn: []string{DigestKey("a")}}}})
	require.ErrorIs(t, err, ErrWrongEnvironment)
	require.EqualValues(t, 1, s.Snapshot().Version)
	require.Zero(t, s.Snapshot().Withdrawn())
}
