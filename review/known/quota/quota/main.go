//go:build review

// Command quota shows that a VM whose registration is written twice, since the store's answer to the first write was lost,
// stays unregistered for the rest of its life, and that a tenant then gets more than its quota.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
	"github.com/chestnutarch/chestnutarch/review/kit"
)

const (
	vms = 6
	// rate and burst are the tenant's quota in tokens; window, overage and slack are the bounds.
	rate, burst    = 400_000.0, 40_000.0
	window         = 8 * time.Second
	overage, slack = 0.1, kit.QuotaUnit
	// tokens is what one request counts, perSecond how many requests a second the tenant sends.
	tokens    = 10_000
	perSecond = 120
	length    = 24 * time.Second
	// delay is the time after which the store executes a write whose answer is lost: 1 to 6 s by the pages.
	delay = 3 * time.Second
)

// losing are the VMs whose first write of their registration gets no answer: one third of them.
var losing = []string{"vm-0", "vm-1"}

func main() {
	w := kit.NewWorld(os.Args[1])
	w.Put("op/config", kit.Manifest(3, []kit.Route{
		{Name: "look", Prefix: "/look/", Kind: "idempotent", Service: "clerk", Attempts: 2, TimeoutMs: 2000, AimMs: 300},
	}, []kit.Tenant{{Name: "t", Keys: []string{"k"}, Rate: rate, Burst: burst}}))
	for i := range 4 {
		w.AddReplica("clerk", zone(i), fmt.Sprintf("clerk-%d", i), nil)
	}
	if w.Trouble {
		loseFirstRegistrations(w)
	}
	for i := range vms {
		w.AddVM(fmt.Sprintf("vm-%d", i), zone(i))
	}
	w.Await("all machines are ready", 20*time.Second, w.AllReady)
	// The leases of the lost writes have ended after this time.
	time.Sleep(11 * time.Second)
	w.Store.LoseAnswers(nil)
	logRegistrations(w)
	// A planned restart of the other machines, one after the other.
	for _, v := range w.VMs[len(losing):] {
		before := v.PID()
		v.Terminate()
		w.Await(v.Name+" is started again", 12*time.Second, func() bool { return v.PID() != before && v.Ready() })
	}
	time.Sleep(5 * time.Second)
	logRegistrations(w)
	load(w)
	judge(w)
}

func zone(i int) string { return []string{"a", "b"}[i%2] }

func loseFirstRegistrations(w *kit.World) {
	var mu sync.Mutex
	lost := make(map[string]bool)
	w.Store.LoseAnswers(func(call kit.Write) kit.Verdict {
		mu.Lock()
		defer mu.Unlock()
		for _, name := range losing {
			if call.Path == "/kv-txn" && strings.Contains(string(call.Body), `"chestnutarch/vms/`+name+`"`) && !lost[name] {
				lost[name] = true
				return kit.Verdict{Lost: true, Delay: delay}
			}
		}
		return kit.Verdict{}
	})
}

func logRegistrations(w *kit.World) {
	for _, v := range w.VMs {
		_, ok := w.Store.Get("chestnutarch/vms/" + v.Name)
		w.Log("registration", "vm", v.Name, "present", ok)
	}
}

// load sends the tenant's requests, three times its quota, evenly to all machines.
func load(w *kit.World) {
	var all sync.WaitGroup
	var id atomic.Int64
	clients := make([]*kit.Client, vms)
	for i := range clients {
		clients[i] = kit.NewClient()
	}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		all.Go(func() {
			n := id.Add(1)
			i := int(n) % vms
			name := fmt.Sprintf("q%d", n)
			sent := time.Now()
			a := clients[i].Send(w.VMs[i].Callers, kit.Request{
				ID: name, Method: "GET", Path: "/look/" + name, Key: "k", Tokens: fmt.Sprintf("%d,%d", tokens-100, 100), Timeout: 1500 * time.Millisecond,
			})
			w.Log("request", "id", name, "vm", w.VMs[i].Name, "status", a.Status, "ms", time.Since(sent).Milliseconds(), "err", a.Err)
		})
	}
	all.Wait()
}

// judge compares what the replicas ran with the quota.
func judge(w *kit.World) {
	var runs []standin.Run
	for _, r := range w.Replicas {
		for _, run := range r.Runs() {
			runs = append(runs, run)
			w.Log("run", "replica", r.ID, "id", run.ID, "tokens", run.Tokens, "tenant", run.Tenant)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
	most, sum, from := 0.0, 0.0, 0
	for _, r := range runs {
		sum += float64(r.Tokens)
		for r.At.Sub(runs[from].At) > window {
			sum -= float64(runs[from].Tokens)
			from++
		}
		most = max(most, sum)
	}
	w.End(most > allowed, "QUOTA: at most %.0f tokens of the tenant ran in %v, %.0f are allowed", most, window, allowed)
}
