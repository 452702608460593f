package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	testColdRate  = 6.5
	testColdStart = 3 * time.Second
	// testColdTolerance is how many requests a cold upstream may get within a second.
	testColdTolerance = 14
)

// coldFleet is a fleet of VMs whose catalog bounds the requests to cold upstreams.
func coldFleet(vms int, instances []upstream.Instance, now time.Time) []*Assigner {
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	var out []*Assigner
	for i, name := range names {
		s := New()
		c := testCatalog()
		c.Services["engines"].ColdRate, c.Services["engines"].ColdStart = testColdRate, testColdStart
		s.SetCatalog(c)
		others := append(append([]string{}, names[:i]...), names[i+1:]...)
		s.SetFleet(name, others, now.Add(-time.Minute))
		s.SetInstances(instances)
		out = append(out, s)
	}
	return out
}

func coldUntil(i upstream.Instance, until time.Time) upstream.Instance {
	i.ColdUntil = until
	return i
}

// mostWithin returns the largest number of times within a window. times must be sorted.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for at-times[from] > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// An engine has just started, and 65 VMs see at the same moment that it holds a busy model and does
// nothing. Each of them sends it its next request, and the engine fails under them.
func TestFleetSendsAColdEngineFewRequests(t *testing.T) {
	now, r := time.Now(), rand.New(rand.NewPCG(1, 1))
	fleet := coldFleet(65, []upstream.Instance{coldUntil(testInstance("engines", "cold"), now.Add(testColdStart))}, now)
	var sent []time.Duration
	for at := time.Duration(0); at < testColdStart; at += 5 * time.Millisecond {
		_, err := fleet[r.IntN(len(fleet))].Choose(draftRequest(1, int(at), now.Add(at)), now.Add(at))
		if err == nil {
			sent = append(sent, at)
			continue
		}
		var refusal *Refused
		require.ErrorAs(t, err, &refusal)
		require.ErrorIs(t, err, ErrCold)
		require.LessOrEqual(t, refusal.RetryAfter, max(minRetryAfter, testColdStart-at), "callers may come back once the engine is warm")
	}
	require.LessOrEqual(t, mostWithin(sent, time.Second), testColdTolerance)
	require.NotEmpty(t, sent, "the model must stay reachable")
	_, err := fleet[0].Choose(draftRequest(1, 1, now.Add(testColdStart)), now.Add(testColdStart))
	require.NoError(t, err)
}

// A cold engine must not be chosen while a warm one can start the request in time, however idle it is.
func TestColdEngineIsTheLastChoice(t *testing.T) {
	now := time.Now()
	fleet := coldFleet(3, []upstream.Instance{coldUntil(testInstance("engines", "cold"), now.Add(testColdStart)), testInstance("engines", "warm")}, now)
	for kind := range 20 {
		c, err := fleet[0].Choose(draftRequest(kind, 1, now), now)
		require.NoError(t, err)
		require.Equal(t, "warm", c.Instance)
		fleet[0].Started(c, now)
		fleet[0].Finish(c, Succeeded, now)
	}
}

// An evacuated failure domain is given back. Its engines are cold from then on, but their entries tell
// so up to a heartbeat later.
func TestEngineOfAReturnedDomainCountsAsCold(t *testing.T) {
	now := time.Now()
	returned := testInstance("engines", "returned")
	returned.ReturnedAt = now
	s := coldFleet(65, []upstream.Instance{returned}, now)[0]
	require.Contains(t, s.Cold(now.Add(testColdStart/2)), "returned")
	require.Empty(t, s.Cold(now.Add(testColdStart)))
}

// All VMs start at once and know only themselves. Each would take itself for a holder of all shares of
// every cold engine.
func TestVMThatHasJustStartedSendsNothingToColdEngines(t *testing.T) {
	now := time.Now()
	s := coldFleet(1, []upstream.Instance{coldUntil(testInstance("engines", "cold"), now.Add(time.Hour))}, now.Add(time.Minute))[0]
	_, err := s.Choose(draftRequest(1, 1, now), now)
	require.ErrorIs(t, err, ErrCold)
	_, err = s.Choose(draftRequest(1, 1, now), now.Add(fleetSettleTime))
	require.NoError(t, err)
}

// On a deployment without a bound for cold upstreams, a start changes nothing.
func TestColdEngineWithoutABoundIsAvailable(t *testing.T) {
	s, now := testAssigner("engines", 0), time.Now()
	s.SetInstances([]upstream.Instance{coldUntil(testInstance("engines", "cold"), now.Add(time.Hour))})
	_, err := s.Choose(draftRequest(1, 1, now), now)
	require.NoError(t, err)
}
