package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestServiceIsCheckedOnlyWhenNoUpstreamSendsAnything(t *testing.T) {
	tracker := NewTracker()
	tracker.Sign("s", at(0))
	tracker.Begin("s", 20*time.Millisecond, nil, at(0))
	require.Empty(t, tracker.Due(at(200)))
	tracker.Sign("s", at(200))
	require.Empty(t, tracker.Due(at(400)), "another upstream has answered")
	require.Equal(t, []string{"s"}, tracker.Due(at(450)))
	require.Empty(t, tracker.Due(at(460)), "a check is on its way")
	require.Equal(t, None, tracker.RecordCheck("s", 3, 1, at(470)))
	require.Empty(t, tracker.Due(at(700)))
}

// An exchange that fails at once, as when connections are reset, is evidence like one that is silent.
func TestFailedExchangeIsChecked(t *testing.T) {
	tracker := NewTracker()
	tracker.Sign("s", at(0))
	tracker.End(tracker.Begin("s", time.Second, nil, at(300)), true, at(300))
	require.Equal(t, []string{"s"}, tracker.Due(at(310)))
}

func TestServiceIsCutUntilSeveralUpstreamsAreReached(t *testing.T) {
	tracker := NewTracker()
	cut := make(chan struct{})
	tracker.Begin("s", 0, func() { close(cut) }, at(0))
	require.Equal(t, []string{"s"}, tracker.Due(at(300)))
	require.Equal(t, Lost, tracker.RecordCheck("s", 3, 0, at(500)))
	<-cut
	require.True(t, tracker.Cut("s"))
	require.False(t, tracker.Cut("other"))
	require.Equal(t, []string{"s"}, tracker.Due(at(800)))
	require.Equal(t, None, tracker.RecordCheck("s", 3, 1, at(900)))
	require.Equal(t, []string{"s"}, tracker.Due(at(1300)))
	require.Equal(t, Regained, tracker.RecordCheck("s", 3, 2, at(1400)))
	require.False(t, tracker.Cut("s"))
	require.Equal(t, []string{"s"}, tracker.CutOff(at(1500)), "callers are not led back at once")
	require.Empty(t, tracker.CutOff(at(2500)))
}

// An answer on a kept connection that arrives during a check shows that the service is reached.
func TestSignDuringACheckCountsMoreThanTheCheck(t *testing.T) {
	tracker := NewTracker()
	tracker.Begin("s", 0, nil, at(0))
	require.Equal(t, []string{"s"}, tracker.Due(at(300)))
	tracker.Sign("s", at(350))
	require.Equal(t, None, tracker.RecordCheck("s", 3, 0, at(500)))
	require.False(t, tracker.Cut("s"))
}

// A service whose only instance is back is reached again.
func TestServiceWithOneUpstreamIsRegained(t *testing.T) {
	tracker := NewTracker()
	tracker.End(tracker.Begin("s", 0, nil, at(0)), true, at(0))
	require.Equal(t, []string{"s"}, tracker.Due(at(300)))
	require.Equal(t, Lost, tracker.RecordCheck("s", 1, 0, at(500)))
	require.Equal(t, Regained, tracker.RecordCheck("s", 1, 1, at(1000)))
}

// The operator removes a service while a VM does not reach it.
func TestServiceWithoutUpstreamsIsNotCut(t *testing.T) {
	tracker := NewTracker()
	tracker.End(tracker.Begin("s", 0, nil, at(0)), true, at(0))
	tracker.Due(at(300))
	tracker.RecordCheck("s", 3, 0, at(500))
	tracker.Due(at(1000))
	require.Equal(t, Regained, tracker.RecordCheck("s", 0, 0, at(1000)))
}

// Callers whose deadlines are shorter than the time of a check leave one after the other.
func TestOverdueExchangeWhoseCallerLeavesIsEvidence(t *testing.T) {
	tracker := NewTracker()
	tracker.Sign("s", at(0))
	early, late := tracker.Begin("s", 0, nil, at(0)), tracker.Begin("s", 0, nil, at(0))
	tracker.End(early, false, at(100))
	require.Empty(t, tracker.Due(at(240)))
	tracker.End(late, false, at(300))
	require.Equal(t, []string{"s"}, tracker.Due(at(310)))
}
