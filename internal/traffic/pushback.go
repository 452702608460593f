package traffic

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// recordPushback records what a response says about the requests that its upstream takes from now on.
func (j *job) recordPushback(choice *assign.Choice, instance *upstream.Instance, reply *Reply) {
	if reply.PushbackError != nil {
		j.core.logRetryAfterUnreadable(instance.ID, reply.PushbackError)
	}
	if reply.Pushback.Leaving {
		j.core.logLeaving(j.request.ID, instance)
		j.core.options.RecordLeaving(instance)
	}
	if reply.Pushback.RetryAfter > 0 {
		j.core.logRetryAfter(j.request.ID, instance.ID, reply.Pushback.RetryAfter)
		j.core.options.Assigner.RecordRetryAfter(choice, reply.Pushback.RetryAfter, time.Now())
	}
}
