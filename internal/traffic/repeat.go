package traffic

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// This file decides whether and where a request is sent again.

func (j *job) avoidInstance(id string) {
	if j.avoid == nil {
		j.avoid = make(map[string]bool)
	}
	j.avoid[id] = true
}

// noOtherUpstream are the reasons for which a request that one upstream has failed finds no other one.
var noOtherUpstream = []error{assign.ErrNoUpstream, assign.ErrVersionNotServed, assign.ErrNotLoaded, assign.ErrAdapterNotLoaded}

// readmitBroken lets the request return to upstreams whose connection broke, if they have not ended and err says that no
// other one can take it. It reports whether there are any.
func (j *job) readmitBroken(err error) bool {
	if !slices.ContainsFunc(noOtherUpstream, func(cause error) bool { return errors.Is(err, cause) }) {
		return false
	}
	readmitted := len(j.brokeAlive) > 0
	for id := range j.brokeAlive {
		delete(j.avoid, id)
	}
	j.brokeAlive = nil
	return readmitted
}

// mayRepeat decides whether a request is sent again. A request that may have run is
// repeated only if the route allows it. Every repeat is charged to the retry budget, except
// after a send that did not reach its upstream while no earlier one may have run.
func (j *job) mayRepeat(kind failureKind) bool {
	if j.answerBegun || j.sends >= maxSends || j.timeLeft() < minTimeLeft {
		return false
	}
	if _, _, in := j.inQuarantine(); in {
		return false
	}
	if kind == notSent && j.possibleRuns == 0 {
		// Further connections would fail as well, and the caller can turn to another VM.
		return !j.notForwarded || !j.core.options.Reach.Cut(j.service)
	}
	if j.possibleRuns > 0 && (!j.route.Repeatable() || j.possibleRuns >= j.route.Attempts) {
		return false
	}
	return j.core.options.Budget.AllowRetry(j.service, j.core.options.VMs(), time.Now())
}
