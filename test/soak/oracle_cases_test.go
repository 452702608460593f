package soak

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// Guards against an oracle that passes every run because it detects nothing. Each case breaks one
// promise, and the oracle must report that promise and no other.
func TestOracleSeesEachBrokenPromise(t *testing.T) {
	served := func(a *attempt) {
		a.answer = standin.Answer{Status: http.StatusOK, Signed: true, ID: a.ID, Body: "done by clerk-1 for " + a.ID}
	}
	run := func(a *attempt) standin.Run {
		return standin.Run{ID: a.ID, Tenant: a.team, Target: a.Path, Body: a.Body, Header: http.Header{}, Tokens: 200}
	}
	for promise, violate := range map[string]func(a *attempt) []standin.Run{
		"": func(a *attempt) []standin.Run {
			served(a)
			return []standin.Run{run(a)}
		},
		"at most once": func(a *attempt) []standin.Run {
			served(a)
			return []standin.Run{run(a), run(a)}
		},
		"team": func(a *attempt) []standin.Run {
			served(a)
			other := run(a)
			other.Tenant = "small"
			return []standin.Run{other}
		},
		"unchanged": func(a *attempt) []standin.Run {
			served(a)
			other := run(a)
			other.Body = "another"
			return []standin.Run{other}
		},
		"key": func(a *attempt) []standin.Run {
			served(a)
			other := run(a)
			other.Header.Set("Authorization", "Token large-key")
			return []standin.Run{other}
		},
		"refusal": func(a *attempt) []standin.Run {
			a.answer.Status = http.StatusServiceUnavailable
			return []standin.Run{run(a)}
		},
		"refusal ": func(a *attempt) []standin.Run {
			a.answer.Status, a.answer.Signed = http.StatusServiceUnavailable, true
			return []standin.Run{run(a)}
		},
		"whole answer": func(a *attempt) []standin.Run {
			served(a)
			a.answer.Body = "done by clerk-1 for another"
			return []standin.Run{run(a)}
		},
		"denied": func(a *attempt) []standin.Run {
			a.answer.Status = http.StatusUnauthorized
			return nil
		},
		"planned stop": func(a *attempt) []standin.Run {
			a.onlyPlannedStops, a.answer.Err = true, http.ErrServerClosed
			return []standin.Run{run(a)}
		},
	} {
		a := &attempt{kind: file, team: "large", vm: &vm{}, Call: standin.Call{ID: "id1", Path: "/file/id1", Body: "b"}}
		o := newOracle()
		runs := violate(a)
		o.checkRuns(a, runs)
		o.checkAnswer(a, runs)
		if promise == "" {
			require.Empty(t, o.violations)
			continue
		}
		require.Len(t, o.violations, 1, promise)
		require.Contains(t, o.violations[0], strings.TrimSpace(promise)+":")
	}
}

// A key is withdrawn while a request with it is on its way. Only a 401 that came after the
// withdrawal began may be excused.
func TestOracleExcusesOnlyRefusalsOfWithdrawnKeys(t *testing.T) {
	withdrawn := time.Now()
	for _, c := range []struct {
		key     string
		status  int
		ended   time.Time
		excused bool
	}{
		{"large-second", http.StatusUnauthorized, withdrawn.Add(time.Millisecond), true},
		{"large-second", http.StatusUnauthorized, withdrawn.Add(-time.Millisecond), false},
		{"large-second", http.StatusNotFound, withdrawn.Add(time.Millisecond), false},
		{"large-key", http.StatusUnauthorized, withdrawn.Add(time.Millisecond), false},
	} {
		o := newOracle()
		o.withdrawals["large-second"] = withdrawn
		a := &attempt{kind: file, team: "large", vm: &vm{}, Call: standin.Call{ID: "id1", Key: c.key}, ended: c.ended}
		a.answer.Status = c.status
		o.checkAnswer(a, nil)
		require.Equal(t, c.excused, len(o.violations) == 0, "%v", c)
	}
}

func TestOracleDetectsExceededRate(t *testing.T) {
	o, now := newOracle(), time.Now()
	runs := make(map[string][]standin.Run)
	for i := range 100 {
		id := string(rune('a' + i))
		runs[id] = []standin.Run{{ID: id, Tenant: "small", Tokens: 440, At: now.Add(time.Duration(i) * 100 * time.Millisecond)}}
	}
	o.checkRate(runs)
	require.Empty(t, o.violations, "35,640 tokens in eight seconds are within the allowed rate")
	for id := range runs {
		runs[id][0].Tokens = 600
	}
	o.checkRate(runs)
	require.Len(t, o.violations, 1)
}

// A request reaches an upstream that has left; nothing disturbed the VM, the store or the upstream's link.
func TestOracleDetectsRequestsToDepartedUpstreams(t *testing.T) {
	left := time.Now()
	for _, c := range []struct {
		after    time.Duration
		born     int64
		disturb  func(w *world, u *upstream, v *vm)
		detected bool
	}{
		{after: (boundMs + 1) * time.Millisecond, detected: true},
		{after: boundMs * time.Millisecond},
		{after: (boundMs + 1) * time.Millisecond, born: 2},
		{after: (boundMs + 1) * time.Millisecond, disturb: func(_ *world, _ *upstream, v *vm) { v.disturbances = []time.Time{left.Add(-time.Second)} }},
		{after: (boundMs + 1) * time.Millisecond, disturb: func(w *world, _ *upstream, _ *vm) { w.storeDisturbances = []time.Time{left.Add(time.Second)} }},
		{after: (boundMs + 1) * time.Millisecond, disturb: func(_ *world, u *upstream, _ *vm) { u.proxy.updates = []time.Time{left} }},
		{after: (boundMs + 1) * time.Millisecond, disturb: func(_ *world, _ *upstream, v *vm) {
			v.disturbances = []time.Time{left.Add(-contactMs*time.Millisecond - 1)}
		}, detected: true},
	} {
		v := &vm{VM: standin.VM{Name: "vm-0"}}
		u := &upstream{Replica: standin.NewReplica("engine-0", 2), proxy: &proxy{}}
		w := &world{t: t, dir: t.TempDir(), boundMs: boundMs}
		require.NoError(t, os.WriteFile(filepath.Join(w.dir, "vm-0.log"), nil, 0o600))
		if c.disturb != nil {
			c.disturb(w, u, v)
		}
		o := newOracle()
		x := arrival{attempt: &attempt{Call: standin.Call{ID: "id1"}, vm: v}, at: left.Add(c.after), born: c.born}
		o.checkDeparture(w, u, v, departure{acknowledged: left}, boundMs*time.Millisecond, []arrival{x})
		require.Equal(t, c.detected, len(o.violations) == 1, "%+v", c)
	}
}

func TestOracleDetectsTwoLeaseHolders(t *testing.T) {
	for _, second := range []standin.Order{{Holder: "b", Token: 9, At: time.Now()}, {Holder: "a", Token: 4, At: time.Now()}} {
		o, u := newOracle(), &upstream{Replica: standin.NewReplica("engine-0", 2)}
		o.checkOrderLog(u.ID, []standin.Order{{Holder: "a", Token: 5, At: time.Now()}, second})
		require.Len(t, o.violations, 1)
	}
}
