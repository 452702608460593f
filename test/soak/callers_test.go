package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// kind is a kind of request. Each kind has a route of the same name in the configuration.
type kind string

const (
	chat  kind = "chat"
	draft kind = "draft"
	file  kind = "file"
	look  kind = "look"
)

// atMostOnce reports whether a request of the kind must not run twice.
func (k kind) atMostOnce() bool { return k == chat || k == file }

// streams reports whether the answer to a request of the kind is a stream of events.
func (k kind) streams() bool { return k == chat || k == draft }

// attempt is one request and its result as the caller observed it.
type attempt struct {
	standin.Call
	kind   kind
	team   string
	vm     *vm
	sent   time.Time
	ended  time.Time
	answer standin.Answer
	// onlyPlannedStops says that the request was sent while there were no faults, only
	// planned restarts.
	onlyPlannedStops bool
}

// resolveInterval is how long a caller uses an answer of the directory.
const resolveInterval = 2 * time.Second

// load is a set of callers that send requests until they are stopped.
type load struct {
	w *world
	// kinds are the kinds of requests, idPrefix begins their IDs.
	kinds            []kind
	idPrefix         string
	onlyPlannedStops atomic.Bool
	lastID           atomic.Int64
	cancel           context.CancelFunc
	running          sync.WaitGroup
}

// startLoad starts concurrent callers. Each has its own connections.
func startLoad(w *world, seed uint64, callers int) *load {
	return startCallers(&load{w: w, kinds: []kind{chat, draft, file, look}, idPrefix: "id"}, seed, callers)
}

// startCrowd starts concurrent callers of the plain service.
func startCrowd(w *world, seed uint64, callers int) *load {
	return startCallers(&load{w: w, kinds: []kind{look}, idPrefix: fmt.Sprintf("crowd%x-", seed)}, seed, callers)
}

func startCallers(l *load, seed uint64, callers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for i := range callers {
		l.running.Go(func() { l.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(i)+100))) })
	}
	return l
}

func (l *load) stopAndWait() {
	l.cancel()
	l.running.Wait()
}

// runCaller sends requests as one caller until ctx ends.
func (l *load) runCaller(ctx context.Context, r *rand.Rand) {
	client := newClient()
	var known []*vm
	var resolved time.Time
	for ctx.Err() == nil {
		if time.Since(resolved) > resolveInterval || len(known) == 0 {
			known, resolved = l.resolve(ctx, r, known), time.Now()
		}
		if len(known) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		a := l.newAttempt(r, pick(r, known))
		l.send(ctx, client, a)
		if l.w.versions != nil && a.kind.streams() {
			l.resumeStream(ctx, r, client, known, a)
		}
		time.Sleep(min(a.answer.RetryAfter, 500*time.Millisecond))
		time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
	}
	client.CloseIdleConnections()
}

// send sends an attempt and records its result.
func (l *load) send(ctx context.Context, client *http.Client, a *attempt) {
	a.answer = standin.Send(ctx, client, a.vm.callersProxy.address(), a.Call)
	a.ended = time.Now()
	if ctx.Err() != nil {
		// The caller was stopped at the end of the run and observed no answer.
		a.answer = standin.Answer{Err: ctx.Err()}
	}
	l.w.oracle.record(a)
}

// resolve asks the directory of a random VM for the VMs to connect to. It returns previous if
// there is no answer.
func (l *load) resolve(ctx context.Context, r *rand.Rand, previous []*vm) []*vm {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	addresses, err := standin.Resolve(ctx, client, pick(r, l.w.vms).Directory, host, "a")
	if err != nil {
		return previous
	}
	var out []*vm
	for _, v := range l.w.vms {
		for _, a := range addresses {
			if a == v.Callers {
				out = append(out, v)
			}
		}
	}
	return out
}

func (l *load) newAttempt(r *rand.Rand, v *vm) *attempt {
	a := &attempt{kind: pick(r, l.kinds), vm: v, sent: time.Now(), onlyPlannedStops: l.onlyPlannedStops.Load()}
	a.team = pick(r, []string{"large", "large", "small"})
	l.w.mu.Lock()
	for _, t := range l.w.manifest.Teams {
		if t.Name == a.team {
			a.Key = pick(r, t.Keys)
		}
	}
	l.w.mu.Unlock()
	number := l.lastID.Add(1)
	id := fmt.Sprintf("%s%x", l.idPrefix, number)
	a.Call = standin.Call{
		ID: id, Host: host, Key: a.Key, Method: "POST", Path: "/" + string(a.kind) + "/" + id, Body: "body of " + id, Chunked: number%4 == 0, Timeout: 2 * time.Second,
	}
	if a.kind.streams() {
		a.Model, a.Prompt, a.Output, a.Timeout = fmt.Sprintf("m%d", r.IntN(4)), 400, 40, 6*time.Second
		if r.IntN(3) == 0 {
			a.Model += fmt.Sprintf("/a%d", 1+r.IntN(3))
		}
	}
	return a
}
