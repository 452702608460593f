package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

// bytesPerToken is how many bytes of JSON text make a token on average. A wrong
// estimate becomes a refund or debt when the request is settled.
const bytesPerToken = 4

func promptTokens(c *completionRequest) int64 {
	return int64(len(c.prompt())/bytesPerToken) + 1
}

func estimateTokens(c *completionRequest) int64 {
	return promptTokens(c) + c.MaxTokens*c.Answers
}

// limitProblem says what a refusal by the limiter means to the caller.
func limitProblem(err error) *Problem {
	limited := new(ratelimit.LimitedError)
	if errors.As(err, &limited) && limited.Cause == ratelimit.CauseNoAuthority {
		// The team may be well inside its rate: it is this VM that may not admit.
		return newProblem(http.StatusServiceUnavailable, TypeNotReady, NotRun, limited.Error()).retryAfter(limited.RetryAfter)
	}
	if errors.As(err, &limited) {
		return newProblem(http.StatusTooManyRequests, TypeRateLimited, NotRun, limited.Error()).retryAfter(limited.RetryAfter)
	}
	if errors.Is(err, ratelimit.ErrLargerThanBurst) {
		return newProblem(http.StatusRequestEntityTooLarge, TypeExceedsBurst, NotRun, err.Error())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return newProblem(http.StatusGatewayTimeout, TypeDeadline, NotRun, "the deadline passed before the team's rate allowed the request")
	}
	return newProblem(http.StatusServiceUnavailable, TypeOverloaded, NotRun, err.Error()).retryAfter(time.Second)
}
