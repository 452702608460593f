package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// plainRequest is a request to a service without engines.
func plainRequest(now time.Time) Request {
	return Request{Service: "clerks", StartBy: now.Add(100 * time.Millisecond), Deadline: now.Add(9 * time.Second)}
}

// requestsByService makes a request to a service without engines, and one to a service with engines.
var requestsByService = map[string]func(time.Time) Request{
	"clerks":  plainRequest,
	"engines": func(now time.Time) Request { return draftRequest(0, 0, now) },
}

// An upstream sheds load and asks for no requests; as the idlest of all it would be every request's first choice.
func TestUpstreamThatWantsNoRequestsIsNotChosen(t *testing.T) {
	for service, request := range requestsByService {
		t.Run(service, func(t *testing.T) {
			s, now := testAssigner(service, 2), time.Now()
			first, err := s.Choose(request(now), now)
			require.NoError(t, err)
			s.RecordRetryAfter(first, 3*time.Second, now)
			s.RecordRetryAfter(first, time.Second, now)
			s.Finish(first, Neutral, now)
			later := now.Add(2 * time.Second)
			for range 20 {
				c, err := s.Choose(request(later), later)
				require.NoError(t, err)
				require.NotEqual(t, first.Instance, c.Instance)
				s.Finish(c, Succeeded, later)
			}
			require.Equal(t, 1, s.RetryLaterCount(later))
			require.Zero(t, s.RetryLaterCount(now.Add(3*time.Second)))
		})
	}
}

// The only upstream wants no requests, also after its entry has lapsed and come back; a caller is told when it takes some again.
func TestOnlyUpstreamThatWantsNoRequestsIsWaitedFor(t *testing.T) {
	for service, request := range requestsByService {
		t.Run(service, func(t *testing.T) {
			s, now := testAssigner(service, 1), time.Now()
			c, err := s.Choose(request(now), now)
			require.NoError(t, err)
			s.RecordRetryAfter(c, 1500*time.Millisecond, now)
			s.Finish(c, Neutral, now)
			only := testInstance(service, "i-0")
			s.UpdateInstances(nil, []string{only.ID})
			s.SetInstances(nil)
			s.UpdateInstances([]*upstream.Instance{&only}, nil)

			now = now.Add(500 * time.Millisecond)
			_, err = s.Choose(request(now), now)
			var refused *Refused
			require.ErrorAs(t, err, &refused)
			require.ErrorIs(t, err, ErrRetryLater)
			require.Equal(t, time.Second, refused.RetryAfter)
			require.Equal(t, time.Second, refused.Wait)
			require.True(t, refused.Holdable)

			restarted := only
			restarted.Incarnation++
			s.UpdateInstances([]*upstream.Instance{&restarted}, nil)
			_, err = s.Choose(request(now), now)
			require.NoError(t, err, "a new incarnation has asked for nothing")

			s.UpdateInstances([]*upstream.Instance{&only}, nil)
			now = now.Add(time.Second)
			_, err = s.Choose(request(now), now)
			require.NoError(t, err)
		})
	}
}

// Failing requests eject an upstream, and the last resort is an ejected one; it must not be one that wants no requests.
func TestLastResortIsNoUpstreamThatWantsNoRequests(t *testing.T) {
	s, now := testAssigner("clerks", 1), time.Now()
	for range 6 {
		c, err := s.Choose(plainRequest(now), now)
		require.NoError(t, err)
		s.RecordRetryAfter(c, 200*time.Millisecond, now)
		s.Finish(c, Failed, now)
		_, err = s.Choose(plainRequest(now), now.Add(100*time.Millisecond))
		require.ErrorIs(t, err, ErrRetryLater)
		now = now.Add(200 * time.Millisecond)
	}
}
