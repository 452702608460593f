package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const (
	// engineVersions is the number of software versions that engines serve side by side, versionedEngines that of engines.
	engineVersions   = 3
	versionedEngines = 6
	// versionedEvents is the number of events of a stream, cutsPerHundred how many of 100 events break their stream.
	versionedEvents = 10
	cutsPerHundred  = 6
	// maxResumptions is how often a caller resumes a stream.
	maxResumptions = 4
)

// versions is the part of a world with engines of several software versions. Their streams break at random, and callers
// resume them.
type versions struct {
	// cutting is set while streams break.
	cutting atomic.Bool

	mu sync.Mutex
	r  *rand.Rand
	// streams holds the streams of callers by the attempt that brought the first event.
	streams            map[string]*callerStream
	resumed, continued int
}

// callerStream is a stream as its caller has received it.
type callerStream struct {
	call       standin.Call
	events     int
	versions   map[string]bool
	wrongOrder bool
}

func newVersions(seed uint64) *versions {
	v := &versions{r: rand.New(rand.NewPCG(seed, 7)), streams: make(map[string]*callerStream)}
	v.cutting.Store(true)
	return v
}

// prepare makes an engine one of several versions.
func (v *versions) prepare(engine *standin.Replica, index int) {
	engine.Version, engine.NameVersion, engine.Events = versionName(index), true, versionedEvents
	engine.CutEvent = func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.cutting.Load() && v.r.IntN(100) < cutsPerHundred
	}
}

func versionName(index int) string { return fmt.Sprintf("v%d", 1+index%engineVersions) }

// upgrade restarts an engine under its ID at another version.
func (v *versions) upgrade(engine *standin.Replica) {
	v.mu.Lock()
	version := versionName(v.r.IntN(engineVersions))
	v.mu.Unlock()
	engine.RestartAs(version, time.Now().UnixMilli())
}

var versionedEvent = regexp.MustCompile(`id: (\d+)\ndata: word\d+ at (\S+) for (\S+)\n\n`)

// record records the events of an attempt. It returns the call that resumes the stream, false if it has none or is whole.
func (v *versions) record(a *attempt) (resume standin.Call, broken bool) {
	first := a.ID
	if a.Resumes != "" {
		first = a.Resumes
	}
	found := versionedEvent.FindAllStringSubmatch(a.answer.Body, -1)
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.streams[first]
	if s == nil {
		s = &callerStream{call: a.Call, versions: make(map[string]bool)}
		v.streams[first] = s
	}
	for _, event := range found {
		id, _ := strconv.Atoi(event[1])
		s.wrongOrder = s.wrongOrder || id != s.events+1 || event[3] != a.ID
		s.events = id
		s.versions[event[2]] = true
	}
	if a.Resumes != "" {
		v.resumed++
	}
	if a.Resumes != "" && len(found) > 0 {
		v.continued++
	}
	if s.events == 0 || s.events == versionedEvents {
		return standin.Call{}, false
	}
	resume = s.call
	resume.LastEvent, resume.Resumes = strconv.Itoa(s.events), first
	return resume, true
}

// resumeStream has a caller resume a stream of a draft that has broken off, at VMs of its choice.
func (l *load) resumeStream(ctx context.Context, r *rand.Rand, client *http.Client, known []*vm, a *attempt) {
	for range maxResumptions {
		call, broken := l.w.versions.record(a)
		if !broken || ctx.Err() != nil || a.kind != draft {
			return
		}
		call.ID = fmt.Sprintf("id%x", l.lastID.Add(1))
		next := &attempt{Call: call, kind: a.kind, team: a.team, vm: pick(r, known), sent: time.Now(), onlyPlannedStops: l.onlyPlannedStops.Load()}
		l.send(ctx, client, next)
		a = next
	}
	l.w.versions.record(a)
}

// check reports streams that hold events of several versions.
func (v *versions) check(o *oracle) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for first, s := range v.streams {
		if len(s.versions) > 1 {
			o.reportViolation("one version", "the stream of %s holds events of %d versions", first, len(s.versions))
		}
		if s.wrongOrder {
			o.reportViolation("order", "the stream of %s lacks events, or has some twice", first)
		}
	}
}

// completeFrom reports whether a body holds all events of an attempt's stream after the one that its caller had.
func (a *attempt) completeFrom() bool {
	want, _ := strconv.Atoi(a.LastEvent)
	whole := ""
	for _, event := range versionedEvent.FindAllStringSubmatch(a.answer.Body, -1) {
		want++
		if event[1] != strconv.Itoa(want) || event[3] != a.ID {
			return false
		}
		whole += event[0]
	}
	return want == versionedEvents && whole == a.answer.Body
}
