package entry

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/caller"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

// answerJitter is the share by which an address answer's lifetime varies, so
// that an audience that arrived together does not come back together.
const answerJitter = 0.2

// longestAnswer is the longest lifetime that an answer can have.
func longestAnswer(lifetime time.Duration) time.Duration {
	return time.Duration(float64(lifetime) * (1 + answerJitter))
}

// addresses answers with the healthy VMs in random order.
type addresses struct {
	view     func() *membership.View
	lifetime time.Duration
}

// Answer returns the VMs that callers may use and how long to keep the answer.
func (a *addresses) Answer(string) ([]caller.Address, time.Duration) {
	healthy := a.view().Healthy()
	answer := make([]caller.Address, 0, len(healthy))
	for _, i := range rand.Perm(len(healthy)) {
		answer = append(answer, caller.Address{URL: healthy[i].CallerURL, FailureDomain: healthy[i].FailureDomain})
	}
	factor := 1 - answerJitter + 2*answerJitter*rand.Float64()
	return answer, time.Duration(float64(a.lifetime) * factor)
}

// limitsOf returns the teams' limits of a configuration.
func limitsOf(s *configstate.Snapshot) (int64, []ratelimit.Limit) {
	limits := make([]ratelimit.Limit, 0, len(s.Document.Teams))
	for _, t := range s.Document.Teams {
		limits = append(limits, ratelimit.Limit{Team: t.Name, Rate: t.Rate, Burst: t.Burst})
	}
	return s.Version, limits
}

// leavingUpstream reports whether the VM at an address is known to be leaving.
func (p *Process) leavingUpstream(string) bool { return false }
