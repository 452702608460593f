package traffic

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// recordRateLimit records what a response says about the limits of its upstream. A misdirected request may have been answered
// by another instance. Only a signed response shows that its upstream names no limit: others need not come from the upstream
// itself.
func (j *job) recordRateLimit(choice *assign.Choice, reply *Reply) {
	if reply.Misdirected {
		return
	}
	limit := reply.RateLimit
	if reply.RateLimitError != nil {
		limit.RateUnknown = true
		j.core.logRateLimitUnreadable(choice.Instance, reply.RateLimitError)
	}
	if !reply.Signed {
		limit.RateUnknown, limit.BrittleUnknown = true, true
	}
	if !j.core.options.Assigner.RecordRateLimit(choice, limit, time.Now()) {
		return
	}
	j.core.logRateLimit(choice.Instance, limit)
	if reply.BrittleError != nil {
		j.core.logBrittleUnreadable(choice.Instance, reply.BrittleError)
	}
}
