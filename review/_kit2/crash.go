package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This case has all replicas of a plain service crash at once, as when the rack or the database behind them fails, and come
// back a few seconds later. Consumers go on with the requests that they have always sent.

const (
	crashVMs      = 3
	crashReplicas = 3
	crashAt       = 6 * time.Second
	crashFor      = 3 * time.Second
	crashLength   = 90 * time.Second
	// starvedShare is the part of what is served of all requests below which a kind of request counts as starved.
	starvedShare = 0.25
)

// kind is a kind of request.
type kind struct {
	name, method, path string
	// unique requests differ from each other in their path, or in their body.
	unique    bool
	perSecond float64
	work      time.Duration

	mu                            sync.Mutex
	sent, served, sentAfter, late int
	statuses                      map[string]int
}

// plain is a replica of a plain service.
type plain struct {
	id, address, service string
	born                 int64
	server               *http.Server
	w                    *world
	work                 map[string]time.Duration
	running              atomic.Int64
	mu                   sync.Mutex
	ran                  []string
}

// targets returns the targets of the requests that the replica has run.
func (p *plain) targets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.ran)
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Chestnutarch-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Chestnutarch-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Chestnutarch-Expected-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Chestnutarch-Instance-Id", p.id)
		return
	}
	running := p.running.Add(1)
	defer p.running.Add(-1)
	p.mu.Lock()
	p.ran = append(p.ran, r.RequestURI)
	p.mu.Unlock()
	p.w.note("replica %s runs %s %s %s (%d running)", p.id, id, r.Method, r.RequestURI, running)
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	select {
	case <-time.After(p.work[name]):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Chestnutarch-Response-Signature", "sig-"+p.id)
	w.Header().Set("X-Chestnutarch-Server-Load", fmt.Sprintf("%d,0,6", running))
	_, _ = fmt.Fprintf(w, "done by %s for %s", p.id, id)
}

func (w *world) startPlain(id, service string, work map[string]time.Duration) (*plain, error) {
	listener, err := w.listen()
	if err != nil {
		return nil, err
	}
	p := &plain{id: id, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli(), w: w, work: work}
	p.server = &http.Server{Handler: p, IdleTimeout: 10 * time.Second}
	go func() { _ = p.server.Serve(listener) }()
	w.writePlain(p)
	w.note("replica %s starts at %s", p.id, p.address)
	return p, nil
}

// writePlain writes the entry of a replica, as its heartbeat does.
func (w *world) writePlain(p *plain) {
	w.store.Put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": "a", "version": "v1", "slots": 6, "state": "ready", "cold-remaining-ms": 0,
		"sequence": 0, "born": p.born,
	})
}

func crashManifest(kinds []*kind) map[string]any {
	var routes []any
	for _, k := range kinds {
		kindName, tries := "idempotent", 2
		if k.method == http.MethodPost {
			kindName, tries = "non_idempotent", 1
		}
		routes = append(routes, map[string]any{
			"name": k.name, "host": host, "path-prefix": "/" + k.name + "/", "kind": kindName, "timeout-ms": 1500, "target-latency-ms": 300,
			"priority": 2, "service": "clerk", "attempts": tries,
		})
	}
	return map[string]any{
		"version": 1, "routes": routes,
		"tenants":  []any{map[string]any{"name": "office", "keys": []string{key}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 0, "burst": 0}},
		"services": []any{map[string]any{"name": "clerk", "max-connections": 110, "health-path": "/health"}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
	}
}

// send makes one request: an attempt, and one more after a refusal that tells when to come back.
func (k *kind) send(w *world, client *http.Client, address string, back time.Time) {
	n := attempts.Add(1)
	path, body := k.path, "{}"
	if k.unique {
		path, body = fmt.Sprintf("%s%d", k.path, n), fmt.Sprintf(`{"n":%d}`, n)
	}
	began := time.Now()
	outcome := ""
	for try := range 2 {
		var retry time.Duration
		outcome, retry = k.try(w, client, address, path, body, fmt.Sprintf("%014x%02x", n, try), 3*time.Second-time.Since(began))
		if outcome == "200" || try == 1 || retry == 0 || retry > (3*time.Second-time.Since(began))/3 {
			break
		}
		time.Sleep(retry)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent++
	after := !back.IsZero() && began.After(back)
	if after {
		k.sentAfter++
	}
	if outcome == "200" {
		k.served++
		if after {
			k.late++
		}
	}
	k.statuses[outcome]++
}

func (k *kind) try(w *world, client *http.Client, address, path, body, id string, left time.Duration) (outcome string, retry time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var content io.Reader
	if k.method == http.MethodPost {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+address+path, content)
	if err != nil {
		return err.Error(), 0
	}
	r.Host, r.GetBody = host, nil
	r.Header.Set("X-Chestnutarch-Attempt-Id", id)
	r.Header.Set("X-Chestnutarch-Deadline-Remaining-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+key)
	w.note("consumer sends %s %s %s to %s", id, k.method, path, address)
	response, err := client.Transport.RoundTrip(r)
	if err != nil {
		w.note("consumer gets no answer to %s: %v", id, err)
		return "no answer", 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	w.note("consumer gets %d to %s, retry after %q, signature %q: %s %v", response.StatusCode, id, response.Header.Get("Retry-After"),
		response.Header.Get("X-Chestnutarch-Response-Signature"), text, err)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return "cut", 0
	}
	return strconv.Itoa(response.StatusCode), time.Duration(seconds * float64(time.Second))
}

func playCrash(w *world) (int, error) {
	kinds := []*kind{
		{name: "board", method: http.MethodGet, path: "/board/today", perSecond: 60, work: 120 * time.Millisecond},
		{name: "entry", method: http.MethodGet, path: "/entry/", unique: true, perSecond: 15, work: 60 * time.Millisecond},
		{name: "file", method: http.MethodPost, path: "/file/", unique: true, perSecond: 30, work: 60 * time.Millisecond},
	}
	work := make(map[string]time.Duration)
	for _, k := range kinds {
		k.statuses = make(map[string]int)
		work[k.name] = k.work
	}
	w.configure(crashManifest(kinds))
	var replicas []*plain
	for n := range crashReplicas {
		p, err := w.startPlain(fmt.Sprintf("i-%d", n), "clerk", work)
		if err != nil {
			return failed, err
		}
		replicas = append(replicas, p)
	}
	for n := range crashVMs {
		if _, err := w.startVM(fmt.Sprintf("vm-%d", n), "a", nil); err != nil {
			return failed, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(time.Second)
	began := time.Now()
	var back atomic.Pointer[time.Time]
	back.Store(&time.Time{})
	ctx, stop := context.WithTimeout(context.Background(), crashLength)
	defer stop()
	var all sync.WaitGroup
	for _, k := range kinds {
		client := newConsumer()
		client.Transport.(*http.Transport).MaxIdleConnsPerHost = 50
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(time.Until(began.Add(time.Duration(float64(n) / k.perSecond * float64(time.Second)))))
				address := w.vms[n%len(w.vms)].Callers
				all.Go(func() { k.send(w, client, address, *back.Load()) })
			}
		})
	}
	if w.trouble {
		time.Sleep(time.Until(began.Add(crashAt)))
		for _, p := range replicas {
			w.note("replica %s crashes while it runs %d requests", p.id, p.running.Load())
		}
		for _, p := range replicas {
			_ = p.server.Close()
		}
		time.Sleep(crashFor)
		for n := range replicas {
			w.store.Delete("servers/" + replicas[n].id)
			p, err := w.startPlain(fmt.Sprintf("i-%d", crashReplicas+n), "clerk", work)
			if err != nil {
				return failed, err
			}
			replicas[n] = p
		}
	} else {
		time.Sleep(time.Until(began.Add(crashAt + crashFor)))
	}
	// The processes learn of the replicas within drain-ms, and of the new table by then.
	settled := time.Now().Add(5 * time.Second)
	back.Store(&settled)
	for ctx.Err() == nil {
		pause(ctx, heartbeat)
		for _, p := range replicas {
			w.writePlain(p)
		}
	}
	all.Wait()
	return w.judgeStarved(kinds), nil
}

// judgeStarved compares how often each kind of request is served with how often all are.
func (w *world) judgeStarved(kinds []*kind) int {
	sent, served := 0, 0
	for _, k := range kinds {
		sent, served = sent+k.sent, served+k.served
	}
	overall := float64(served) / float64(sent)
	w.note("all requests: %d of %d served (%.3f)", served, sent, overall)
	verdict := held
	for _, k := range kinds {
		share := float64(k.served) / float64(k.sent)
		starved := share < starvedShare*overall
		w.note("%s: %d of %d served (%.3f), %d of %d of those sent 5 s after the replicas were back or later; outcomes %v; starved: %v",
			k.name, k.served, k.sent, share, k.late, k.sentAfter, k.statuses, starved)
		if starved {
			verdict = broken
		}
	}
	return verdict
}
