package caller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

// A VM without authority over a part of the limits refuses a team that is within its
// rate. If it reported rate_limited, the caller would wait instead of using another VM.
func TestLimitProblemSeparatesTeamRateFromVMAuthority(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		status int
		kind   ProblemType
	}{
		{"over its rate", &ratelimit.LimitedError{Cause: ratelimit.CauseOverRate, RetryAfter: time.Second}, http.StatusTooManyRequests, TypeRateLimited},
		{"part short", &ratelimit.LimitedError{Cause: ratelimit.CausePartShort, RetryAfter: time.Second}, http.StatusTooManyRequests, TypeRateLimited},
		{"no authority", &ratelimit.LimitedError{Cause: ratelimit.CauseNoAuthority, RetryAfter: time.Second}, http.StatusServiceUnavailable, TypeNotReady},
		{"larger than the burst", ratelimit.ErrLargerThanBurst, http.StatusRequestEntityTooLarge, TypeExceedsBurst},
		{"deadline", context.DeadlineExceeded, http.StatusGatewayTimeout, TypeDeadlineExceeded},
		{"stopped", ratelimit.ErrStopped, http.StatusServiceUnavailable, TypeOverloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := limitProblem(c.err)
			require.Equal(t, c.status, p.Status)
			require.Equal(t, c.kind, p.Type)
			require.Equal(t, NotRun, p.Outcome)
		})
	}
}
