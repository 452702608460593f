package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
)

func documentText(rate int, keys ...string) string {
	doc := fmt.Sprintf("environment: test\nfailure_domains: [a]\nteams:\n- name: t\n  rate: %d\n  burst: 10\n  keys:\n", rate)
	for i, key := range keys {
		doc += fmt.Sprintf("  - {id: k%d, sha256: %s}\n", i, configstate.DigestKey(key))
	}
	return doc
}

// startVM serves the API of one VM with the given store and returns a client
// with a valid key.
func startVM(t *testing.T, store kv.Store) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	syncer := configsync.NewSyncer(configsync.Options{Store: store, Environment: "test", PollInterval: 20 * time.Millisecond})
	runResult := make(chan error, 1)
	go func() { runResult <- syncer.Run(ctx) }()
	server := httptest.NewServer(NewHandler(Options{
		VM:            "vm-1",
		Operators:     Operators{configstate.DigestKey("op"): "ana"},
		Configuration: syncer,
		ChangeTimeout: 300 * time.Millisecond,
	}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		require.NoError(t, <-runResult)
	})
	return &Client{Server: server.URL, Key: "op", HTTP: server.Client()}
}

func applyRequest(base int64, doc string) *ApplyRequest {
	id := fmt.Sprintf("change-on-%d", base)
	return &ApplyRequest{ChangeRequest: ChangeRequest{ChangeID: id, Nonce: "nonce-" + id, BaseVersion: base}, Document: doc}
}

func TestOperatorsChangeAndRead(t *testing.T) {
	ctx := context.Background()
	c := startVM(t, kvtest.NewMemory(nil))
	_, err := c.Config(ctx)
	require.ErrorIs(t, err, ErrNotFound)
	first, err := c.Apply(ctx, applyRequest(0, documentText(1)))
	require.NoError(t, err)
	require.Equal(t, OutcomeTookEffect, first.Outcome)
	repeated, err := c.Apply(ctx, applyRequest(0, documentText(1)))
	require.NoError(t, err)
	require.Equal(t, first, repeated, "a repeated change must take effect only once")
	second, err := c.Apply(ctx, applyRequest(1, documentText(2)))
	require.NoError(t, err)
	require.EqualValues(t, 2, second.Version)

	config, err := c.Config(ctx)
	require.NoError(t, err)
	require.Equal(t, documentText(2), config.Document)
	require.Equal(t, "ana", config.Author)
	old, err := c.Version(ctx, 1)
	require.NoError(t, err)
	require.Equal(t, documentText(1), old.Document)
	list, err := c.History(ctx, 10)
	require.NoError(t, err)
	require.Len(t, list, 2)
	require.Empty(t, list[0].Document)
	found, err := c.Change(ctx, applyRequest(1, "").ChangeRequest)
	require.NoError(t, err)
	require.Equal(t, second, found)
	require.Eventually(t, func() bool {
		in, err := c.InForce(ctx)
		return err == nil && in.Version == 2 && in.Fresh
	}, 10*time.Second, time.Millisecond)
	_, err = c.Plan(ctx)
	require.ErrorIs(t, err, ErrUnavailable)
}

// Without authentication anyone who reaches the listener could change the
// environment.
func TestCallsWithoutOperatorKeyAreRejected(t *testing.T) {
	c := startVM(t, kvtest.NewMemory(nil))
	for _, key := range []string{"", "wrong"} {
		stranger := &Client{Server: c.Server, Key: key, HTTP: c.HTTP}
		_, err := stranger.InForce(context.Background())
		require.ErrorIs(t, err, ErrUnauthorized)
	}
}

func TestRefusalsAndConflictsAreTyped(t *testing.T) {
	ctx := context.Background()
	c := startVM(t, kvtest.NewMemory(nil))
	_, err := c.Apply(ctx, applyRequest(0, documentText(-1)))
	require.ErrorIs(t, err, ErrRefused)
	var refused *APIError
	require.ErrorAs(t, err, &refused)
	require.Contains(t, refused.Mistakes[0], "document:5: teams[0].rate: -1")
	_, err = c.Apply(ctx, applyRequest(0, documentText(1)))
	require.NoError(t, err)
	late := applyRequest(0, documentText(2))
	late.Nonce = "another"
	_, err = c.Apply(ctx, late)
	require.ErrorIs(t, err, ErrConflict)
	var conflict *APIError
	require.ErrorAs(t, err, &conflict)
	require.EqualValues(t, 1, conflict.Version)
	require.Equal(t, "teams[t].rate", conflict.Changes[0].Path)
}

// The key-value service is down. A withdrawal takes effect at the VM at once, and
// the answer says that it is not durable; a document cannot be accepted.
func TestOutageIsReportedAsUnavailable(t *testing.T) {
	ctx := context.Background()
	store := kvtest.NewMemory(nil)
	c := startVM(t, store)
	_, err := c.Apply(ctx, applyRequest(0, documentText(1, "leaked")))
	require.NoError(t, err)
	require.Eventually(t, func() bool { in, err := c.InForce(ctx); return err == nil && in.Version == 1 }, 10*time.Second, time.Millisecond)
	store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = true })
	_, err = c.Apply(ctx, applyRequest(1, documentText(2)))
	require.ErrorIs(t, err, ErrUnavailable)
	answer, err := c.Withdraw(ctx, &WithdrawRequest{ChangeID: "w", Digests: []string{configstate.DigestKey("leaked")}})
	require.NoError(t, err)
	require.False(t, answer.Durable)
	require.NotEmpty(t, answer.Reason)
	in, err := c.InForce(ctx)
	require.NoError(t, err)
	require.Equal(t, 1, in.Pending)
	config, err := c.Config(ctx)
	require.NoError(t, err)
	require.Equal(t, "vm-1", config.FromVM)
	store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = false })
	require.Eventually(t, func() bool { in, err := c.InForce(ctx); return err == nil && in.Pending == 0 }, 10*time.Second, time.Millisecond)
}

// The write is delayed, so the VM cannot determine its outcome. The operator must
// get an unknown outcome and not a failure.
func TestUnknownOutcomeIsNotReportedAsFailure(t *testing.T) {
	ctx := context.Background()
	store := kvtest.NewMemory(nil)
	c := startVM(t, store)
	store.UpdateFaults(func(f *kvtest.Faults) { f.HoldRequests = 1000 })
	_, err := c.Apply(ctx, applyRequest(0, documentText(1)))
	require.ErrorIs(t, err, ErrUnknown)
	store.UpdateFaults(func(f *kvtest.Faults) { f.HoldRequests = 0 })
	found, err := c.Change(ctx, applyRequest(0, "").ChangeRequest)
	require.NoError(t, err)
	require.Equal(t, OutcomeUnknown, found.Outcome)
	store.Release(nil)
	found, err = c.Change(ctx, applyRequest(0, "").ChangeRequest)
	require.NoError(t, err)
	require.Equal(t, OutcomeTookEffect, found.Outcome)
}

// A VM fails before it answers: the connection breaks after the change was sent.
// Only a call that never connected is known to have had no effect.
func TestClientDistinguishesUnknownFromUnreachable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	c := &Client{Server: server.URL, HTTP: server.Client()}
	_, err := c.Apply(context.Background(), applyRequest(0, ""))
	require.ErrorIs(t, err, ErrUnknown)
	_, err = c.Config(context.Background())
	require.ErrorIs(t, err, ErrUnreachable)
	server.Close()
	_, err = c.Apply(context.Background(), applyRequest(0, ""))
	require.ErrorIs(t, err, ErrUnreachable)
}
