package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// oracle records what callers observed, compares it with what the replicas ran, and collects the
// violations of the product's promises.
type oracle struct {
	mu         sync.Mutex
	attempts   map[string]*attempt
	served     map[kind]int
	violations []string
	// withdrawals holds, by key, the time just before its withdrawal was written to the store.
	withdrawals map[string]time.Time
}

func newOracle() *oracle {
	return &oracle{attempts: make(map[string]*attempt), served: make(map[kind]int), withdrawals: make(map[string]time.Time)}
}

// record adds a finished attempt.
func (o *oracle) record(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts[a.ID] = a
	if a.answer.Status == http.StatusOK && a.answer.Err == nil {
		o.served[a.kind]++
	}
}

// recordWithdrawal records that a key is about to be withdrawn.
func (o *oracle) recordWithdrawal(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawals[key] = time.Now()
}

// withdrawnBeforeAnswer reports whether the VM that answered an attempt may have had the withdrawal
// of its key in force: callers that chose a key just before its withdrawal are rightly refused.
func (o *oracle) withdrawnBeforeAnswer(a *attempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.withdrawals[a.Key]
	return ok && at.Before(a.ended)
}

// servedCount returns the number of attempts of a kind that got status 200 without an error.
func (o *oracle) servedCount(k kind) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served[k]
}

// reportViolation records that a promise was broken. It keeps the first 20 violations.
func (o *oracle) reportViolation(promise, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.violations) < 20 {
		o.violations = append(o.violations, promise+": "+fmt.Sprintf(format, args...))
	}
}

// check compares all attempts and runs with the promises. It must be called after all callers have
// stopped.
func (o *oracle) check(w *world) {
	runs := make(map[string][]standin.Run)
	for _, u := range w.upstreams {
		for _, r := range u.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
		if _, overfull := u.Orders(); overfull {
			o.reportViolation("overcommit", "the orders of %s loaded more models than fit into its memory", u.ID)
		}
		o.checkOrderLog(u.ID, u.Log())
	}
	for id, executions := range runs {
		a := o.attempts[id]
		if a == nil {
			continue
		}
		o.checkRuns(a, executions)
	}
	for _, a := range o.attempts {
		o.checkAnswer(a, runs[a.ID])
	}
	o.checkRate(runs)
	o.checkPushback(w, runs)
	o.checkDepartures(w)
	o.checkNotices(w)
	if w.versions != nil {
		w.versions.check(o)
	}
	for _, v := range w.vms {
		v.mu.Lock()
		for _, end := range v.unexpectedEnds {
			o.violations = append(o.violations, "process: "+v.Name+" ended unexpectedly at "+end)
		}
		v.mu.Unlock()
	}
}

func (o *oracle) checkRuns(a *attempt, runs []standin.Run) {
	if a.kind.atMostOnce() && len(runs) > 1 {
		o.reportViolation("at most once", "%s %s ran %d times", a.kind, a.ID, len(runs))
	}
	for _, r := range runs {
		if r.Tenant != a.team {
			o.reportViolation("team", "%s of team %s ran for team %q", a.ID, a.team, r.Tenant)
		}
		if r.Body != a.Body || r.Target != a.Path || r.Model != a.Model {
			o.reportViolation("unchanged", "%s ran with target %q, model %q, body %q", a.ID, r.Target, r.Model, r.Body)
		}
		if r.Header.Get("Authorization") != "" {
			o.reportViolation("key", "a replica received the key of %s", a.ID)
		}
	}
}

func (o *oracle) checkAnswer(a *attempt, runs []standin.Run) {
	// An idempotent request gets its upstream's own answer, signed.
	if promises(a.answer.Status) && len(runs) > 0 && (a.kind.atMostOnce() || !a.answer.Signed) {
		o.reportViolation("refusal", "%s %s was refused with %d at %s although it ran", a.kind, a.ID, a.answer.Status, a.vm.Name)
	}
	switch a.answer.Status {
	case http.StatusOK:
		if a.answer.Err == nil && !a.complete() {
			o.reportViolation("whole answer", "%s %s got answer %q with ID %q, signed %v", a.kind, a.ID, a.answer.Body, a.answer.ID, a.answer.Signed)
		}
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		if a.answer.Status != http.StatusUnauthorized || !o.withdrawnBeforeAnswer(a) {
			o.reportViolation("denied", "%s %s with key %s was answered %d at %s", a.kind, a.ID, a.Key, a.answer.Status, a.vm.Name)
		}
	}
	if a.onlyPlannedStops && len(runs) > 0 && a.interrupted() {
		o.reportViolation("planned stop", "%s %s ran and its answer was interrupted at %s: %v", a.kind, a.ID, a.vm.Name, a.answer.Err)
	}
}

// interrupted reports whether the answer broke off or never came although the caller neither gave
// up nor timed out.
func (a *attempt) interrupted() bool {
	err := a.answer.Err
	return err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// complete reports whether a successful answer is the complete and signed answer to its request.
func (a *attempt) complete() bool {
	if !a.answer.Signed || a.answer.ID != a.ID {
		return false
	}
	if !a.kind.streams() {
		rest, ok := strings.CutPrefix(a.answer.Body, "done by clerk-")
		return ok && strings.HasSuffix(rest, " for "+a.ID)
	}
	if strings.Contains(a.answer.Body, " at v") {
		return a.completeFrom()
	}
	want := ""
	for i := 1; i <= 3; i++ {
		want += fmt.Sprintf("id: %d\ndata: word%d for %s\n\n", i, i, a.ID)
	}
	return a.answer.Body == want
}

// rateWindow is the sliding window in which checkRate bounds the tokens of a team.
const rateWindow = 8 * time.Second

// checkRate compares the tokens that replicas ran for the team "small", which exceeds its rate,
// with the rate. Only the first run of a request counts.
func (o *oracle) checkRate(runs map[string][]standin.Run) {
	var all []standin.Run
	for _, executions := range runs {
		first := slices.MinFunc(executions, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		if first.Tenant == "small" {
			all = append(all, first)
		}
	}
	slices.SortFunc(all, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	allowed := (smallRate*rateWindow.Seconds()+smallBurst)*1.1 + quotaSlack
	from, sum := 0, 0
	for _, r := range all {
		sum += r.Tokens
		for r.At.Sub(all[from].At) > rateWindow {
			sum -= all[from].Tokens
			from++
		}
		if float64(sum) > allowed {
			o.reportViolation("rate", "%d tokens ran in %v up to %s, %.0f are allowed", sum, rateWindow, r.At.Format(time.StampMilli), allowed)
			return
		}
	}
}

// checkOrderLog checks that only one lease holder at a time gives orders to a replica: fencing
// tokens never decrease, and orders of different holders are at least the lease time apart.
func (o *oracle) checkOrderLog(replica string, orders []standin.Order) {
	var newest standin.Order
	for _, order := range orders {
		if order.Token < newest.Token {
			o.reportViolation("one leader", "%s accepted %q of %s with token %d after token %d", replica, order.Text, order.Holder, order.Token, newest.Token)
		}
		if order.Holder != newest.Holder && order.At.Sub(newest.At) < leaseMs*time.Millisecond {
			o.reportViolation("one leader", "%s accepted orders of %s and %s within %v", replica, newest.Holder, order.Holder, order.At.Sub(newest.At))
		}
		if order.Token >= newest.Token {
			newest = order
		}
	}
}
