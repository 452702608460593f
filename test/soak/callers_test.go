package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// kind is a route of the configuration.
type kind string

const (
	chat  kind = "chat"
	draft kind = "draft"
	file  kind = "file"
	look  kind = "look"
)

// once says that a request of the kind must not run twice.
func (k kind) once() bool { return k == chat || k == file }

func (k kind) streams() bool { return k == chat || k == draft }

// attempt is one request with everything that its caller saw.
type attempt struct {
	standin.Call
	kind   kind
	team   string
	vm     *vm
	sent   time.Time
	ended  time.Time
	answer standin.Answer
	// quiet says that nothing but planned work was going on.
	quiet bool
}

const (
	// callers is how many ask at a time, each with connections of its own.
	callers = 10
	// resolveEvery is how long a caller keeps an answer of the directory.
	resolveEvery = 2 * time.Second
)

// load is callers that ask until they are stopped.
type load struct {
	w     *world
	quiet atomic.Bool
	ids   atomic.Int64
	stop  context.CancelFunc
	done  sync.WaitGroup
}

func startLoad(w *world, seed uint64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{w: w, stop: cancel}
	for i := range callers {
		l.done.Go(func() { l.call(ctx, rand.New(rand.NewPCG(seed, uint64(i)+100))) })
	}
	return l
}

func (l *load) end() {
	l.stop()
	l.done.Wait()
}

// call plays one caller.
func (l *load) call(ctx context.Context, r *rand.Rand) {
	client := newClient()
	var known []*vm
	var resolved time.Time
	for ctx.Err() == nil {
		if time.Since(resolved) > resolveEvery || len(known) == 0 {
			known, resolved = l.resolve(ctx, r, known), time.Now()
		}
		if len(known) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		a := l.attempt(r, pick(r, known))
		a.answer = standin.Send(ctx, client, a.vm.callers.address(), a.Call)
		a.ended = time.Now()
		if ctx.Err() != nil {
			// The caller left at the end of the run; it saw nothing.
			a.answer = standin.Answer{Err: ctx.Err()}
		}
		l.w.oracle.saw(a)
		time.Sleep(min(a.answer.RetryAfter, 500*time.Millisecond))
		time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
	}
	client.CloseIdleConnections()
}

// resolve asks a random VM where to connect. A caller that gets no answer keeps what it has.
func (l *load) resolve(ctx context.Context, r *rand.Rand, old []*vm) []*vm {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	addresses, err := standin.Resolve(ctx, client, pick(r, l.w.vms).Directory, host, "a")
	if err != nil {
		return old
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

func (l *load) attempt(r *rand.Rand, v *vm) *attempt {
	a := &attempt{kind: pick(r, []kind{chat, draft, file, look}), vm: v, sent: time.Now(), quiet: l.quiet.Load()}
	a.team = pick(r, []string{"large", "large", "small"})
	l.w.mu.Lock()
	for _, t := range l.w.manifest.Teams {
		if t.Name == a.team {
			a.Key = pick(r, t.Keys)
		}
	}
	l.w.mu.Unlock()
	id := fmt.Sprintf("id%x", l.ids.Add(1))
	a.Call = standin.Call{
		ID: id, Host: host, Key: a.Key, Method: "POST", Path: "/" + string(a.kind) + "/" + id, Body: "body of " + id, Wait: 2 * time.Second,
	}
	if a.kind.streams() {
		a.Model, a.Prompt, a.Output, a.Wait = fmt.Sprintf("m%d", r.IntN(4)), 400, 40, 6*time.Second
		if r.IntN(3) == 0 {
			a.Model += fmt.Sprintf("/a%d", 1+r.IntN(3))
		}
	}
	return a
}
