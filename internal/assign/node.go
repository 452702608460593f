package assign

import (
	"maps"
	"math"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

const (
	// failureSmoothing is the weight of the previous failure rate when an answer is added:
	// about the last five answers decide, so that an instance which fails half of its
	// requests is ejected within a second at ten requests a second.
	failureSmoothing = 0.8
	// ejectionThreshold is the failure rate from which an instance is ejected. A healthy
	// service fails up to 0.15 of some kinds of request.
	ejectionThreshold = 0.45
	// minEjection and maxEjection bound the time of an ejection. It doubles with every
	// consecutive ejection.
	minEjection = 700 * time.Millisecond
	maxEjection = 6 * time.Second
	// slownessSmoothing is the weight of the previous slowness of an instance when an
	// observation is added, maxSlowness the largest observation that is used.
	slownessSmoothing = 0.7
	maxSlowness       = 12.0
	// rejectionBackoff is how long an engine that rejected a request gets no more requests
	// for that model from this VM: about the time until a report of the leader or of the
	// engine gives the reason.
	rejectionBackoff = 300 * time.Millisecond
)

// node is the state of one upstream instance.
type node struct {
	instance *upstream.Instance
	// contents is what an engine holds.
	contents contents

	// local is the work of this VM at the instance, peers that of the other VMs by VM.
	local load
	peers map[string]peerLoad
	// awaitingPermits is the number of this VM's requests that have a place and no permit yet.
	awaitingPermits int

	// failures is the smoothed rate of failed answers.
	failures     float64
	ejectedUntil time.Time
	ejections    int
	// slowness is the factor by which work takes longer than expected.
	slowness float64
	// unanswered holds the choices in flight whose first event has not arrived.
	unanswered map[*Choice]struct{}
	// lastActivity is when the instance last sent anything for a request of this VM.
	lastActivity time.Time
	// sentColdAt is when this VM last sent a request to the instance while it was cold.
	sentColdAt time.Time
	// running counts this VM's requests in flight by model.
	running map[string]int
	// backoffUntil holds by model until when the engine gets no requests, after it has
	// rejected one.
	backoffUntil map[string]time.Time
	// prefills is the prefill work that all VMs gave the engine lately, oldest first.
	// prefillTotal is what this VM gave it since the start, peerPrefillTotals what the
	// other VMs last reported.
	prefills          []prefillEntry
	prefillTotal      time.Duration
	peerPrefillTotals map[string]time.Duration
	// announced is the prefill work of which VMs have told as they sent it.
	announced announced
	// reported is what the upstream's answers say about its own work, nil if they say nothing.
	reported *reported
	// speed is what all VMs have observed of the engine's speed, nil if nothing.
	speed *engineSpeed
	// cached holds the hashes of the prompt prefixes that the engine was sent, with the
	// time of their last use.
	cached map[uint64]time.Time
}

// load is work in flight.
type load struct {
	requests      int
	prefillTokens int
	kvTokens      int
}

type peerLoad struct {
	load
	running map[string]int
	// meanPrefill is the average of the reported prefill backlog, in tokens.
	meanPrefill float64
	receivedAt  time.Time
}

const (
	// meanTimeConstant is the time constant of the average of reported work: a few reports,
	// and shorter than the time in which demand changes.
	meanTimeConstant = 1500 * time.Millisecond
	// minMeanPrefill is the average in tokens below which another VM counts as idle at the
	// instance.
	minMeanPrefill = 50.0
)

// updatedMean returns the average including one more report.
func (r peerLoad) updatedMean(prefill int, now time.Time) float64 {
	if r.receivedAt.IsZero() {
		return float64(prefill)
	}
	weight := math.Exp(-now.Sub(r.receivedAt).Seconds() / meanTimeConstant.Seconds())
	return float64(prefill) + weight*(r.meanPrefill-float64(prefill))
}

// newNode returns a node without work. Its maps are made when they are written: a VM of a large fleet
// sends requests to few of thousands of instances.
func newNode(i *upstream.Instance) *node {
	n := &node{slowness: 1}
	n.update(i)
	return n
}

// put writes to a map that is made on the first write.
func put[K comparable, V any](m *map[K]V, key K, value V) {
	if *m == nil {
		*m = make(map[K]V)
	}
	(*m)[key] = value
}

// update applies a newer description of the same incarnation.
func (n *node) update(i *upstream.Instance) {
	same := n.instance != nil && n.instance.SameContents(i)
	n.instance = i
	if same {
		return
	}
	var items []string
	for _, l := range i.Models {
		items = append(items, l.Model)
		for _, a := range l.Adapters {
			items = append(items, itemName(l.Model, a))
		}
	}
	n.contents.setEngineItems(i.OrdersAccepted, items)
}

func (n *node) key() upstreamrate.Key { return upstreamrate.KeyOf(n.instance) }

func (n *node) holds(item string) bool { return n.contents.items[item] }

// holdsItemOf reports whether the instance holds the model and adapter of a request, if it names any.
func (n *node) holdsItemOf(req Request) bool {
	return req.Model == "" || n.holds(itemName(req.Model, req.Adapter))
}

// responsive reports whether the instance is neither ejected nor unresponsive.
func (n *node) responsive(now time.Time) bool {
	return !now.Before(n.ejectedUntil) && !n.unresponsive(now)
}

// unresponsive reports whether a request has waited far longer than expected while nothing
// at all came from the instance. An instance that has lost power or its network sends no
// reset: every request sent to it would be lost until its entry disappears after three
// heartbeats.
func (n *node) unresponsive(now time.Time) bool {
	for c := range n.unanswered {
		if c.awaitsPermit {
			continue
		}
		allowed := 3*c.Expected + engineSilenceMargin
		if c.request.Model == "" {
			allowed = plainSilenceLimit
		}
		if now.Sub(c.placedAt) > allowed && now.Sub(n.lastActivity) > allowed {
			return true
		}
	}
	return false
}

// mayAnswerInTime reports whether the objective of a request can be met at an unresponsive instance if it is sound.
func (n *node) mayAnswerInTime(req Request, now time.Time) bool {
	resumesBy := n.silentSince(now).Add(maxSoundSilence)
	return now.Before(resumesBy) && resumesBy.Before(req.StartBy)
}

// silentSince returns since when an instance with unanswered requests has sent nothing.
func (n *node) silentSince(now time.Time) time.Time {
	oldest := now
	for c := range n.unanswered {
		if !c.awaitsPermit && c.placedAt.Before(oldest) {
			oldest = c.placedAt
		}
	}
	if n.lastActivity.After(oldest) {
		return n.lastActivity
	}
	return oldest
}

const (
	// maxSoundSilence is how long a sound instance may send nothing: a second or so, by the platform's pages.
	maxSoundSilence = 1500 * time.Millisecond
	// engineSilenceMargin is how long an engine may send nothing, beyond three times the
	// expected time to the first event.
	engineSilenceMargin = 600 * time.Millisecond
	// plainSilenceLimit is the limit for services without engines: some ten times the usual
	// work of 15 to 60 ms, and below the shortest time for which a caller waits.
	plainSilenceLimit = 400 * time.Millisecond
)

// recordSuccess and recordFailure record how an exchange ended. recordFailure reports
// whether the instance is ejected from now on.
func (n *node) recordSuccess(now time.Time) {
	n.lastActivity = now
	n.failures *= failureSmoothing
	if n.failures < ejectionThreshold/2 {
		n.ejections = 0
	}
}

func (n *node) recordFailure(now time.Time) (ejected bool) {
	n.failures = n.failures*failureSmoothing + (1 - failureSmoothing)
	if n.failures < ejectionThreshold {
		return false
	}
	duration := minEjection << min(n.ejections, 4)
	n.ejections++
	n.ejectedUntil = now.Add(min(duration, maxEjection))
	// One more failure after the ejection raises the rate to 0.48 and ejects the instance
	// again; one success lowers it to 0.28.
	n.failures = ejectionThreshold - 0.1
	return true
}

// forgetFailures makes the instance count as one that has not failed.
func (n *node) forgetFailures() { n.failures, n.ejections, n.ejectedUntil = 0, 0, time.Time{} }

// total returns the work of all VMs at the instance. The prefill backlog that others reported is reduced once by what the
// engine has prefilled since: one engine works it off, however many VMs have reported a part of it.
func (n *node) total(now time.Time, perToken time.Duration) load {
	sum := n.local
	for _, r := range n.peers {
		age := now.Sub(r.receivedAt)
		if age > reportLifetime {
			continue
		}
		completed := 0
		if perToken > 0 {
			completed = int(age / perToken)
		}
		sum.prefillTokens += max(0, r.prefillTokens-completed)
		sum.requests += r.requests
		sum.kvTokens += r.kvTokens
	}
	sum.requests = n.correctedRequests(sum.requests, now)
	return sum
}

// meanPeerPrefill returns the average prefill backlog of other VMs at the instance, in
// tokens. Among many VMs a report is up to a second old: the reported work is already
// prefilled, and new work has arrived that is not reported yet. By total alone such an
// engine looks idle and would get as many requests as one that is idle. The average only
// ranks engines; no request is refused because of it.
func (n *node) meanPeerPrefill(now time.Time) int {
	sum := 0.0
	for _, r := range n.peers {
		if now.Sub(r.receivedAt) <= reportLifetime {
			sum += r.meanPrefill
		}
	}
	return int(sum)
}

// totalRunning counts the requests in flight of all VMs by model.
func (n *node) totalRunning(now time.Time) map[string]int {
	sum := make(map[string]int, len(n.running))
	maps.Copy(sum, n.running)
	for _, r := range n.peers {
		if now.Sub(r.receivedAt) > reportLifetime {
			continue
		}
		for model, count := range r.running {
			sum[model] += count
		}
	}
	return sum
}

// reportLifetime is how long another VM's report counts: a few report intervals, so that
// the work of a VM that died does not block an engine.
const reportLifetime = 2 * time.Second

// cachedTokens returns how many leading tokens of a prompt are expected to be in the
// engine's prefix cache.
func (n *node) cachedTokens(req Request, now time.Time) int {
	best := 0
	for _, p := range req.Prefixes {
		at, ok := n.cached[p.Hash]
		if !ok || now.Sub(at) > cacheLifetime {
			break
		}
		best = p.Tokens
	}
	return best
}

const (
	// cacheLifetime is how long prefixes are assumed to stay cached after their last use.
	// An engine evicts the least recently used; at the usual load its cache turns over in
	// some tens of seconds.
	cacheLifetime = 20 * time.Second
	// maxCachedPrefixes bounds the number of prefixes recorded for an engine.
	maxCachedPrefixes = 4096
)

func (n *node) recordPrefixes(req Request, now time.Time) {
	if len(n.cached) > maxCachedPrefixes {
		n.evictPrefixes(now)
	}
	for _, p := range req.Prefixes {
		put(&n.cached, p.Hash, now)
	}
}

func (n *node) evictPrefixes(now time.Time) {
	for hash, at := range n.cached {
		if now.Sub(at) > cacheLifetime/2 {
			delete(n.cached, hash)
		}
	}
	if len(n.cached) > maxCachedPrefixes {
		n.cached = make(map[uint64]time.Time)
	}
}
