//go:build review

package kit

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Key is the key of the tenant "writers", whose rate binds nobody.
const Key = "key-of-writers"

// Writers is that tenant.
var Writers = []Tenant{{Name: "writers", Keys: []string{Key}, Rate: 1e6, Burst: 1e6}}

// Chat is a route to model replicas whose streams cannot be resumed.
var Chat = Route{Name: "chat", Prefix: "/chat/", Kind: "streaming", Service: "engine", Attempts: 1, TimeoutMs: 8000, AimMs: 2000}

// Chats sends requests of the route Chat, each to the next VM.
type Chats struct {
	w      *World
	client *Client
	n      atomic.Int64

	mu           sync.Mutex
	sent, served map[string]int
}

// NewChats returns consumers of the route Chat.
func NewChats(w *World) *Chats {
	return &Chats{w: w, client: NewClient(), sent: make(map[string]int), served: make(map[string]int)}
}

// Ask sends one attempt for an item, "model" or "model/adapter", and reports whether it was answered whole.
func (c *Chats) Ask(item string) bool {
	n := c.n.Add(1)
	q := Request{
		ID: fmt.Sprintf("a%07d", n), Method: "POST", Path: Chat.Prefix + "1", Key: Key, Model: item, Tokens: "100,40", Timeout: 6 * time.Second,
	}
	c.w.Log("send", "attempt", q.ID, "model", item)
	got := c.client.Send(c.w.VMs[int(n)%len(c.w.VMs)].Callers, q)
	c.w.Log("answer", "attempt", q.ID, "model", item, "status", got.Status, "events", strings.Count(got.Body, "data:"), "err", got.Err)
	ok := got.Status == 200 && got.Err == nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[item]++
	if ok {
		c.served[item]++
	}
	return ok
}

// Counts returns how many attempts for an item were sent and answered whole.
func (c *Chats) Counts(item string) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[item], c.served[item]
}

// Stream asks for an item over and over, by one consumer, until stop is closed.
func (c *Chats) Stream(item string, pause time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			c.Ask(item)
		}
	}
}

// StartVMs starts three machines and waits until they are ready and one of them leads.
func (w *World) StartVMs() {
	for i, zone := range []string{"a", "b", "a"} {
		w.AddVM(fmt.Sprintf("vm-%d", i), zone)
	}
	w.Await("all VMs ready", 20*time.Second, w.AllReady)
	time.Sleep(8 * time.Second)
}
