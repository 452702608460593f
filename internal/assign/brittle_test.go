package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// An upstream that is not chosen while others are idle, since it was slow or failed, kept its service brittle.
func TestServiceCeasesToBeBrittleWithoutLoad(t *testing.T) {
	for _, model := range []string{"", "m"} {
		t.Run("model "+model, func(t *testing.T) {
			s, now := New(), time.Now()
			s.SetCatalog(testCatalog())
			s.SetInstances([]upstream.Instance{testInstance("engines", "a"), testInstance("engines", "b"), testInstance("engines", "c")})
			send := func(avoid map[string]bool, brittle bool, took time.Duration, outcome Outcome) string {
				req := draftRequest(1, 1, now)
				req.Model, req.Avoid = model, avoid
				c, err := s.Choose(req, now)
				require.NoError(t, err)
				s.RecordPermit(c, now)
				now = now.Add(took)
				s.RecordRateLimit(c, upstream.RateLimit{Brittle: brittle, MaxRejections: 1}, now)
				s.Started(c, now)
				s.Finish(c, outcome, now)
				return c.Instance
			}
			send(map[string]bool{"b": true, "c": true}, true, 100*time.Millisecond, Succeeded)
			send(map[string]bool{"a": true, "c": true}, true, 100*time.Millisecond, Succeeded)
			send(map[string]bool{"a": true, "b": true}, true, time.Second, Failed)
			require.Len(t, s.BrittleServices(), 1)
			var sent []string
			for range 3 {
				sent = append(sent, send(nil, false, 100*time.Millisecond, Succeeded))
			}
			require.ElementsMatch(t, []string{"a", "b", "c"}, sent)
			require.Empty(t, s.BrittleServices())
		})
	}
}

// An upstream that goes on saying that it is brittle after others have ceased would be preferred for good.
func TestUpstreamThatStaysBrittleIsNotPreferredOnceItHasSaidSo(t *testing.T) {
	s, now := testAssigner("clerks", 3), time.Now()
	sent := make(map[string]int)
	send := func(brittle func(instance string) bool) {
		c, err := s.Choose(plainRequest(now), now)
		require.NoError(t, err)
		s.RecordPermit(c, now)
		now = now.Add(10 * time.Millisecond)
		s.RecordRateLimit(c, upstream.RateLimit{Brittle: brittle(c.Instance), MaxRejections: 1}, now)
		s.Started(c, now)
		s.Finish(c, Succeeded, now)
		sent[c.Instance]++
	}
	for len(sent) < 3 {
		send(func(string) bool { return true })
	}
	clear(sent)
	for range 60 {
		send(func(instance string) bool { return instance == "i-0" })
	}
	require.Less(t, sent["i-0"], 40)
	require.Len(t, s.BrittleServices(), 1)
}

// All requests that were rejected in a burst came back at the same time, and were rejected again.
func TestRequestsRejectedForWantOfRoomComeBackSpreadInTime(t *testing.T) {
	s, now := testAssigner("clerks", 1), time.Now()
	c, err := s.Choose(plainRequest(now), now)
	require.NoError(t, err)
	s.RecordRateLimit(c, upstream.RateLimit{Brittle: true, MaxRejections: 1}, now)
	s.RecordDenial(&Choice{Key: c.Key, LastChoice: true, node: c.node, done: true}, 10*time.Millisecond, now)
	delays := make(map[time.Duration]int)
	for i := range 100 {
		_, err := s.Choose(plainRequest(now.Add(time.Duration(i)*time.Microsecond)), now)
		var refused *Refused
		require.ErrorAs(t, err, &refused)
		require.ErrorIs(t, err, ErrNoRoom)
		require.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
		require.Less(t, refused.RetryAfter, 2*minRetryAfter)
		delays[refused.RetryAfter.Truncate(minRetryAfter/5)]++
	}
	require.Len(t, delays, 5)
}
