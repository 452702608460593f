package caller

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

func TestStreamedAndCollectedAnswers(t *testing.T) {
	u := newUpstream(t)
	f := newFleet(t, 1, 64, u.URL)
	a := f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, true, "x"))
	require.Equal(t, http.StatusOK, a.status)
	require.Len(t, a.ids, 5)
	require.Equal(t, "[DONE]", a.texts[5])
	require.Empty(t, u.headers.Get("Authorization"))
	a = f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, false, "y"))
	require.Equal(t, http.StatusOK, a.status)
	require.Contains(t, a.body, ".1 ")
	require.Contains(t, a.body, ".5 ")
}

// Two callers of different teams use the same request ID at the same time. If it also
// identified the stream at the engine, one caller would receive the other's text.
func TestSameRequestIDDoesNotCrossAnswers(t *testing.T) {
	u := newUpstream(t)
	f := newFleet(t, 1, 64, u.URL)
	answers := make([]*answer, 2)
	var wg sync.WaitGroup
	for i, key := range []string{"key-one", "key-two"} {
		wg.Go(func() {
			answers[i] = f.call(t, 0, "POST", completionPath, key, fmt.Sprintf(completionBody, true, key), HeaderRequestID, "same")
		})
	}
	wg.Wait()
	require.Equal(t, "same", answers[0].header.Get(HeaderRequestID))
	require.NotEqual(t, answers[0].texts[0], answers[1].texts[0])
}

// The connections to the engines break, with and without the engines losing the stream.
// The caller must receive one text without gaps or repeats.
func TestBrokenStreamsAreResumed(t *testing.T) {
	for _, forget := range []bool{false, true} {
		u, v := newUpstream(t), newUpstream(t)
		for _, e := range []*upstream{u, v} {
			e.breakAfter, e.breaks, e.forget = 2, 1, forget
		}
		f := newFleet(t, 1, 64, u.URL, v.URL)
		a := f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, true, "x"))
		require.Len(t, a.ids, 5)
		require.Equal(t, "[DONE]", a.texts[5])
		for i, text := range a.texts[:5] {
			require.Contains(t, text, fmt.Sprintf(".%d ", i+1))
		}
	}
}

// Every engine has lost the stream. The partial answer must not look complete, and the
// caller must receive an error.
func TestLostStreamEndsWithAnError(t *testing.T) {
	u := newUpstream(t)
	u.events, u.breakAfter, u.breaks, u.forget = 50, 2, 1000, true
	f := newFleet(t, 1, 64, u.URL)
	a := f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, true, "x"))
	require.NotContains(t, a.body, "[DONE]")
	require.Contains(t, a.body, "event: error\n")
	require.Contains(t, a.texts[len(a.texts)-1], `"outcome":"unknown"`)
	a = f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, false, "x"))
	require.Equal(t, Unknown, a.problem(t).Outcome)
}

// A caller whose VM is gone resumes its stream at another VM from its last event, either
// by reading the stream or by sending the request again. Another team and a modified event ID are
// refused. If the engine has lost the stream, reading it fails as unknown_stream.
func TestStreamsResumeAtAnotherVMForTheirTeamOnly(t *testing.T) {
	u := newUpstream(t)
	f := newFleet(t, 2, 64, u.URL)
	first := f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, true, "x"))
	rest := f.call(t, 1, "GET", "/v1/streams", "key-one", "", headerLastEventID, first.ids[1])
	require.Equal(t, first.texts[2:], rest.texts)
	again := f.call(t, 1, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, true, "x"), headerLastEventID, first.ids[1])
	require.Equal(t, first.texts[2:], again.texts)
	u.update(func() { u.forget = true })
	lost := f.call(t, 1, "GET", "/v1/streams", "key-one", "", headerLastEventID, first.ids[1])
	require.Equal(t, TypeUnknownStream, lost.problem(t).Type)
	foreign := f.call(t, 1, "GET", "/v1/streams", "key-two", "", headerLastEventID, first.ids[1])
	require.Equal(t, TypeUnknownStream, foreign.problem(t).Type)
	forged := f.call(t, 1, "GET", "/v1/streams", "key-one", "", headerLastEventID, first.ids[1][1:])
	require.Equal(t, TypeBadEventID, forged.problem(t).Type)
}

// A key is withdrawn while a request with it waits for a full engine. That request must
// not reach the engine. A request that already runs is not affected.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	u := newUpstream(t)
	u.hold = make(chan struct{})
	f := newFleet(t, 1, 1, u.URL)
	var running, waiting *answer
	var wg sync.WaitGroup
	wg.Go(func() {
		running = f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, true, "running"))
	})
	require.Eventually(t, func() bool { return u.count("running") == 1 }, 5*time.Second, time.Millisecond)
	wg.Go(func() {
		waiting = f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, true, "waiting"))
	})
	time.Sleep(50 * time.Millisecond)
	f.config.set(f.urls, configstate.DigestKey("key-one"))
	close(u.hold)
	wg.Wait()
	require.Equal(t, "[DONE]", running.texts[5])
	require.Equal(t, http.StatusUnauthorized, waiting.status)
	require.Equal(t, NotRun, waiting.problem(t).Outcome)
	require.Zero(t, u.count("waiting"))
}

// A body over the size limit, and more bodies than the VM may buffer, must not exhaust
// the VM's memory.
func TestBodiesAreBounded(t *testing.T) {
	u := newUpstream(t)
	f := newFleet(t, 1, 64, u.URL)
	body := `{"model":"m","prompt":"` + strings.Repeat("x", 1<<20) + `"}`
	a := f.call(t, 0, "POST", completionPath, "key-one", body)
	require.Equal(t, http.StatusRequestEntityTooLarge, a.status)
	var m bodyMemory
	require.True(t, m.reserve(maxBufferedBytes))
	require.False(t, m.reserve(1))
	m.release(maxBufferedBytes)
	require.True(t, m.reserve(1))
}

// A caller requests a stream and stops reading. The stream must not occupy the engine
// until the request's deadline: it is cancelled at the engine after the grace time.
func TestStreamOfStalledCallerIsCancelled(t *testing.T) {
	u := newUpstream(t)
	u.events, u.padding = 4000, strings.Repeat("x", 8<<10)
	f := newFleetWithTiming(t, 1, 64, streamTiming{heartbeat: time.Second, writeTimeout: 50 * time.Millisecond}, u.URL)
	conn, err := net.Dial("tcp", f.vms[0].Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	body := fmt.Sprintf(completionBody, true, "x")
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n%s", completionPath, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return u.cancels.Load() == 1 }, 10*time.Second, 5*time.Millisecond)
}

// The engine sends no events for a while. The caller must receive heartbeats, which show
// that the connection is alive.
func TestIdleStreamsCarryHeartbeats(t *testing.T) {
	u := newUpstream(t)
	u.hold = make(chan struct{})
	f := newFleetWithTiming(t, 1, 64, streamTiming{heartbeat: 5 * time.Millisecond, writeTimeout: time.Second}, u.URL)
	time.AfterFunc(100*time.Millisecond, func() { close(u.hold) })
	a := f.call(t, 0, "POST", completionPath, "key-one", fmt.Sprintf(completionBody, true, "x"))
	require.Contains(t, a.body, ": heartbeat\n\n")
	require.Equal(t, "[DONE]", a.texts[5])
}
