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

// Time passes between a choice and the first byte, in which its upstream may begin to leave, end or shed load.
func TestChoiceIsWithdrawnOnceItsUpstreamTakesNoRequests(t *testing.T) {
	later := time.Now().Add(time.Second)
	for name, change := range map[string]func(s *Assigner, c *Choice, i upstream.Instance){
		"": func(*Assigner, *Choice, upstream.Instance) {},
		"leaves": func(s *Assigner, _ *Choice, i upstream.Instance) {
			i.Draining = true
			s.SetInstances([]upstream.Instance{i})
		},
		"gone": func(s *Assigner, _ *Choice, _ upstream.Instance) { s.SetInstances(nil) },
		"restarted": func(s *Assigner, _ *Choice, i upstream.Instance) {
			i.Incarnation++
			s.SetInstances([]upstream.Instance{i})
		},
		"evacuated": func(s *Assigner, _ *Choice, i upstream.Instance) {
			s.SetInstances([]upstream.Instance{evacuatedBy(i, later)})
		},
		"sheds load": func(s *Assigner, c *Choice, _ upstream.Instance) { s.RecordRetryAfter(c, 2*time.Second, later) },
	} {
		s, i := testAssigner("engines", 0), testInstance("engines", "e")
		s.SetInstances([]upstream.Instance{i})
		c, err := s.Choose(draftRequest(1, 1, time.Now()), time.Now())
		require.NoError(t, err)
		change(s, c, i)
		require.Equal(t, name != "", s.Withdrawn(c, later), name)
	}
}
