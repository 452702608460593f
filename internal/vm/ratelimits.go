package vm

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// addRateLimits adds to a report the rate limits of upstreams that the receiver may lack: those that
// have changed since both VMs last had the same, unless the receiver's last report shows that it has
// the same now. It must be called with the lock held.
func (m *member) addRateLimits(out *peerpb.VMReport, limits *upstreamrate.Snapshot) {
	out.RateLimitsDigest = limits.Digest
	if m.rateLimitsDigest == limits.Digest {
		m.rateLimitsVersion = limits.Version
		return
	}
	for _, e := range limits.Since(m.rateLimitsVersion) {
		out.RateLimits = append(out.RateLimits, rateLimitToProto(e))
	}
}

// applyRateLimits applies the rate limits of upstreams that another VM tells.
func (f *fleet) applyRateLimits(limits []*peerpb.RateLimit, peer string) {
	now := time.Now()
	for _, in := range limits {
		if in == nil || in.Revision == 0 {
			continue
		}
		e := rateLimitFromProto(in)
		if f.process.assigner.MergeRateLimit(e.Key, e.Limit, now) {
			f.process.log.Info().Str("event", "upstream_rate_limit").Str("instance", e.Instance).Bool("named", e.Rated()).
				Float64("per_second", e.PerSecond).Bool("brittle", e.Brittle).Int("max_rejections", e.MaxRejections).Str("peer", peer).Send()
		}
	}
}

func rateLimitToProto(e upstreamrate.Entry) *peerpb.RateLimit {
	return &peerpb.RateLimit{
		Instance: e.Instance, Incarnation: e.Incarnation, Revision: e.Revision, Ended: e.Ended, PerSecond: e.PerSecond,
		Brittle: e.Brittle, MaxRejections: uint32(e.MaxRejections),
	}
}

func rateLimitFromProto(in *peerpb.RateLimit) upstreamrate.Entry {
	return upstreamrate.Entry{
		Key: upstreamrate.Key{Instance: in.GetInstance(), Incarnation: in.GetIncarnation()},
		Limit: upstreamrate.Limit{
			PerSecond: in.GetPerSecond(), Brittle: in.GetBrittle(), MaxRejections: int(in.GetMaxRejections()),
			Ended: in.GetEnded(), Revision: in.GetRevision(),
		},
	}
}
