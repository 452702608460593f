package placement

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// ErrDoesNotFit means that not every model and adapter can be placed.
var ErrDoesNotFit = errors.New("placement: the models and adapters do not fit")

// MemoryBudget compares the memory that a document needs with the memory that
// its engines have, in bytes.
type MemoryBudget struct {
	// ModelMemory and AdapterMemory are the memory of one copy of every base
	// model and of every adapter.
	ModelMemory, AdapterMemory int64
	// EngineMemory is the memory of all engines, KVCacheReserve the part of it
	// that is reserved for KV caches.
	EngineMemory, KVCacheReserve int64
	// LargestModel is the memory of the largest base model, LargestEngine the
	// largest memory for weights of any engine.
	LargestModel, LargestEngine int64
	// Unplaced lists the names that could not be placed.
	Unplaced []Name
	// OneDomain lists the names that could be placed in one failure domain
	// only.
	OneDomain []Name
}

// Usable returns the memory for weights.
func (a MemoryBudget) Usable() int64 { return a.EngineMemory - a.KVCacheReserve }

// Needed returns the memory of one copy of every model and adapter.
func (a MemoryBudget) Needed() int64 { return a.ModelMemory + a.AdapterMemory }

// DoesNotFitError reports which names cannot be placed. It wraps ErrDoesNotFit.
type DoesNotFitError struct {
	MemoryBudget
}

// Error describes the memory budget and the names that cannot be placed.
func (e *DoesNotFitError) Error() string {
	names := make([]string, 0, len(e.Unplaced))
	for _, n := range e.Unplaced {
		names = append(names, n.String())
	}
	return fmt.Sprintf("%v: models %s + adapters %s = %s; engines %s - KV-cache reserve %s = %s; "+
		"largest model %s, largest engine %s; no place for %s",
		ErrDoesNotFit, formatGiB(e.ModelMemory), formatGiB(e.AdapterMemory), formatGiB(e.Needed()),
		formatGiB(e.EngineMemory), formatGiB(e.KVCacheReserve), formatGiB(e.Usable()),
		formatGiB(e.LargestModel), formatGiB(e.LargestEngine), strings.Join(names, ", "))
}

// Unwrap returns ErrDoesNotFit.
func (e *DoesNotFitError) Unwrap() error { return ErrDoesNotFit }

// String returns "model" or "model/adapter".
func (n Name) String() string {
	if n.Adapter == "" {
		return n.Model
	}
	return n.Model + "/" + n.Adapter
}

func formatGiB(bytes int64) string {
	return fmt.Sprintf("%.2fGiB", float64(bytes)/float64(document.GiB))
}

// CheckFits checks that one copy of every model and adapter can be placed on the
// document's engines. It returns a *DoesNotFitError if that is not possible.
func CheckFits(doc *document.Document) error {
	a := MemoryBudgetOf(doc)
	if len(a.Unplaced) > 0 {
		return &DoesNotFitError{MemoryBudget: a}
	}
	return nil
}

// MemoryBudgetOf returns the memory budget of a document, computed for empty
// engines.
func MemoryBudgetOf(doc *document.Document) MemoryBudget {
	a := memoryTotals(doc)
	p := NewPlan(Input{Models: doc.Models, Engines: EnginesOf(doc)})
	a.Unplaced = p.Unplaced
	a.OneDomain = p.OneDomain
	return a
}

// CheckChangeFits checks that next fits, and that the new versions in next can be
// loaded beside the copies of current, so that no name is without a copy during
// the change. It returns a *DoesNotFitError if not.
func CheckChangeFits(current, next *document.Document) error {
	if err := CheckFits(next); err != nil {
		return err
	}
	before := NewPlan(Input{Models: current.Models, Engines: EnginesOf(current)})
	engines := EnginesOf(next)
	assignPlan(engines, before)
	after := NewPlan(Input{Models: next.Models, Engines: engines, Stable: true})
	if len(after.Unplaced) == 0 {
		return nil
	}
	a := memoryTotals(next)
	a.Unplaced = after.Unplaced
	return &DoesNotFitError{MemoryBudget: a}
}

// assignPlan adds the copies that a plan assigns to the items that the engines
// hold.
func assignPlan(engines []Engine, p Plan) {
	index := make(map[string]int, len(engines))
	for i := range engines {
		index[engines[i].Name] = i
	}
	for _, a := range p.Assignments {
		if i, known := index[a.Engine]; known {
			engines[i].HeldItems = append(engines[i].HeldItems, HeldItem{Item: a.Item, Memory: a.Memory, Ready: true})
		}
	}
}

func memoryTotals(doc *document.Document) MemoryBudget {
	var a MemoryBudget
	for _, m := range doc.Models {
		a.ModelMemory += int64(m.Memory)
		a.LargestModel = max(a.LargestModel, int64(m.Memory))
		for _, adapter := range m.Adapters {
			a.AdapterMemory += int64(adapter.Memory)
		}
	}
	for _, e := range doc.Engines {
		a.EngineMemory += int64(e.Memory)
		a.KVCacheReserve += int64(e.KVCacheReserve)
		a.LargestEngine = max(a.LargestEngine, int64(e.Memory-e.KVCacheReserve))
	}
	return a
}

// EnginesOf returns the document's engines, empty and available.
func EnginesOf(doc *document.Document) []Engine {
	engines := make([]Engine, 0, len(doc.Engines))
	for _, e := range doc.Engines {
		engines = append(engines, Engine{
			Name:          e.Name,
			FailureDomain: e.FailureDomain,
			Capacity:      int64(e.Memory - e.KVCacheReserve),
			Available:     true,
		})
	}
	return engines
}
