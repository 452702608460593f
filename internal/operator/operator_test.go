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

func text(rate int, keys ...string) string {
	doc := fmt.Sprintf("environment: test\nfailure_domains: [a]\nteams:\n- name: t\n  rate: %d\n  burst: 10\n  keys:\n", rate)
	for i, key := range keys {
		doc += fmt.Sprintf("  - {id: k%d, sha256: %s}\n", i, configstate.DigestKey(key))
	}
	return doc
}

// start serves the API of one VM over a store and returns a client with a key.
func start(t *testing.T, store kv.Store) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	keeper := configsync.NewKeeper(configsync.Options{Store: store, Environment: "test", PollInterval: 20 * time.Millisecond})
	ended := make(chan error, 1)
	go func() { ended <- keeper.Run(ctx) }()
	server := httptest.NewServer(NewHandler(Options{
		VM:            "vm-1",
		Operators:     Operators{configstate.DigestKey("op"): "ana"},
		Configuration: keeper,
		SettleTimeout: 300 * time.Millisecond,
	}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		require.NoError(t, <-ended)
	})
	return &Client{Server: server.URL, Key: "op", HTTP: server.Client()}
}

func request(base int64, doc string) *ApplyRequest {
	id := fmt.Sprintf("change-on-%d", base)
	return &ApplyRequest{ChangeRequest: ChangeRequest{ChangeID: id, Nonce: "nonce-" + id, BaseVersion: base}, Document: doc}
}

func TestOperatorsChangeAndRead(t *testing.T) {
	ctx := context.Background()
	c := start(t, kvtest.NewMemory(nil))
	_, err := c.Config(ctx)
	require.ErrorIs(t, err, ErrNotFound)
	first, err := c.Apply(ctx, request(0, text(1)))
	require.NoError(t, err)
	require.Equal(t, OutcomeTookEffect, first.Outcome)
	again, err := c.Apply(ctx, request(0, text(1)))
	require.NoError(t, err)
	require.Equal(t, first, again, "a repeated command changes nothing twice")
	second, err := c.Apply(ctx, request(1, text(2)))
	require.NoError(t, err)
	require.EqualValues(t, 2, second.Version)

	config, err := c.Config(ctx)
	require.NoError(t, err)
	require.Equal(t, text(2), config.Document)
	require.Equal(t, "ana", config.Author)
	old, err := c.Version(ctx, 1)
	require.NoError(t, err)
	require.Equal(t, text(1), old.Document)
	list, err := c.History(ctx, 10)
	require.NoError(t, err)
	require.Len(t, list, 2)
	require.Empty(t, list[0].Document)
	found, err := c.Change(ctx, request(1, "").ChangeRequest)
	require.NoError(t, err)
	require.Equal(t, second, found)
	require.Eventually(t, func() bool {
		in, err := c.InForce(ctx)
		return err == nil && in.Version == 2 && in.Fresh
	}, 10*time.Second, time.Millisecond)
	_, err = c.Plan(ctx)
	require.ErrorIs(t, err, ErrUnavailable)
}

// Anyone who reaches the listener could otherwise change the environment.
func TestOnlyOperatorsAreServed(t *testing.T) {
	c := start(t, kvtest.NewMemory(nil))
	for _, key := range []string{"", "wrong"} {
		stranger := &Client{Server: c.Server, Key: key, HTTP: c.HTTP}
		_, err := stranger.InForce(context.Background())
		require.ErrorIs(t, err, ErrUnauthorized)
	}
}

func TestRefusalsAndConflictsAreTyped(t *testing.T) {
	ctx := context.Background()
	c := start(t, kvtest.NewMemory(nil))
	_, err := c.Apply(ctx, request(0, text(-1)))
	require.ErrorIs(t, err, ErrRefused)
	var refused *APIError
	require.ErrorAs(t, err, &refused)
	require.Contains(t, refused.Mistakes[0], "document:5: teams[0].rate: -1")
	_, err = c.Apply(ctx, request(0, text(1)))
	require.NoError(t, err)
	late := request(0, text(2))
	late.Nonce = "another"
	_, err = c.Apply(ctx, late)
	require.ErrorIs(t, err, ErrConflict)
	var conflict *APIError
	require.ErrorAs(t, err, &conflict)
	require.EqualValues(t, 1, conflict.Version)
	require.Equal(t, "teams[t].rate", conflict.Changes[0].Path)
}

// The key-value service is down. A withdrawal holds at the VM at once, and the
// answer says that it is not durable; a document cannot be accepted.
func TestOutageIsToldApart(t *testing.T) {
	ctx := context.Background()
	store := kvtest.NewMemory(nil)
	c := start(t, store)
	_, err := c.Apply(ctx, request(0, text(1, "leaked")))
	require.NoError(t, err)
	require.Eventually(t, func() bool { in, err := c.InForce(ctx); return err == nil && in.Version == 1 }, 10*time.Second, time.Millisecond)
	store.Change(func(f *kvtest.Faults) { f.Outage = true })
	_, err = c.Apply(ctx, request(1, text(2)))
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
	store.Change(func(f *kvtest.Faults) { f.Outage = false })
	require.Eventually(t, func() bool { in, err := c.InForce(ctx); return err == nil && in.Pending == 0 }, 10*time.Second, time.Millisecond)
}

// The write is held up and the VM cannot say what became of it. The operator
// must not read that as a failure.
func TestUnknownIsToldApart(t *testing.T) {
	ctx := context.Background()
	store := kvtest.NewMemory(nil)
	c := start(t, store)
	store.Change(func(f *kvtest.Faults) { f.HoldRequests = 1000 })
	_, err := c.Apply(ctx, request(0, text(1)))
	require.ErrorIs(t, err, ErrUnknown)
	store.Change(func(f *kvtest.Faults) { f.HoldRequests = 0 })
	found, err := c.Change(ctx, request(0, "").ChangeRequest)
	require.NoError(t, err)
	require.Equal(t, OutcomeUnknown, found.Outcome)
	store.Release(nil)
	found, err = c.Change(ctx, request(0, "").ChangeRequest)
	require.NoError(t, err)
	require.Equal(t, OutcomeTookEffect, found.Outcome)
}

// A VM dies with the answer on its lips: the connection breaks after the change
// was sent. Only a call that never connected is known to have done nothing.
func TestClientTellsUnknownFromUnreachable(t *testing.T) {
	dying := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	c := &Client{Server: dying.URL, HTTP: dying.Client()}
	_, err := c.Apply(context.Background(), request(0, ""))
	require.ErrorIs(t, err, ErrUnknown)
	_, err = c.Config(context.Background())
	require.ErrorIs(t, err, ErrUnreachable)
	dying.Close()
	_, err = c.Apply(context.Background(), request(0, ""))
	require.ErrorIs(t, err, ErrUnreachable)
}
