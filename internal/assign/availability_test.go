package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// evacuatedBy returns an instance whose failure domain has to be free of requests by a time.
func evacuatedBy(i upstream.Instance, by time.Time) upstream.Instance {
	i.EvacuateBy = by
	return i
}

// A failure domain with the only engine that holds a model is evacuated. Until the model is loaded
// elsewhere its callers would be refused, although the engine may get requests for a while.
func TestEvacuatedEngineServesWhatNoOtherCan(t *testing.T) {
	s, now := testAssigner("engines", 0), time.Now()
	s.SetInstances([]upstream.Instance{evacuatedBy(testInstance("engines", "leaving"), now.Add(2*time.Second))})
	c, err := s.Choose(draftRequest(1, 1, now), now)
	require.NoError(t, err)
	require.Equal(t, "leaving", c.Instance)

	_, err = s.Choose(draftRequest(1, 2, now), now.Add(2*time.Second))
	require.ErrorIs(t, err, ErrNotLoaded)
}

// While an engine in another failure domain holds the model, the evacuated one gets nothing more,
// even if it is the preferred engine of the prompt.
func TestEvacuatedEngineIsTheLastChoice(t *testing.T) {
	s, now := testAssigner("engines", 0), time.Now()
	s.SetInstances([]upstream.Instance{evacuatedBy(testInstance("engines", "leaving"), now.Add(2*time.Second)), testInstance("engines", "stays")})
	for kind := range 20 {
		c, err := s.Choose(draftRequest(kind, 1, now), now)
		require.NoError(t, err)
		require.Equal(t, "stays", c.Instance)
		s.Started(c, now)
		s.Finish(c, Succeeded, now)
	}
}

// All upstreams of a plain service are evacuated. Neither an ordinary choice nor the last resort, which
// admits ejected upstreams, may send a request there.
func TestPlainUpstreamGetsNothingAfterItsEvacuation(t *testing.T) {
	s, now := testAssigner("clerks", 0), time.Now()
	s.SetInstances([]upstream.Instance{evacuatedBy(testInstance("clerks", "leaving"), now)})
	_, err := s.Choose(Request{Service: "clerks", StartBy: now.Add(100 * time.Millisecond), Deadline: now.Add(time.Second)}, now)
	require.ErrorIs(t, err, ErrNoUpstream)
}
