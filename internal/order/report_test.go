package order

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// A new leader polls an engine while the engine restarts and the previous leader loads a
// model into the new incarnation. The report is from the old incarnation. If it reset the
// account, the model's memory would count as free and the next load would overcommit the
// engine.
func TestReportFromBeforeTheAccountWasReadResetsNothing(t *testing.T) {
	for _, trust := range []bool{false, true} {
		now := time.Unix(1_000_000, 0)
		b := NewReconciler(Options{Prefix: "/p/", Fence: 5})
		b.faults.trustOldReport = trust
		b.SetGoal(Goal{Engines: []EngineSpec{{Name: "e", FailureDomain: "a", Capacity: 100}}})
		item := placement.Item{Model: "m", Version: "v1"}
		kv := map[string]Stored{"/p/engines/e": {Revision: 4, Value: Account{
			Engine: "e", Incarnation: "e/2", Fence: 3, Entries: []Entry{{Item: item, Memory: 90}},
		}.Encode()}}
		var early *Poll
		for range 6 {
			for _, a := range b.Next(now) {
				switch a := a.(type) {
				case Read:
					b.ReadDone(a.Key, kv[a.Key], true)
				case Write:
					kv[a.Key] = Stored{Revision: kv[a.Key].Revision + 1, Value: a.Value}
					b.WriteDone(a.Key, TookEffect, kv[a.Key].Revision, nil)
				case Poll:
					early = &a
				}
			}
		}
		require.True(t, b.InControl())
		b.Reported(*early, Report{Incarnation: "e/1"}, true, now)
		for _, a := range b.Next(now) {
			if w, ok := a.(Write); ok {
				b.WriteDone(w.Key, TookEffect, kv[w.Key].Revision+1, nil)
			}
		}
		held := b.engines["e"].account.Used()
		require.Equal(t, trust, held == 0, "the old report must empty the account with the planted fault, and only then")
	}
}
