package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/operator"
)

// environment is a set of VMs that serve the operators' API in this process.
type environment struct {
	t       *testing.T
	name    string
	store   *kvtest.Memory
	servers []*httptest.Server
	tallies []*configsync.Tally
	keyFile string
}

func newEnvironment(t *testing.T, name string, vms int) *environment {
	e := &environment{t: t, name: name, store: kvtest.NewMemory(nil), keyFile: filepath.Join(t.TempDir(), "key")}
	require.NoError(t, os.WriteFile(e.keyFile, []byte("op\n"), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	for i := range vms {
		syncer := configsync.NewSyncer(configsync.Options{Store: e.store, Environment: name, PollInterval: 20 * time.Millisecond})
		tally := configsync.NewTally(syncer)
		go syncer.Run(ctx)
		e.tallies = append(e.tallies, tally)
		e.servers = append(e.servers, httptest.NewServer(operator.NewHandler(operator.Options{
			VM:            fmt.Sprint("vm-", i),
			Operators:     operator.Operators{configstate.DigestKey("op"): "ana"},
			Configuration: syncer,
			Evidence:      tally,
			ChangeTimeout: 200 * time.Millisecond,
		})))
	}
	t.Cleanup(func() {
		for _, s := range e.servers {
			s.Close()
		}
		cancel()
	})
	return e
}

func (e *environment) urls() string {
	var urls []string
	for _, s := range e.servers {
		urls = append(urls, s.URL)
	}
	return strings.Join(urls, ",")
}

// commandTimeout is the time limit of a command, long enough for a process that gets little processor time.
const commandTimeout = "1m"

func (e *environment) run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	args = append([]string{"--server", e.urls(), "--key-file", e.keyFile, "--timeout", commandTimeout}, args...)
	code = Run(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (e *environment) file(format string, args ...any) string {
	file := filepath.Join(e.t.TempDir(), "env.yaml")
	require.NoError(e.t, os.WriteFile(file, []byte(fmt.Sprintf(format, args...)), 0o600))
	return file
}

const documentTemplate = `environment: %s
failure_domains: [a]
teams:
- name: t
  rate: %d
  burst: 10
  keys: [{id: k, sha256: ` + keyDigest + `}]
models: [{name: m, version: %s, memory: 1GiB}]
engines: [{name: e, url: "http://127.0.0.1:1", failure_domain: a, memory: 9GiB, kv_cache_reserve: 1GiB, fencing: ignored}]
weight_store: {loads_per_second: 1, concurrent_loads: 1}
promotion: {min_requests: 10, min_attainment: 0.9, max_error_share: 0.1}
`

const keyDigest = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"

func TestApplyReportsWhereItIsInForce(t *testing.T) {
	e := newEnvironment(t, "trial", 3)
	code, out, errOut := e.run("config", "apply", e.file(documentTemplate, "trial", 1, "v1"), "--base", "0", "-o", "json")
	require.Zero(t, code, errOut)
	var report changeReport
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.EqualValues(t, 1, report.Version)
	require.Len(t, report.VMs, 3)
	for _, vm := range report.VMs {
		require.True(t, vm.InForce)
	}
	code, out, _ = e.run("config", "get")
	require.Zero(t, code)
	require.Equal(t, fmt.Sprintf(documentTemplate, "trial", 1, "v1"), out)
	code, out, _ = e.run("team", "list", "-o", "yaml")
	require.Zero(t, code)
	require.Contains(t, out, "team: t")
	code, out, _ = e.run("status")
	require.Zero(t, code)
	require.Contains(t, out, "version 1")
}

func TestExitCodesTellWhatHappened(t *testing.T) {
	e := newEnvironment(t, "trial", 2)
	good := e.file(documentTemplate, "trial", 1, "v1")
	code, _, errOut := e.run("config", "apply", good, "--base", "0")
	require.Equal(t, ExitOK, code, errOut)
	other := e.file(documentTemplate, "trial", 2, "v1")
	code, _, errOut = e.run("config", "apply", other, "--base", "0")
	require.Equal(t, ExitConflict, code)
	require.Contains(t, errOut, `teams[t].rate: "1" -> "2"`)
	bad := e.file(documentTemplate, "trial", -2, "v1")
	code, _, errOut = e.run("config", "validate", bad)
	require.Equal(t, ExitRefused, code)
	require.Contains(t, errOut, ":5: teams[0].rate")
	code, _, _ = e.run("config", "apply", e.file(documentTemplate, "production", 1, "v1"), "--base", "1")
	require.Equal(t, ExitRefused, code)
	for _, wrong := range [][]string{{"config", "apply", good}, {"config", "get", "extra"}, {"nonsense"}, {"status", "-o", "xml"}, {"status", "--nonsense"}} {
		code, _, errOut = e.run(wrong...)
		require.Equal(t, ExitUsage, code, "%v: %s", wrong, errOut)
	}
	code, _, _ = e.run("config", "validate", "missing.yaml")
	require.Equal(t, ExitError, code)
	e.store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = true })
	code, _, _ = e.run("config", "apply", other, "--base", "1")
	require.Equal(t, ExitUnreachable, code)
}

// The VM that an operator called fails after it has sent the write to the store.
// Another VM determines by change ID and nonce that the change took effect.
func TestUnknownOutcomeIsResolvedThroughAnotherVM(t *testing.T) {
	e := newEnvironment(t, "trial", 2)
	handler := e.servers[0].Config.Handler
	e.servers[0].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
	code, _, errOut := e.run("config", "apply", e.file(documentTemplate, "trial", 1, "v1"), "--base", "0", "--wait", "100ms")
	require.Equal(t, ExitPartial, code, errOut)
	require.Contains(t, errOut, "took effect: version 1")
	require.Contains(t, errOut, "not seen in force at 1 of 2 VMs")
	require.Equal(t, 1, e.store.Calls().Writes, "the change must be written exactly once")
}

func TestUnresolvedOutcomeIsReportedAsUnknown(t *testing.T) {
	e := newEnvironment(t, "trial", 2)
	e.store.UpdateFaults(func(f *kvtest.Faults) { f.HoldRequests = 1 << 30 })
	code, _, errOut := e.run("--timeout", "1s", "config", "apply", e.file(documentTemplate, "trial", 1, "v1"), "--base", "0")
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, errOut, "ask again with: chestnutctl config outcome")
}

// A key leaks while the key-value service is down. Every VM refuses it at once,
// and the command reports that the withdrawal is not durable yet.
func TestWithdrawalDuringAnOutage(t *testing.T) {
	e := newEnvironment(t, "trial", 3)
	code, _, errOut := e.run("config", "apply", e.file(documentTemplate, "trial", 1, "v1"), "--base", "0")
	require.Zero(t, code, errOut)
	e.store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = true })
	code, out, errOut := e.run("key", "withdraw", "t", "k", "-o", "json")
	require.Equal(t, ExitPartial, code)
	require.Contains(t, errOut, "NOT DURABLE YET: 3 of 3 VMs refuse the key")
	var w withdrawalReport
	require.NoError(t, json.Unmarshal([]byte(out), &w))
	require.False(t, w.Durable)
	e.store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = false })
	code, _, errOut = e.run("key", "withdraw", "--digest", keyDigest)
	require.Zero(t, code, errOut)
	require.Contains(t, errOut, "refused at all 3 VMs")
	code, _, errOut = e.run("config", "apply", e.file(documentTemplate, "trial", 2, "v1"), "--base", "2")
	require.Equal(t, ExitRefused, code)
	require.Contains(t, errOut, "lists a withdrawn key")
	code, _, errOut = e.run("key", "add", "t", "k2", "--digest", configstate.DigestKey("new"))
	require.Equal(t, ExitRefused, code, "the document still lists the withdrawn key: %s", errOut)
	code, _, _ = e.run("key", "withdraw", "t", "nobody")
	require.Equal(t, ExitRefused, code)
}

// Operators promote by mistake a version that lacks evidence from trial. The
// command prints the reason, and production stays as it is. Once the evidence
// suffices, the promotion is accepted and the evidence is stored with it.
func TestPromotionRequiresEvidence(t *testing.T) {
	trial, production := newEnvironment(t, "trial", 2), newEnvironment(t, "production", 1)
	code, _, errOut := trial.run("config", "apply", trial.file(documentTemplate, "trial", 1, "v2"), "--base", "0")
	require.Zero(t, code, errOut)
	code, _, errOut = production.run("config", "apply", production.file(documentTemplate, "production", 5, "v1"), "--base", "0")
	require.Zero(t, code, errOut)
	code, _, errOut = production.run("config", "promote", "--from", trial.urls())
	require.Equal(t, ExitRefused, code)
	require.Contains(t, errOut, "min_requests: want 10, have 0")
	for i := range 10 {
		trial.tallies[i%2].RecordRequest(i > 0, false)
	}
	code, _, errOut = production.run("config", "promote", "--from", trial.urls())
	require.Zero(t, code, errOut)
	_, out, _ := production.run("config", "get", "-o", "json")
	var config operator.Config
	require.NoError(t, json.Unmarshal([]byte(out), &config))
	require.Contains(t, config.Document, "version: v2")
	require.Contains(t, config.Document, "environment: production")
	require.Contains(t, config.Document, "rate: 5")
	require.EqualValues(t, 10, config.Promotion.Requests)
	require.EqualValues(t, 9, config.Promotion.Attained)
	code, _, _ = trial.run("config", "promote", "--from", trial.urls())
	require.Equal(t, ExitRefused, code, "a promotion within one environment must be refused")
}

// Certificates issued by the command are valid for connections by IP, and the
// operator's certificate authenticates without a key.
func TestIssuedCertificatesServeByIP(t *testing.T) {
	dir := t.TempDir()
	run := func(args ...string) int { return Run(context.Background(), args, &bytes.Buffer{}, &bytes.Buffer{}) }
	require.Zero(t, run("tls", "authority", "--dir", dir))
	require.Equal(t, ExitError, run("tls", "authority", "--dir", dir), "an existing authority must not be overwritten")
	require.Zero(t, run("tls", "issue", "vm", "--dir", dir, "--ip", "127.0.0.1"))
	require.Zero(t, run("tls", "issue", "ana", "--dir", dir))
	pathOf := func(name string) string { return filepath.Join(dir, name) }
	pair, err := tls.LoadX509KeyPair(pathOf("vm.pem"), pathOf("vm.key"))
	require.NoError(t, err)
	authority, err := os.ReadFile(pathOf("authority.pem"))
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(authority))
	syncer := configsync.NewSyncer(configsync.Options{Store: kvtest.NewMemory(nil), Environment: "x"})
	server := httptest.NewUnstartedServer(operator.NewHandler(operator.Options{VM: "vm", Configuration: syncer}))
	server.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool, ClientAuth: tls.VerifyClientCertIfGiven}
	server.StartTLS()
	defer server.Close()
	base := []string{"--server", server.URL, "--authority", pathOf("authority.pem")}
	require.Zero(t, run(append(base, "--certificate", pathOf("ana.pem"), "--certificate-key", pathOf("ana.key"), "status")...))
	require.Equal(t, ExitRefused, run(append(base, "status")...))
}

func TestReferenceIsCurrent(t *testing.T) {
	var out bytes.Buffer
	require.Zero(t, Run(context.Background(), []string{"reference"}, &out, &out))
	page, err := os.ReadFile("../../docs/operators/chestnutctl.md")
	require.NoError(t, err)
	require.Equal(t, out.String(), string(page), "run: go run ./cmd/chestnutctl reference > docs/operators/chestnutctl.md")
}
