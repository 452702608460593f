package traffic

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// recordLoad records what a response says about its upstream's own work. A misdirected request may have been answered by another
// instance.
func (j *job) recordLoad(choice *assign.Choice, reply *Reply) {
	if reply.Misdirected {
		return
	}
	if reply.LoadError != nil {
		j.core.logLoadUnusable(choice.Instance, reply.LoadError)
		return
	}
	if !reply.Load.Known {
		return
	}
	recorded := j.core.options.Assigner.RecordLoad(choice, reply.Load, time.Now())
	if recorded.Err != nil {
		j.core.logLoadUnusable(choice.Instance, recorded.Err)
	}
	if recorded.Decisive {
		j.core.logSlowdown(choice.Instance, reply.Load.Slowdown, recorded.Before)
	}
	if recorded.Decisive && j.core.options.ShareSlowdown != nil {
		j.core.options.ShareSlowdown(choice.Instance)
	}
}
