package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

func testCatalog() *catalog.Catalog {
	c := catalog.New(1, nil, nil)
	c.Services["engines"] = &catalog.Service{Name: "engines", Engine: &catalog.EngineSpec{
		BatchSlots: 64, KVTokens: 232_000, Models: map[string]catalog.Model{"m": {Name: "m"}},
	}}
	return c
}

func testInstance(service, id string, adapters ...string) upstream.Instance {
	return upstream.Instance{
		ID: id, Service: service, Address: id, Slots: 6, Models: []upstream.LoadedModel{{Model: "m", Adapters: adapters}},
	}
}

// otherVMs returns the names of all but one of n VMs.
func otherVMs(n int) []string {
	var out []string
	for i := range n - 1 {
		out = append(out, fmt.Sprintf("vm-%d", i))
	}
	return out
}

func testAssigner(service string, n int) *Assigner {
	s := New()
	s.SetCatalog(testCatalog())
	var all []upstream.Instance
	for i := range n {
		all = append(all, testInstance(service, fmt.Sprintf("i-%d", i)))
	}
	s.SetInstances(all)
	return s
}

// draftRequest has a prompt of 9,190 tokens that shares its prefix with others of its kind.
func draftRequest(kind, unique int, now time.Time) Request {
	parts := Prefixes("m", "", []string{"system", fmt.Sprint("kind", kind), fmt.Sprint("own", unique)}, []int{2520, 3780, 2890})
	return Request{
		Service: "engines", Model: "m", Prefixes: parts, PromptTokens: 9190, OutputTokens: 60,
		StartBy: now.Add(800 * time.Millisecond), Deadline: now.Add(6 * time.Second), Urgency: 1,
	}
}

// Several VMs send prompts with the same prefix. If each chose an engine by what it sent
// itself, every engine would prefill the same six thousand tokens, a sixth of a second
// each. The VMs must choose the same engine without exchanging reports.
func TestVMsPreferTheSameEngineForASharedPrefix(t *testing.T) {
	now := time.Now()
	preferred := map[string]bool{}
	for kind := range 40 {
		var first string
		for vm := range 5 {
			c, err := testAssigner("engines", 8).Choose(draftRequest(kind, vm, now), now)
			require.NoError(t, err)
			if vm == 0 {
				first = c.Instance
			}
			require.Equal(t, first, c.Instance)
		}
		preferred[first] = true
	}
	require.Greater(t, len(preferred), 5, "prompts of 40 kinds must be spread over most of 8 engines")
}

// Prompts of one kind arrive faster than one engine prefills them. They must go to other
// engines rather than wait longer than the prefill of the shared prefix takes.
func TestPromptsSpillOverWhenPreferredEngineIsBusy(t *testing.T) {
	s, now := testAssigner("engines", 4), time.Now()
	used := map[string]int{}
	for own := range 8 {
		c, err := s.Choose(draftRequest(1, own, now), now)
		require.NoError(t, err)
		used[c.Instance]++
	}
	require.Len(t, used, 4)
}

// Far more prompts arrive than the engines can start in time. The excess must be refused at
// once with a retry delay, since prefilling it would delay the next prompts too. What was
// accepted can still start within its objective.
func TestPromptsThatWouldStartTooLateAreRefused(t *testing.T) {
	s, now := testAssigner("engines", 2), time.Now()
	accepted := 0
	for own := range 100 {
		c, err := s.Choose(draftRequest(own, own, now), now)
		if err == nil {
			accepted++
			require.LessOrEqual(t, c.Expected, 800*time.Millisecond)
			continue
		}
		var refused *Refused
		require.ErrorAs(t, err, &refused)
		require.ErrorIs(t, err, ErrOverloaded)
		require.Positive(t, refused.RetryAfter)
		require.LessOrEqual(t, refused.RetryAfter, 2*time.Second, "the retry delay must be at most a third of the caller's time")
	}
	require.Greater(t, accepted, 2)
	require.Less(t, accepted, 20)
}

// An upstream loses power or its network: no reset comes, and requests to it stay without
// an answer. After a while it must get no more requests, long before its entry is gone.
func TestUnresponsiveUpstreamGetsNoRequests(t *testing.T) {
	s, now := testAssigner("clerks", 3), time.Now()
	req := Request{Service: "clerks", StartBy: now.Add(100 * time.Millisecond), Deadline: now.Add(time.Second)}
	var stuck *Choice
	for stuck == nil {
		c, err := s.Choose(req, now)
		require.NoError(t, err)
		if c.Instance == "i-1" {
			stuck = c
			continue
		}
		s.Started(c, now)
		s.Finish(c, Succeeded, now)
		req.StartBy = req.StartBy.Add(time.Microsecond)
	}
	now = now.Add(plainSilenceLimit + time.Millisecond)
	for i := range 50 {
		req.StartBy = now.Add(time.Duration(i) * time.Microsecond)
		c, err := s.Choose(req, now)
		require.NoError(t, err)
		require.NotEqual(t, "i-1", c.Instance)
		s.Started(c, now)
		s.Finish(c, Succeeded, now)
	}
}

// The only upstream of a service is silent for a second and goes on: requests that could be answered in time were rejected.
func TestOnlyUpstreamGetsRequestsWhileItMayBeSound(t *testing.T) {
	began := time.Now()
	for name, c := range map[string]struct {
		silence, objective time.Duration
		allowed, sent      bool
	}{
		"in time":              {time.Second, 2 * time.Second, true, true},
		"too late":             {time.Second, 400 * time.Millisecond, true, false},
		"silent for long":      {2 * time.Second, 2 * time.Second, true, false},
		"may not run twice":    {time.Second, 2 * time.Second, false, false},
		"not yet unresponsive": {300 * time.Millisecond, 100 * time.Millisecond, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testAssigner("clerks", 1)
			_, err := s.Choose(Request{Service: "clerks", StartBy: began.Add(time.Second), Deadline: began.Add(time.Second)}, began)
			require.NoError(t, err)
			now := began.Add(c.silence)
			_, err = s.Choose(Request{Service: "clerks", StartBy: now.Add(c.objective), Deadline: now.Add(6 * time.Second), AllowUnresponsive: c.allowed}, now)
			require.Equal(t, c.sent, err == nil)
		})
	}
}

// A replica fails half of its requests while its health checks succeed. It must be ejected
// after a few failures and tried again later.
func TestFailingUpstreamIsEjected(t *testing.T) {
	s, now := testAssigner("clerks", 2), time.Now()
	failed := 0
	for i := range 400 {
		at := now.Add(time.Duration(i) * 20 * time.Millisecond)
		c, err := s.Choose(Request{Service: "clerks", StartBy: at.Add(time.Second), Deadline: at.Add(time.Second)}, at)
		require.NoError(t, err)
		s.Started(c, at)
		if c.Instance == "i-0" {
			failed++
			s.Finish(c, Failed, at)
			continue
		}
		s.Finish(c, Succeeded, at)
	}
	require.Less(t, failed, 40)
	require.Positive(t, failed)
}

// All instances of a service have failed lately. A try may succeed, a refusal cannot.
func TestOnlyUpstreamIsUsedWhileEjected(t *testing.T) {
	s, now := testAssigner("clerks", 1), time.Now()
	for range 10 {
		c, err := s.Choose(Request{Service: "clerks", StartBy: now, Deadline: now.Add(time.Second)}, now)
		require.NoError(t, err)
		s.Finish(c, Failed, now)
	}
}

// An engine's own description is older than the leader's last order. It must not remove the
// adapter that has just been loaded.
func TestStaleDescriptionDoesNotRemoveAdapter(t *testing.T) {
	s, now := testAssigner("engines", 1), time.Now()
	s.SetContents("i-0", Contents{Orders: 3, Items: []string{"m", "m/a1"}})
	s.SetInstances([]upstream.Instance{testInstance("engines", "i-0")})
	req := draftRequest(1, 1, now)
	req.Adapter = "a1"
	_, err := s.Choose(req, now)
	require.NoError(t, err)
	req.Adapter = "a2"
	_, err = s.Choose(req, now)
	require.ErrorIs(t, err, ErrAdapterNotLoaded)
	req.Model = "other"
	_, err = s.Choose(req, now)
	require.ErrorIs(t, err, ErrNotLoaded)
}

// The leader orders an engine to unload a model that requests still use. The unload waits
// for them, and meanwhile the engine still lists the model in its own description, which
// counts the order. The engine rejects new requests for the model, so each that is sent
// there comes back late and uses up the retry budget.
func TestModelThatIsBeingUnloadedGetsNoRequests(t *testing.T) {
	s, now := testAssigner("engines", 1), time.Now()
	holds := func() bool {
		_, err := s.Choose(draftRequest(1, 1, now), now)
		return err == nil
	}
	describe := func(orders int64, models ...string) {
		i := testInstance("engines", "i-0")
		i.OrdersAccepted = orders
		i.Models = nil
		for _, m := range models {
			i.Models = append(i.Models, upstream.LoadedModel{Model: m})
		}
		s.SetInstances([]upstream.Instance{i})
	}
	describe(3, "m", "other")
	require.True(t, holds())
	s.SetContents("i-0", Contents{Orders: 3, Items: []string{"other"}, Leaving: []string{"m"}})
	require.False(t, holds(), "the model is listed as leaving, the unload is not ordered yet")
	describe(4, "m", "other")
	require.False(t, holds(), "the engine has accepted the unload and waits for running requests")
	s.SetContents("i-0", Contents{Orders: 4, Items: []string{"other"}, Leaving: []string{"m"}})
	require.False(t, holds())
	describe(6, "m", "other")
	require.True(t, holds(), "later orders have loaded the model again")
}

// An engine rejects a request that it was expected to accept: it is full of requests of
// other VMs, or about to unload the model. The next requests must go elsewhere for a moment
// rather than be rejected one by one.
func TestEngineThatRejectsRequestIsBackedOff(t *testing.T) {
	s, now := testAssigner("engines", 2), time.Now()
	c, err := s.Choose(draftRequest(1, 1, now), now)
	require.NoError(t, err)
	s.Finish(c, Neutral, now)
	s.RecordRejection(c.Instance, "m", now)
	next, err := s.Choose(draftRequest(1, 1, now), now)
	require.NoError(t, err)
	require.NotEqual(t, c.Instance, next.Instance)
	s.RecordRejection(next.Instance, "m", now)
	_, err = s.Choose(draftRequest(1, 1, now), now)
	require.ErrorIs(t, err, ErrOverloaded, "while both engines are in backoff the request must be refused, not sent")
	later := now.Add(rejectionBackoff)
	_, err = s.Choose(draftRequest(1, 1, later), later)
	require.NoError(t, err)
}

// The only engine with a model has failed a request that names no adapter. If Choose
// reported a missing adapter, the leader could do nothing about it, and the caller would
// wait in vain.
func TestNoAdapterErrorWhenEveryEngineFailedTheRequest(t *testing.T) {
	s, now := testAssigner("engines", 1), time.Now()
	req := draftRequest(1, 1, now)
	req.Avoid = map[string]bool{"i-0": true}
	_, err := s.Choose(req, now)
	require.ErrorIs(t, err, ErrNoUpstream)
}

// Other VMs keep one of two engines busy. Each report is some hundred milliseconds old and
// contains work that has been done since; new work has arrived instead. If that engine
// counted as idle, it would get as many requests as the idle one, and they would wait.
func TestEngineBusyWithPeerRequestsIsNotIdleBetweenReports(t *testing.T) {
	s, now := testAssigner("engines", 2), time.Now()
	for i := range 12 {
		busy := map[string]Load{"i-0": {Requests: 2, PrefillTokens: 9000}}
		if i%3 == 2 {
			busy = nil
		}
		s.SetPeerLoads("b", busy, now)
		now = now.Add(250 * time.Millisecond)
	}
	for own := range 3 {
		req := draftRequest(own, own, now)
		req.Prefixes, req.PromptTokens = nil, 600
		c, err := s.Choose(req, now)
		require.NoError(t, err)
		require.Equal(t, "i-1", c.Instance)
	}
	for range 40 {
		s.SetPeerLoads("b", nil, now)
		now = now.Add(250 * time.Millisecond)
	}
	require.Zero(t, s.Totals([]string{"i-0"}, now)["i-0"].PrefillTokens, "the other VM reports no work any more")
}

// Sixty VMs have just received the same report about sixteen engines, and each has one chat
// request to send. If all ranked the engines alike, they would all choose the same engine,
// where most requests would wait while other engines are idle.
func TestManyVMsDoNotAllChooseTheSameEngine(t *testing.T) {
	now := time.Now()
	got := map[string]int{}
	for vm := range 60 {
		s := testAssigner("engines", 16)
		s.SetFleet("self", otherVMs(60), time.Now())
		busy := map[string]Load{}
		for i := range 15 {
			busy[fmt.Sprint("i-", i)] = Load{Requests: 1, PrefillTokens: 500}
		}
		s.SetPeerLoads("hub", busy, now)
		req := draftRequest(vm, vm, now)
		req.Prefixes = Prefixes("m", "", []string{fmt.Sprint("own", vm)}, []int{600})
		req.PromptTokens = 600
		c, err := s.Choose(req, now)
		require.NoError(t, err)
		got[c.Instance]++
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	require.Less(t, most, 20, "requests by engine: %v", got)
}

// A caller requests a model that is not in the configuration. It can never be loaded, so
// the refusal comes at once; a request for a model that can be loaded is held.
func TestRequestsAreHeldOnlyForLoadableModels(t *testing.T) {
	s, now := testAssigner("engines", 1), time.Now()
	s.SetContents("i-0", Contents{Orders: 1})
	for model, holdable := range map[string]bool{"m": true, "nobody-knows": false} {
		req := draftRequest(1, 1, now)
		req.Model = model
		_, err := s.Choose(req, now)
		var refused *Refused
		require.ErrorAs(t, err, &refused)
		require.ErrorIs(t, err, ErrNotLoaded)
		require.Equal(t, holdable, refused.Holdable, model)
	}
}

func TestFinishReleasesPlaces(t *testing.T) {
	s, now := testAssigner("engines", 3), time.Now()
	var all []*Choice
	for own := range 8 {
		req := draftRequest(own, own, now)
		req.Adapter = ""
		c, err := s.Choose(req, now)
		require.NoError(t, err)
		all = append(all, c)
	}
	for i, c := range all {
		if i%2 == 0 {
			s.Started(c, now)
		}
		s.Finish(c, Neutral, now)
		s.Finish(c, Succeeded, now)
	}
	require.Empty(t, s.Loads())
	require.Empty(t, s.InUse())
	for _, l := range s.Totals([]string{"i-0", "i-1", "i-2"}, now) {
		require.Empty(t, l.Running)
	}
}

func BenchmarkChoose(b *testing.B) {
	s, now := testAssigner("engines", 18), time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, err := s.Choose(draftRequest(i%76, i, now), now)
		if err != nil {
			continue
		}
		s.Started(c, now.Add(100*time.Millisecond))
		s.Finish(c, Succeeded, now)
	}
}

// Guards against reports that take time for each instance of the fleet.
func TestReportVisitsOnlyInstancesWithWorkOfItsVM(t *testing.T) {
	s, now := testAssigner("engines", 40), time.Now()
	s.SetPeerLoads("b", map[string]Load{"i-0": {Requests: 1}, "i-7": {Requests: 2, PrefillTokens: 9000}}, now)
	s.SetPeerLoads("c", map[string]Load{"i-7": {Requests: 1}}, now)
	require.Len(t, s.peerWork["b"], 2)
	s.SetPeerLoads("b", nil, now.Add(time.Millisecond))
	require.Len(t, s.peerWork["b"], 1, "the mean backlog of i-7 is not yet negligible")
	s.SetPeerLoads("b", nil, now.Add(20*meanTimeConstant))
	require.NotContains(t, s.peerWork, "b")
	require.Equal(t, 1, s.Totals([]string{"i-7"}, now)["i-7"].Requests)
}
