package admit

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	maxQueued = 24
	maxTokens = 10
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	weights = map[string]float64{"a": 1, "b": 1, "c": 3}
)

func always(string) bool { return true }

// queueModel runs a Queue next to the oracle: a plain list of the queued requests, and
// for each pair of teams the tokens served to the first, divided by its weight, since
// both have had requests queued.
type queueModel struct {
	*Queue
	oracle require.TestingT
	now    time.Time
	nextID uint64
	queued map[uint64]Request
	served map[[2]string]float64
}

func newQueueModel(o require.TestingT, f faults) *queueModel {
	m := &queueModel{
		Queue: New(Options{MaxRequests: maxQueued}), oracle: o, now: start,
		queued: make(map[uint64]Request), served: make(map[[2]string]float64),
	}
	m.faults = f
	for name, w := range weights {
		m.SetWeight(name, int64(w))
	}
	return m
}

func (m *queueModel) queuedOf(team string) int {
	n := 0
	for _, r := range m.queued {
		if r.Team == team {
			n++
		}
	}
	return n
}

// removeFromModel removes a request from the list, and resets the comparisons of its
// team if the team has nothing queued any more.
func (m *queueModel) removeFromModel(r Request) {
	_, queued := m.queued[r.ID]
	require.True(m.oracle, queued, "a request was dispatched, refused or removed twice")
	delete(m.queued, r.ID)
	if m.queuedOf(r.Team) > 0 {
		return
	}
	for name := range weights {
		delete(m.served, [2]string{r.Team, name})
		delete(m.served, [2]string{name, r.Team})
	}
}

func (m *queueModel) offer(r Request) {
	m.nextID++
	r.ID = m.nextID
	before := make(map[string]float64)
	for name, w := range weights {
		before[name] = float64(m.queuedOf(name)) / w
	}
	evicted, err := m.Offer(r, m.now)
	for _, e := range evicted {
		require.ErrorIs(m.oracle, e, ErrFull)
		require.GreaterOrEqual(m.oracle, before[e.Request.Team], (float64(m.queuedOf(r.Team))+1)/weights[r.Team], "a request was evicted from a team with fewer requests for its weight than the arrival's team")
		m.removeFromModel(e.Request)
	}
	if err == nil {
		m.queued[r.ID] = r
		return
	}
	if errors.Is(err, ErrFull) {
		own := before[r.Team] + 1/weights[r.Team]
		for name := range weights {
			require.GreaterOrEqual(m.oracle, own, before[name], "a request was refused although another team has more requests for its weight")
		}
	}
}

func (m *queueModel) dispatch(canRun func(string) bool) {
	for _, refused := range m.Expire(m.now) {
		m.removeFromModel(refused.Request)
	}
	r, ok := m.Next(m.now, canRun)
	for _, other := range m.queued {
		runnable := canRun(other.Class)
		require.False(m.oracle, !ok && runnable, "no request was dispatched although a queued one can run")
		earlier := other.Team == r.Team && other.Deadline.Before(r.Deadline)
		require.False(m.oracle, ok && runnable && earlier, "a request was dispatched before one of its team with an earlier deadline")
	}
	if !ok {
		return
	}
	require.False(m.oracle, m.now.Add(r.MinRunTime).After(r.Deadline), "a request was dispatched that cannot meet its deadline")
	m.recordService(r)
	m.removeFromModel(r)
}

// recordService adds a dispatched request to its team's service relative to each other
// team with requests queued, and checks that the two weighted shares differ by no more
// than one request of each team.
func (m *queueModel) recordService(r Request) {
	for name, w := range weights {
		if name == r.Team || m.queuedOf(name) == 0 {
			continue
		}
		m.served[[2]string{r.Team, name}] += float64(r.Tokens) / weights[r.Team]
		difference := math.Abs(m.served[[2]string{r.Team, name}] - m.served[[2]string{name, r.Team}])
		bound := maxTokens/w + maxTokens/weights[r.Team]
		require.LessOrEqual(m.oracle, difference, bound, "the weighted shares of two teams differ by more than one request of each")
	}
}

func (m *queueModel) check() {
	require.Len(m.oracle, m.queued, m.Len())
	require.LessOrEqual(m.oracle, m.Len(), maxQueued)
	var bytes int64
	for _, r := range m.queued {
		bytes += r.Bytes
	}
	require.Equal(m.oracle, bytes, m.Bytes())
}

func (m *queueModel) actions() map[string]func(*rapid.T) {
	team := rapid.SampledFrom([]string{"a", "b", "c"})
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { m.check() },
		"offer": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "n") {
				ms := rapid.IntRange(1, 5000).Draw(t, "deadline")
				m.offer(Request{
					Team: team.Draw(t, "team"), Class: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
					Tokens: rapid.Int64Range(1, maxTokens).Draw(t, "tokens"), Bytes: 10,
					Deadline: m.now.Add(time.Duration(ms) * time.Millisecond), MinRunTime: 10 * time.Millisecond,
				})
			}
		},
		"dispatch": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "n") {
				m.dispatch(always)
			}
		},
		"remove": func(t *rapid.T) {
			id := rapid.Uint64Range(0, m.nextID).Draw(t, "id")
			r, queued := m.queued[id]
			require.Equal(m.oracle, queued, m.Remove(team.Draw(t, "team"), id) || queued && m.Remove(r.Team, id))
			if queued {
				m.removeFromModel(r)
			}
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// Guards the queue's invariants when requests arrive in bursts, callers disconnect and
// deadlines pass: no team waits while another is served beyond its share, no request is
// dispatched too late, and every request gets exactly one outcome.
func TestQueueKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newQueueModel(t, faults{}).actions()) })
}

// While the upstreams of one class are busy, its requests wait and those of other
// classes are dispatched.
func TestBusyClassDoesNotBlockOtherClasses(t *testing.T) {
	m := newQueueModel(t, faults{})
	far := start.Add(time.Minute)
	m.offer(Request{Team: "a", Class: "x", Tokens: 1, Deadline: far})
	m.offer(Request{Team: "a", Class: "y", Tokens: 1, Deadline: far.Add(time.Second)})
	m.dispatch(func(class string) bool { return class == "y" })
	require.Len(t, m.queued, 1)
	m.dispatch(always)
	require.Empty(t, m.queued)
}

func TestInjectedFaultsAreDetected(t *testing.T) {
	walk := func(f faults) oracle.Walk {
		return func(t *rapid.T, o require.TestingT) { t.Repeat(newQueueModel(o, f).actions()) }
	}
	const seeds = 60
	require.Equal(t, oracle.NotFound, oracle.FirstSeed(seeds, walk(faults{})))
	for name, f := range map[string]faults{
		"keepCredit":      {keepCredit: true},
		"ignoreDeadlines": {ignoreDeadlines: true},
		"runLate":         {runLate: true},
		"refuseArrivals":  {refuseArrivals: true},
	} {
		first := oracle.FirstSeed(seeds, walk(f))
		require.NotEqual(t, oracle.NotFound, first, "no seed made the oracle detect the fault %s", name)
		t.Logf("%s: found with seed %d", name, first)
	}
}

// Other VMs have served a team as well. In this queue the other teams then go first,
// but MaxLead bounds for how long.
func TestSharesHoldOverAllVMs(t *testing.T) {
	q := New(Options{MaxLead: 100})
	offer := func(team string, n int) {
		for range n {
			r := Request{ID: q.lastSeq, Team: team, Class: "x", Tokens: 10, Deadline: start.Add(time.Hour)}
			_, err := q.Offer(r, start)
			require.NoError(t, err)
		}
	}
	offer("a", 30)
	offer("b", 30)
	q.ServedElsewhere(map[string]int64{"a": 1_000_000})
	order := ""
	for range 30 {
		r, ok := q.Next(start, always)
		require.True(t, ok)
		order += r.Team
	}
	require.Equal(t, "bbbbbbbbbb", order[:10])
	require.Contains(t, order[10:], "a")
}

// The queue is long and the deadline short. A refusal that came only at the deadline
// would leave the caller no time to send the request elsewhere.
func TestRequestsThatCannotMeetDeadlineAreRefusedAtOnce(t *testing.T) {
	q := New(Options{})
	now := start
	for i := range 400 {
		r := Request{ID: uint64(i), Team: "a", Class: "x", Tokens: 100, Deadline: now.Add(time.Hour)}
		_, err := q.Offer(r, now)
		require.NoError(t, err)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		_, ok := q.Next(now, always)
		require.True(t, ok)
	}
	late := Request{ID: 1000, Team: "a", Class: "x", Tokens: 100, Deadline: now.Add(2 * time.Second)}
	_, err := q.Offer(late, now)
	require.NoError(t, err, "a request with an early deadline must be served before the others of its team")
	late.ID, late.Deadline = 1001, now.Add(time.Hour)
	_, err = q.Offer(late, now)
	require.NoError(t, err)
	for i := range 300 {
		tight := Request{ID: uint64(2000 + i), Team: "a", Class: "x", Tokens: 100, Deadline: now.Add(time.Second)}
		if _, err = q.Offer(tight, now); err != nil {
			break
		}
	}
	var refusal *Refusal
	require.ErrorAs(t, err, &refusal)
	require.ErrorIs(t, err, ErrDeadline)
	require.Greater(t, refusal.RetryAfter, time.Duration(0))
}

func BenchmarkOfferNext(b *testing.B) {
	for _, queued := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			q := New(Options{MaxRequests: queued + 1})
			r := Request{Team: "a", Tokens: 10, Deadline: start.Add(time.Hour)}
			for i := range queued {
				r.ID, r.Team, r.Class = uint64(i), fmt.Sprint(i%5), fmt.Sprint(i%130)
				_, err := q.Offer(r, start)
				require.NoError(b, err)
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				r.Deadline = now.Add(time.Hour)
				_, _ = q.Offer(r, now)
				q.Next(now, always)
			}
		})
	}
}
