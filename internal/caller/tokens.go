package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

// bytesPerToken is the assumed average number of bytes of JSON text per token. The
// error of an estimate becomes a refund or a debt when the request is settled.
const bytesPerToken = 4

// estimatePromptTokens returns the estimated length of the prompt, at least 1.
func estimatePromptTokens(c *completionRequest) int64 {
	return int64(len(c.prompt())/bytesPerToken) + 1
}

// estimateTokens returns the tokens to charge in advance: the estimated prompt and the
// maximum length of all choices.
func estimateTokens(c *completionRequest) int64 {
	return estimatePromptTokens(c) + c.MaxTokens*c.Choices
}

// limitProblem converts a refusal by the rate limiter.
func limitProblem(err error) *Problem {
	limited := new(ratelimit.LimitedError)
	if errors.As(err, &limited) && limited.Cause == ratelimit.CauseNoAuthority {
		// The team may be well within its rate: this VM has no authority to admit.
		return newProblem(http.StatusServiceUnavailable, TypeNotReady, NotRun, limited.Error()).retryAfter(limited.RetryAfter)
	}
	if errors.As(err, &limited) {
		return newProblem(http.StatusTooManyRequests, TypeRateLimited, NotRun, limited.Error()).retryAfter(limited.RetryAfter)
	}
	if errors.Is(err, ratelimit.ErrLargerThanBurst) {
		return newProblem(http.StatusRequestEntityTooLarge, TypeExceedsBurst, NotRun, err.Error())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return newProblem(http.StatusGatewayTimeout, TypeDeadlineExceeded, NotRun, "the deadline passed before the team's rate allowed the request")
	}
	return newProblem(http.StatusServiceUnavailable, TypeOverloaded, NotRun, err.Error()).retryAfter(time.Second)
}
