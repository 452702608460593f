package placement

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// ErrDoesNotFit means that not every model and adapter finds a place.
var ErrDoesNotFit = errors.New("placement: the models and adapters do not fit")

// Arithmetic shows what a document needs and has, in bytes.
type Arithmetic struct {
	// Models and Adapters are the memory of one copy of each.
	Models, Adapters int64
	// Engines is the memory of all engines, Reserve what the KV caches keep.
	Engines, Reserve int64
	// Largest is the largest base model and Room the largest engine's memory
	// for weights.
	Largest, Room int64
	// Unplaced lists the names that found no place.
	Unplaced []Name
	// OneDomain lists the names that found a place in one failure domain only.
	OneDomain []Name
}

// Usable is the memory for weights.
func (a Arithmetic) Usable() int64 { return a.Engines - a.Reserve }

// Needed is the memory of one copy of everything.
func (a Arithmetic) Needed() int64 { return a.Models + a.Adapters }

// DoesNotFitError says what finds no place. It wraps ErrDoesNotFit.
type DoesNotFitError struct {
	Arithmetic
}

// Error shows the arithmetic.
func (e *DoesNotFitError) Error() string {
	names := make([]string, 0, len(e.Unplaced))
	for _, n := range e.Unplaced {
		names = append(names, n.String())
	}
	return fmt.Sprintf("%v: models %s + adapters %s = %s; engines %s - KV-cache reserve %s = %s; "+
		"largest model %s, largest engine %s; no place for %s",
		ErrDoesNotFit, gib(e.Models), gib(e.Adapters), gib(e.Needed()),
		gib(e.Engines), gib(e.Reserve), gib(e.Usable()),
		gib(e.Largest), gib(e.Room), strings.Join(names, ", "))
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

func gib(bytes int64) string {
	return fmt.Sprintf("%.2fGiB", float64(bytes)/float64(document.GiB))
}

// Fits packs one copy of everything on the document's engines. It returns a
// *DoesNotFitError if that is not possible.
func Fits(doc *document.Document) error {
	a := Check(doc)
	if len(a.Unplaced) > 0 {
		return &DoesNotFitError{Arithmetic: a}
	}
	return nil
}

// Check returns the arithmetic of a document on empty engines.
func Check(doc *document.Document) Arithmetic {
	a := sums(doc)
	p := Make(Input{Models: doc.Models, Engines: EnginesOf(doc)})
	a.Unplaced = p.Unplaced
	a.OneDomain = p.OneDomain
	return a
}

// FitsChange checks that next fits, and that what next replaces can be loaded
// beside what is in force, so that no name is without a copy meanwhile.
func FitsChange(current, next *document.Document) error {
	if err := Fits(next); err != nil {
		return err
	}
	before := Make(Input{Models: current.Models, Engines: EnginesOf(current)})
	engines := EnginesOf(next)
	hold(engines, before)
	after := Make(Input{Models: next.Models, Engines: engines, Quiet: true})
	if len(after.Unplaced) == 0 {
		return nil
	}
	a := sums(next)
	a.Unplaced = after.Unplaced
	return &DoesNotFitError{Arithmetic: a}
}

// hold makes the engines hold what a plan assigns.
func hold(engines []Engine, p Plan) {
	index := make(map[string]int, len(engines))
	for i := range engines {
		index[engines[i].Name] = i
	}
	for _, a := range p.Assignments {
		if i, known := index[a.Engine]; known {
			engines[i].Holds = append(engines[i].Holds, Held{Item: a.Item, Memory: a.Memory, Ready: true})
		}
	}
}

func sums(doc *document.Document) Arithmetic {
	var a Arithmetic
	for _, m := range doc.Models {
		a.Models += int64(m.Memory)
		a.Largest = max(a.Largest, int64(m.Memory))
		for _, adapter := range m.Adapters {
			a.Adapters += int64(adapter.Memory)
		}
	}
	for _, e := range doc.Engines {
		a.Engines += int64(e.Memory)
		a.Reserve += int64(e.KVCacheReserve)
		a.Room = max(a.Room, int64(e.Memory-e.KVCacheReserve))
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
