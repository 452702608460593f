//go:build review

// Command neverback crashes a replica whose model leaves little of its memory free.
package main

import (
	"os"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/review/kit"
)

// A replica has room for one of the models. The large one leaves 300 MB, which is room for four adapters of 66 MB.
var spec = kit.EngineSpec{WeightsMB: 73_000, AdapterSlots: 8, Models: []kit.Model{
	{Name: "large", WeightsMB: 72_700, LoadS: 2, Adapters: 4, AdapterMB: 66},
	{Name: "small", WeightsMB: 34_300, LoadS: 2, Adapters: 4, AdapterMB: 40},
}}

// The crash comes after a twelfth of the day.
const (
	day   = 72 * time.Second
	crash = 6 * time.Second
	pause = 400 * time.Millisecond
)

func main() {
	w := kit.NewWorld(os.Args[1])
	first := w.AddEngine("e-1", "engine", "a", spec, "large")
	w.AddEngine("e-2", "engine", "b", spec, "small")
	w.Put("op/config", kit.EngineManifest(1, spec, []kit.Route{kit.Chat}, kit.Writers))
	w.StartVMs()
	if w.Trouble {
		time.AfterFunc(crash, first.Crash)
	}
	chats, stop := kit.NewChats(w), make(chan struct{})
	var all sync.WaitGroup
	for _, item := range []string{"large", "small"} {
		for range 2 {
			all.Go(func() { chats.Stream(item, pause, stop) })
		}
	}
	time.Sleep(day)
	close(stop)
	all.Wait()
	sent, served := chats.Counts("large")
	sentSmall, servedSmall := chats.Counts("small")
	share, all4 := float64(served)/float64(sent), float64(served+servedSmall)/float64(sent+sentSmall)/4
	w.End(share < all4, "Starved: of the requests for the large model %d of %d were served, of those for the small one %d of %d; orders to its replica: %d",
		served, sent, servedSmall, sentSmall, first.Orders())
}
