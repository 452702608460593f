package traffic

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// recordRateLimit records what a response says about the rate limit of its upstream. A misdirected
// request may have been answered by another instance. Only a signed response shows that its upstream
// names no limit: others need not come from the upstream itself.
func (j *job) recordRateLimit(choice *assign.Choice, reply *Reply) {
	limit := reply.RateLimit
	switch {
	case reply.Misdirected:
		return
	case reply.RateLimitError != nil:
		j.core.logRateLimitUnreadable(choice.Instance, reply.RateLimitError)
		return
	case !limit.Named && !limit.Brittle && !reply.Signed:
		return
	}
	if !j.core.options.Assigner.RecordRateLimit(choice, limit, time.Now()) {
		return
	}
	j.core.logRateLimit(choice.Instance, limit)
	if reply.BrittleError != nil {
		j.core.logBrittleUnreadable(choice.Instance, reply.BrittleError)
	}
}
