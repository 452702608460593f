package clients

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"text/template"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// entryWorld is one chestnut-entry and one chestnut-planner with their stand-ins.
type entryWorld struct {
	t   *testing.T
	dir string
	// The fields below are addresses of listeners, for the templates of testdata.
	KV, VMs, Service, Callers, Operators, Peers, Metrics, PlannerPeers, PlannerMetrics string
}

// newEntryWorld starts the stand-ins, and applies a document.
func newEntryWorld(t *testing.T) *entryWorld {
	w := &entryWorld{t: t, dir: t.TempDir()}
	for _, address := range []*string{&w.KV, &w.VMs, &w.Service, &w.Callers, &w.Operators, &w.Peers, &w.Metrics, &w.PlannerPeers, &w.PlannerMetrics} {
		port, err := ports.Next()
		require.NoError(t, err)
		*address = fmt.Sprintf("127.0.0.1:%d", port)
	}
	w.run("chestnut-standin", "standins.yaml")
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + w.KV + "/standin/records")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	}, patience, 50*time.Millisecond)
	store, err := kv.NewHTTP(kv.Options{URLs: []string{"http://" + w.KV}})
	require.NoError(t, err)
	text, err := os.ReadFile(w.file("document.yaml"))
	require.NoError(t, err)
	writer := &configsync.Writer{Store: store, Environment: "trial"}
	_, err = writer.Apply(context.Background(), configsync.Change{ID: "first", Author: "test"}, 0, string(text))
	require.NoError(t, err)
	return w
}

// file fills a template of testdata, and returns the path of the result.
func (w *entryWorld) file(name string) string {
	path := filepath.Join(w.dir, name)
	filled, err := template.New(name).Funcs(template.FuncMap{"digest": configstate.DigestKey}).ParseFiles(filepath.Join("testdata", name))
	require.NoError(w.t, err)
	var text strings.Builder
	require.NoError(w.t, filled.Execute(&text, w))
	require.NoError(w.t, os.WriteFile(path, []byte(text.String()), 0o600))
	return path
}

// run starts a program that listens at addresses, with a configuration from a template, until the test ends.
func (w *entryWorld) run(program, config string, listeners ...string) *process {
	p := &process{t: w.t, cmd: exec.Command(filepath.Join(programs, program), "--config", w.file(config)), listeners: listeners}
	p.start()
	return p
}

// requireOrdinaryAnswer checks that a caller's request is answered.
func (w *entryWorld) requireOrdinaryAnswer() {
	w.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	require.Eventually(w.t, func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+w.Callers+"/services/registry/records", strings.NewReader("body"))
		require.NoError(w.t, err)
		request.Header.Set("Authorization", "Bearer key")
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}, patience, 200*time.Millisecond, "no ordinary request was answered")
}

// commonBehaviours are those of clients of any listener.
var commonBehaviours = []behaviour{
	{"short lines without an end", crowdSize, false, once(func(n int) string {
		return filled(n, http.MethodGet, "", func(i int) string { return shortName(i) + ":\n" })
	})},
	{"short lines of a large head without an end", crowdSize, false, once(func(n int) string {
		return filledTo(2*legalHead, n, http.MethodGet, "", func(i int) string { return shortName(i) + ":\n" })
	})},
	{"header lines without end", crowdSize, false, repeated(getHead, func(i int) string { return shortName(i) + ":\n" })},
	{"header blocks without end", crowdSize, false, headerBlocks(0)},
	{"messages that do not end", crowdSize, false, unfinishedMessages},
	{"connections without a byte", connectionCrowd, false, once(func(int) string { return "" })},
}

// Guards against clients outside the limits that end an entry VM's process or take it from ordinary callers.
func TestEntryOutlivesItsClients(t *testing.T) {
	for _, b := range commonBehaviours {
		t.Run(strings.ReplaceAll(b.name, " ", "-"), func(t *testing.T) {
			w := newEntryWorld(t)
			entry := w.run("chestnut-entry", "entry.yaml", w.Callers, w.Operators, w.Peers, w.Metrics)
			w.requireOrdinaryAnswer()
			for _, listener := range entry.listeners {
				entry.send(listener, b.clients, b.read, b.what)
				w.requireOrdinaryAnswer()
				entry.requireWithinLimits()
			}
		})
	}
}

// Guards against clients outside the limits that end a planner's process.
func TestPlannerOutlivesItsClients(t *testing.T) {
	for _, b := range commonBehaviours {
		t.Run(strings.ReplaceAll(b.name, " ", "-"), func(t *testing.T) {
			w := newEntryWorld(t)
			planner := w.run("chestnut-planner", "planner.yaml", w.PlannerPeers, w.PlannerMetrics)
			for _, listener := range planner.listeners {
				require.Eventually(t, func() bool { return answers(listener) }, patience, 50*time.Millisecond)
				planner.send(listener, b.clients, b.read, b.what)
				require.Eventually(t, func() bool { return answers(listener) }, patience, 200*time.Millisecond, "no answer")
				planner.requireWithinLimits()
			}
		})
	}
}

// answers reports whether a server gives any answer.
func answers(address string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Get("http://" + address + "/metrics")
	return err == nil && response.Body.Close() == nil
}
