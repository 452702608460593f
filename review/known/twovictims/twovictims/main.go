//go:build review

// Command twovictims asks for models that fit on a replica only in place of two of those that it holds.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/review/kit"
)

const (
	small, large = 10, 4
	day          = 60 * time.Second
	pause        = 300 * time.Millisecond
)

// spec has ten small models, of which a replica holds five and has 28,500 MB left, and four large ones.
func spec() kit.EngineSpec {
	out := kit.EngineSpec{WeightsMB: 200_000, AdapterSlots: 5}
	for i := range small {
		out.Models = append(out.Models, kit.Model{Name: fmt.Sprintf("small%d", i), WeightsMB: 34_300, LoadS: 2.6, Adapters: 1, AdapterMB: 40})
	}
	for i := range large {
		out.Models = append(out.Models, kit.Model{Name: fmt.Sprintf("large%d", i), WeightsMB: 72_700, LoadS: 5.8, Adapters: 1, AdapterMB: 66})
	}
	return out
}

func main() {
	w := kit.NewWorld(os.Args[1])
	all := spec()
	var engines []*kit.Engine
	for e, zone := range []string{"a", "b"} {
		var held []string
		for _, m := range all.Models[5*e : 5*e+5] {
			held = append(held, m.Name)
		}
		engines = append(engines, w.AddEngine(fmt.Sprintf("e-%d", e), "engine", zone, all, held...))
	}
	w.Put("op/config", kit.EngineManifest(1, all, []kit.Route{kit.Chat}, kit.Writers))
	w.StartVMs()
	chats, stop := kit.NewChats(w), make(chan struct{})
	var consumers sync.WaitGroup
	ask := func(item string) { consumers.Go(func() { chats.Stream(item, pause, stop) }) }
	for i := range 4 {
		ask(fmt.Sprintf("small%d", i))
	}
	if w.Trouble {
		for i := range large {
			ask(fmt.Sprintf("large%d", i))
		}
	}
	time.Sleep(day)
	close(stop)
	consumers.Wait()
	never := 0
	for i := range large {
		sent, served := chats.Counts(fmt.Sprintf("large%d", i))
		w.Log("model", "name", fmt.Sprintf("large%d", i), "sent", sent, "served", served)
		if sent >= 4 && served == 0 {
			never++
		}
	}
	asked := 4
	if w.Trouble {
		asked += large
	}
	allowed := 1 + float64(asked)/10
	w.End(float64(never) > allowed, "Starved: %d of %d models that were asked for all day were never served, %.1f are allowed; orders to the replicas: %d and %d",
		never, asked, allowed, engines[0].Orders(), engines[1].Orders())
}
