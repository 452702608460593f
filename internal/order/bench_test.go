package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// newIdleReconciler returns the reconciler of a leader in control of engines that hold exactly
// the wanted copies, and the time.
func newIdleReconciler(engines int) (*Reconciler, time.Time) {
	now := time.Unix(1_000_000, 0)
	b := NewReconciler(Options{Prefix: "/p/", Fence: 1})
	goal := Goal{Versions: make(map[placement.Name]string), Memory: make(map[placement.Item]int64)}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		goal.Engines = append(goal.Engines, EngineSpec{Name: name, FailureDomain: fmt.Sprint(i % 4), Capacity: 100})
		for j := range 6 {
			item := placement.Item{Model: fmt.Sprintf("m%d", (i+j)%360), Version: "v1"}
			goal.Versions[item.Name()] = "v1"
			goal.Memory[item] = 10
			goal.Assignments = append(goal.Assignments, placement.Assignment{Engine: name, Item: item, Memory: 10, Reason: placement.ReasonStays})
		}
	}
	b.SetGoal(goal)
	revision := int64(1)
	for range 6 {
		for _, a := range b.Next(now) {
			switch a := a.(type) {
			case Read:
				b.ReadDone(a.Key, Stored{}, true)
			case Write:
				revision++
				b.WriteDone(a.Key, TookEffect, revision, nil)
			case Poll:
				b.Reported(a, reportOf(goal, a.Engine), true, now)
			}
		}
		now = now.Add(time.Second)
	}
	return b, now
}

func reportOf(goal Goal, engine string) Report {
	r := Report{Incarnation: engine + "/1"}
	for _, a := range goal.Assignments {
		if a.Engine == engine {
			r.Resident = append(r.Resident, ReportItem{Item: a.Item, Ready: true})
			r.MemoryUsed += a.Memory
		}
	}
	return r
}

// BenchmarkNext measures one call of Next when nothing has to be done.
func BenchmarkNext(b *testing.B) {
	for _, engines := range []int{20, 275, 1100} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			reconciler, now := newIdleReconciler(engines)
			if !reconciler.InControl() {
				b.Fatal("the new leader did not take control of all accounts")
			}
			for _, state := range reconciler.engines {
				state.polling = true
			}
			for b.Loop() {
				reconciler.Next(now)
			}
		})
	}
}

// BenchmarkView measures the cost of a plan's input, without the plan itself.
func BenchmarkView(b *testing.B) {
	for _, engines := range []int{20, 275, 1100} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			reconciler, now := newIdleReconciler(engines)
			for b.Loop() {
				reconciler.View(now)
			}
		})
	}
}
