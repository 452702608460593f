package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// This case has another writer replace the entries of replicas, one after the other, by ones that lack most fields and name
// another service. The replica's own heartbeat writes its entry again.

const (
	forgedVMs    = 3
	forgedLength = 40 * time.Second
	forgedEach   = 6500 * time.Millisecond
)

func playForged(w *world) (int, error) {
	kinds := []*kind{
		{name: "file", method: http.MethodPost, path: "/file/", unique: true, perSecond: 40, work: 30 * time.Millisecond},
		{name: "post", method: http.MethodPost, path: "/post/", unique: true, perSecond: 40, work: 30 * time.Millisecond},
	}
	work := make(map[string]time.Duration)
	for _, k := range kinds {
		k.statuses = make(map[string]int)
		work[k.name] = k.work
	}
	manifest := crashManifest(kinds)
	for n, service := range []string{"clerk", "ledger"} {
		manifest["routes"].([]any)[n].(map[string]any)["service"] = service
	}
	manifest["services"] = append(manifest["services"].([]any), map[string]any{"name": "ledger", "max-connections": 110, "health-path": "/health"})
	w.configure(manifest)
	var replicas []*plain
	for n, service := range []string{"clerk", "clerk", "clerk", "ledger", "ledger", "ledger", "ledger", "ledger"} {
		p, err := w.startPlain(fmt.Sprintf("i-%s-%d", service, n), service, work)
		if err != nil {
			return failed, err
		}
		replicas = append(replicas, p)
	}
	for n := range forgedVMs {
		if _, err := w.startVM(fmt.Sprintf("vm-%d", n), "a", nil); err != nil {
			return failed, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(time.Second)
	ctx, stop := context.WithTimeout(context.Background(), forgedLength)
	defer stop()
	var all sync.WaitGroup
	began := time.Now()
	for _, k := range kinds {
		client := newConsumer()
		client.Transport.(*http.Transport).MaxIdleConnsPerHost = 50
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(time.Until(began.Add(time.Duration(float64(n) / k.perSecond * float64(time.Second)))))
				address := w.vms[n%len(w.vms)].Callers
				all.Go(func() { k.send(w, client, address, time.Time{}) })
			}
		})
	}
	all.Go(func() {
		for ctx.Err() == nil {
			pause(ctx, heartbeat)
			for _, p := range replicas {
				w.writePlain(p)
			}
		}
	})
	pause(ctx, forgedEach)
	for n := len(replicas) - 1; ctx.Err() == nil && w.trouble && replicas[n].service == "ledger"; n-- {
		victim := replicas[n]
		entry := map[string]any{"service": "clerk", "address": victim.address, "state": "ready", "slots": 6}
		w.store.Put("servers/"+victim.id, entry)
		w.note("another writer replaces the entry of %s, a replica of ledger: %v", victim.id, entry)
		pause(ctx, forgedEach)
	}
	all.Wait()
	astray := 0
	for _, p := range replicas {
		for _, target := range p.targets() {
			if !strings.HasPrefix(target, map[string]string{"clerk": "/file/", "ledger": "/post/"}[p.service]) {
				astray++
			}
		}
	}
	w.note("%d requests ran at a service to which no manifest lets them go", astray)
	if astray > 0 {
		return broken, nil
	}
	return held, nil
}
