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

// account is the oracle: a plain list of what is queued, and what each team got
// since each other team began to wait beside it.
type account struct {
	*Queue
	o      require.TestingT
	now    time.Time
	nextID uint64
	queued map[uint64]Request
	served map[[2]string]float64
}

func newAccount(o require.TestingT, f faults) *account {
	a := &account{
		Queue: New(Options{MaxRequests: maxQueued}), o: o, now: start,
		queued: make(map[uint64]Request), served: make(map[[2]string]float64),
	}
	a.faults = f
	for name, w := range weights {
		a.SetWeight(name, int64(w))
	}
	return a
}

func (a *account) held(team string) int {
	n := 0
	for _, r := range a.queued {
		if r.Team == team {
			n++
		}
	}
	return n
}

// leave takes a request out of the list, and ends the comparisons of a team that
// waits no more.
func (a *account) leave(r Request) {
	_, was := a.queued[r.ID]
	require.True(a.o, was, "a request had two fates")
	delete(a.queued, r.ID)
	if a.held(r.Team) > 0 {
		return
	}
	for name := range weights {
		delete(a.served, [2]string{r.Team, name})
		delete(a.served, [2]string{name, r.Team})
	}
}

func (a *account) offer(r Request) {
	a.nextID++
	r.ID = a.nextID
	before := make(map[string]float64)
	for name, w := range weights {
		before[name] = float64(a.held(name)) / w
	}
	evicted, err := a.Offer(r, a.now)
	for _, e := range evicted {
		require.ErrorIs(a.o, e, ErrFull)
		require.GreaterOrEqual(a.o, before[e.Request.Team], (float64(a.held(r.Team))+1)/weights[r.Team], "a smaller team made room")
		a.leave(e.Request)
	}
	if err == nil {
		a.queued[r.ID] = r
		return
	}
	if errors.Is(err, ErrFull) {
		own := before[r.Team] + 1/weights[r.Team]
		for name := range weights {
			require.GreaterOrEqual(a.o, own, before[name], "the larger team kept its place")
		}
	}
}

func (a *account) dispatch(canRun func(string) bool) {
	for _, refused := range a.Expire(a.now) {
		a.leave(refused.Request)
	}
	r, ok := a.Next(a.now, canRun)
	for _, other := range a.queued {
		runnable := canRun(other.Class)
		require.False(a.o, !ok && runnable, "a request waited while its upstreams were free")
		earlier := other.Team == r.Team && other.Deadline.Before(r.Deadline)
		require.False(a.o, ok && runnable && earlier, "a later deadline went first")
	}
	if !ok {
		return
	}
	require.False(a.o, a.now.Add(r.Run).After(r.Deadline), "dispatched too late")
	a.serve(r)
	a.leave(r)
}

// serve adds to what a team got beside each team that waits too, and checks that
// their shares are no further apart than one request of each.
func (a *account) serve(r Request) {
	for name, w := range weights {
		if name == r.Team || a.held(name) == 0 {
			continue
		}
		a.served[[2]string{r.Team, name}] += float64(r.Tokens) / weights[r.Team]
		apart := math.Abs(a.served[[2]string{r.Team, name}] - a.served[[2]string{name, r.Team}])
		bound := maxTokens/w + maxTokens/weights[r.Team]
		require.LessOrEqual(a.o, apart, bound, "shares are apart")
	}
}

func (a *account) check() {
	require.Len(a.o, a.queued, a.Len())
	require.LessOrEqual(a.o, a.Len(), maxQueued)
	var bytes int64
	for _, r := range a.queued {
		bytes += r.Bytes
	}
	require.Equal(a.o, bytes, a.Bytes())
}

func (a *account) actions() map[string]func(*rapid.T) {
	team := rapid.SampledFrom([]string{"a", "b", "c"})
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { a.check() },
		"offer": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "n") {
				ms := rapid.IntRange(1, 5000).Draw(t, "deadline")
				a.offer(Request{
					Team: team.Draw(t, "team"), Class: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
					Tokens: rapid.Int64Range(1, maxTokens).Draw(t, "tokens"), Bytes: 10,
					Deadline: a.now.Add(time.Duration(ms) * time.Millisecond), Run: 10 * time.Millisecond,
				})
			}
		},
		"dispatch": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "n") {
				a.dispatch(always)
			}
		},
		"remove": func(t *rapid.T) {
			id := rapid.Uint64Range(0, a.nextID).Draw(t, "id")
			r, queued := a.queued[id]
			require.Equal(a.o, queued, a.Remove(team.Draw(t, "team"), id) || queued && a.Remove(r.Team, id))
			if queued {
				a.leave(r)
			}
		},
		"wait": func(t *rapid.T) {
			a.now = a.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// Teams arrive in bursts, callers leave, deadlines pass. A user would notice a
// team that waits while another is served beyond its share, an answer that comes
// too late to be of use, or a request that is never told its fate.
func TestOrderKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newAccount(t, faults{}).actions()) })
}

// Some upstreams are busy: what needs them waits, everything else goes on.
func TestBusyClassHoldsUpNobodyElse(t *testing.T) {
	a := newAccount(t, faults{})
	far := start.Add(time.Minute)
	a.offer(Request{Team: "a", Class: "x", Tokens: 1, Deadline: far})
	a.offer(Request{Team: "a", Class: "y", Tokens: 1, Deadline: far.Add(time.Second)})
	a.dispatch(func(class string) bool { return class == "y" })
	require.Len(t, a.queued, 1)
	a.dispatch(always)
	require.Empty(t, a.queued)
}

func TestPlantedFaultsAreFound(t *testing.T) {
	walk := func(f faults) oracle.Walk {
		return func(t *rapid.T, o require.TestingT) { t.Repeat(newAccount(o, f).actions()) }
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
		require.NotEqual(t, oracle.NotFound, first, "%s was not found", name)
		t.Logf("%s: found with seed %d", name, first)
	}
}

// A team is served by other VMs too. At this one it has to let the others go
// first, but not for ever.
func TestSharesHoldOverAllVMs(t *testing.T) {
	q := New(Options{MaxLead: 100})
	offer := func(team string, n int) {
		for range n {
			r := Request{ID: q.seq, Team: team, Class: "x", Tokens: 10, Deadline: start.Add(time.Hour)}
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

// The queue is long and the deadline short. Waiting for a refusal until the
// deadline would leave the caller no time to go elsewhere.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
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
	require.NoError(t, err, "an early deadline goes before the others of its team")
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
