package entry

import (
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
)

// teamLimits returns the version and the teams' limits of a configuration.
func teamLimits(s *configstate.Snapshot) (int64, []ratelimit.Limit) {
	limits := make([]ratelimit.Limit, 0, len(s.Document.Teams))
	for _, t := range s.Document.Teams {
		limits = append(limits, ratelimit.Limit{Team: t.Name, Rate: t.Rate, Burst: t.Burst})
	}
	return s.Version, limits
}
