//go:build review

package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/portblock"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Host is the host of all routes.
const Host = "callers.example"

// watchdog ends a case that takes too long.
const watchdog = 114 * time.Second

// Heartbeat is how often a replica writes its entry.
const Heartbeat = time.Second

// World is the environment of one case.
type World struct {
	// Trouble is false if the case runs without its disruption.
	Trouble  bool
	Store    *Store
	VMs      []*VM
	Replicas []*Replica

	dir     string
	address string
	ports   portblock.Ports
	began   time.Time
	done    chan struct{}

	ending sync.Once
	mu     sync.Mutex
	record *os.File
}

// NewWorld returns a world with a running store. The record is written to record.txt in folder. TROUBLE=0 in the environment
// turns the disruption off.
func NewWorld(folder string) *World {
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), done: make(chan struct{})}
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		w.Fail("temporary folder: %v", err)
	}
	// A case may take 120 s.
	time.AfterFunc(watchdog, func() { w.Fail("not finished within %v", watchdog) })
	w.Store = newStore(w)
	w.address, _ = w.listen(w.Store)
	w.Log("world", "trouble", w.Trouble)
	return w
}

// listen serves a handler on a port of its own and returns the address, and a function that ends the server as a crash does:
// all channels are reset, and new ones are refused.
func (w *World) listen(handler http.Handler) (address string, crash func()) {
	listener, err := w.ports.Listen()
	if err != nil {
		w.Fail("listen: %v", err)
	}
	var mu sync.Mutex
	open := make(map[net.Conn]bool)
	server := &http.Server{Handler: handler, ConnState: func(c net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		open[c] = state != http.StateClosed
	}}
	go func() { _ = server.Serve(listener) }()
	crash = func() {
		_ = listener.Close()
		mu.Lock()
		for c, isOpen := range open {
			if tcp, ok := c.(*net.TCPConn); ok && isOpen {
				_ = tcp.SetLinger(0)
			}
		}
		mu.Unlock()
		_ = server.Close()
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(listener.Addr().(*net.TCPAddr).Port)), crash
}

// port returns a free port.
func (w *World) port() int {
	port, err := w.ports.Next()
	if err != nil {
		w.Fail("port: %v", err)
	}
	return port
}

// Log writes a line to the record: the time since the start in ms, the event, and pairs of names and values.
func (w *World) Log(event string, pairs ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8d %s", time.Since(w.began).Milliseconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(w.record, line)
}

// Fail ends a case that could not run.
func (w *World) Fail(format string, args ...any) { w.end(Failed, fmt.Sprintf(format, args...)) }

// End ends a case: the rule was broken or it held, for a reason.
func (w *World) End(broken bool, format string, args ...any) {
	status := Held
	if broken {
		status = Broken
	}
	w.end(status, fmt.Sprintf(format, args...))
}

func (w *World) end(status int, reason string) {
	first := false
	w.ending.Do(func() { first = true })
	if !first {
		select {}
	}
	w.Log("result", "status", status, "reason", strconv.Quote(reason))
	fmt.Println(map[int]string{Held: "held", Broken: "BROKEN", Failed: "could not run"}[status] + ": " + reason)
	close(w.done)
	w.stopVMs()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are kept in", w.dir)
	}
	os.Exit(status)
}

func (w *World) stopVMs() {
	var all sync.WaitGroup
	for _, v := range w.VMs {
		all.Go(v.stop)
	}
	all.Wait()
}

// Put writes a key of the operator, in JSON.
func (w *World) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		w.Fail("encode %s: %v", key, err)
	}
	w.Log("operator", "key", key, "bytes", len(encoded))
	w.Store.kv.PutBytes(key, encoded)
}

// Await waits until a condition holds, and ends the case if it does not within a time.
func (w *World) Await(what string, within time.Duration, condition func() bool) {
	for deadline := time.Now().Add(within); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.Fail("%s: not within %v", what, within)
		}
	}
	w.Log("reached", "what", strconv.Quote(what))
}

// Replica is a stand-in of a replica that keeps its entry in the store.
type Replica struct {
	*standin.Replica
	Service, Zone, Address string
	w                      *World

	exit func()

	mu    sync.Mutex
	state string
	// late holds how long after they were sent the next heartbeats are executed.
	late []time.Duration
}

// Exit ends the replica's process: its channels are reset, and new ones are refused.
func (r *Replica) Exit() {
	r.w.Log("replica", "id", r.ID, "exits", true)
	r.exit()
}

// Pending returns how many heartbeats are still to be lost.
func (r *Replica) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.late)
}

// AddReplica starts a replica. wrap, unless nil, returns the handler that answers in place of the replica's own.
func (w *World) AddReplica(service, zone, id string, wrap func(http.Handler) http.Handler, models ...string) *Replica {
	r := standin.NewReplica(id, 2, models...)
	r.NameAttempt, r.Born, r.ServiceTime = true, time.Now().UnixMilli(), 15*time.Millisecond
	var handler http.Handler = r
	if wrap != nil {
		handler = wrap(r)
	}
	address, crash := w.listen(handler)
	out := &Replica{Replica: r, Service: service, Zone: zone, Address: address, w: w, state: "ready", exit: crash}
	w.Replicas = append(w.Replicas, out)
	out.write()
	go out.beat()
	return out
}

// SetState changes the state in the entry; "" removes the entry.
func (r *Replica) SetState(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.w.Log("replica", "id", r.ID, "state", state)
	if state == "" {
		r.w.Store.kv.Delete("servers/" + r.ID)
		return
	}
	r.write()
}

func (r *Replica) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != "" {
		r.w.Store.kv.Put("servers/"+r.ID, r.Entry(r.Service, r.Address, r.Zone, r.state))
	}
}

func (r *Replica) beat() {
	for {
		select {
		case <-r.w.done:
			return
		case <-time.After(Heartbeat):
			r.mu.Lock()
			late := r.late
			if len(late) > 0 {
				r.late = late[1:]
			}
			r.mu.Unlock()
			if len(late) == 0 {
				r.write()
				continue
			}
			entry := r.Entry(r.Service, r.Address, r.Zone, "ready")
			r.w.Log("heartbeat", "id", r.ID, "lost", true, "executed-after", late[0])
			time.AfterFunc(late[0], func() {
				r.w.Log("heartbeat", "id", r.ID, "executed-late", true)
				r.w.Store.kv.Put("servers/"+r.ID, entry)
			})
		}
	}
}

// LoseHeartbeats makes the store leave the next heartbeats unanswered and execute each after a time.
func (r *Replica) LoseHeartbeats(delays ...time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = delays
}
