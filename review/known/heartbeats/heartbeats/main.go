//go:build review

// Command heartbeats shows that a replica which has left is used again, if the store executes two of its earlier heartbeats late.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/review/kit"
)

const (
	vms, replicas = 3, 4
	consumers     = 45
	timeout       = 1500 * time.Millisecond
	pause         = 60 * time.Millisecond
	// contact is the bound contact-ms, drain the bound drain-ms.
	contact, drain = 3 * time.Second, kit.DrainMs * time.Millisecond
	// late is how long after they were sent the two heartbeats are executed: 1 to 6 s by the pages.
	late = 5900 * time.Millisecond
	// serves is how long the replica goes on serving after its entry was removed.
	serves = 12 * time.Second
)

func main() {
	w := kit.NewWorld(os.Args[1])
	w.Put("op/config", kit.Manifest(3, []kit.Route{
		{Name: "file", Prefix: "/file/", Kind: "non_idempotent", Service: "clerk", Attempts: 1, TimeoutMs: 2000, AimMs: 300},
	}, []kit.Tenant{{Name: "t", Keys: []string{"k"}, Rate: 1e7, Burst: 1e7}}))
	for i := range replicas {
		w.AddReplica("clerk", zone(i), fmt.Sprintf("clerk-%d", i), nil)
	}
	for i := range vms {
		w.AddVM(fmt.Sprintf("vm-%d", i), zone(i))
	}
	w.Await("all machines are ready", 20*time.Second, w.AllReady)
	time.Sleep(contact + time.Second)
	stop := startLoad(w)
	leaving := w.Replicas[0]
	if w.Trouble {
		leaving.LoseHeartbeats(late, late)
	}
	w.Await("no answer is lost any more", 4*time.Second, func() bool { return leaving.Pending() == 0 })
	// The store counts as stable contact-ms after the last lost answer.
	time.Sleep(contact + 100*time.Millisecond)
	leaving.SetState("")
	acknowledged := time.Now()
	w.Log("removed", "id", leaving.ID)
	if w.Trouble {
		// Three heartbeats of silence after the last one that was executed.
		time.AfterFunc(late-contact+3*kit.Heartbeat, func() { leaving.SetState("") })
	}
	time.Sleep(serves)
	leaving.Exit()
	stop()
	judge(w, leaving, acknowledged)
}

func zone(i int) string { return []string{"a", "b"}[i%2] }

// startLoad sends requests to all machines until stop is called.
func startLoad(w *kit.World) (stop func()) {
	var ended atomic.Bool
	var all sync.WaitGroup
	var id atomic.Int64
	for i := range consumers {
		all.Go(func() {
			client, v := kit.NewClient(), w.VMs[i%vms]
			for !ended.Load() {
				q := kit.Request{ID: fmt.Sprintf("f%d", id.Add(1)), Method: "POST", Path: "/file/1", Key: "k", Body: "record", Timeout: timeout}
				a := client.Send(v.Callers, q)
				w.Log("request", "id", q.ID, "vm", v.Name, "status", a.Status, "err", a.Err)
				time.Sleep(pause)
			}
		})
	}
	return func() {
		ended.Store(true)
		all.Wait()
	}
}

// strictly is when the store is stable again at the latest, after the removal, if the late execution of the second heartbeat counts
// as a disruption of its own: contact-ms after it.
const strictly = late - contact - 100*time.Millisecond + contact

// judge counts the requests that reached the replica later than drain-ms after the store had acknowledged that it is gone.
func judge(w *kit.World, leaving *kit.Replica, acknowledged time.Time) {
	after, strict := 0, 0
	last := time.Duration(0)
	for _, run := range leaving.Runs() {
		since := run.At.Sub(acknowledged)
		w.Log("run", "replica", leaving.ID, "id", run.ID, "after-removal-ms", since.Milliseconds())
		if since > drain {
			after++
			last = max(last, since)
			if since > strictly {
				strict++
			}
		}
	}
	w.End(after > 0, "DRAIN: %d requests reached the replica later than %v after its removal, the last one %v after it; %d of them later than %v", after, drain, last.Round(time.Millisecond), strict, strictly)
}
