package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// benchEvents is the number of events of a stream in the benchmarks.
const benchEvents = 16

// streamCompletion sends one streamed completion and reads it. It returns the time to
// the first event and to the end.
func streamCompletion(client *http.Client, url string) (first, whole time.Duration, err error) {
	body := fmt.Sprintf(completionBody, true, "x")
	req, err := http.NewRequest("POST", url+completionPath, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer key-one")
	req.Header.Set("X-Request-Id", "bench")
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	for done := false; !done; {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0, 0, err
		}
		if first == 0 && strings.HasPrefix(line, "data: ") {
			first = time.Since(start)
		}
		done = strings.HasPrefix(line, "data: [DONE]")
	}
	_, err = io.Copy(io.Discard, reader)
	return first, time.Since(start), err
}

// runAtRate sends requests at a fixed rate, independent of the answers (open loop), and
// reports percentiles of the time to the first event and to the complete answer.
func runAtRate(b *testing.B, url string, perSecond int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	firsts, wholes := make([]time.Duration, b.N), make([]time.Duration, b.N)
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	start := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		wg.Go(func() {
			var err error
			if firsts[i], wholes[i], err = streamCompletion(client, url); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	for name, times := range map[string][]time.Duration{"first": firsts, "whole": wholes} {
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), name+"-p99-us")
	}
}

// BenchmarkPaced compares direct requests to an engine with requests through an entry
// VM, both over loopback in this process, at 500 requests per second. The difference is
// the overhead of the VM.
func BenchmarkPaced(b *testing.B) {
	const perSecond = 500
	u := newUpstream(b)
	u.events = benchEvents
	b.Run("direct", func(b *testing.B) { runAtRate(b, u.URL, perSecond) })
	b.Run("entry", func(b *testing.B) {
		f := newFleet(b, 1, 1<<20, u.URL)
		b.ResetTimer()
		runAtRate(b, f.vms[0].URL, perSecond)
	})
}

// BenchmarkSaturated sends back-to-back requests on each processor.
func BenchmarkSaturated(b *testing.B) {
	u := newUpstream(b)
	u.events = benchEvents
	run := func(b *testing.B, url string) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, _, err := streamCompletion(client, url); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	b.Run("direct", func(b *testing.B) { run(b, u.URL) })
	b.Run("entry", func(b *testing.B) { run(b, newFleet(b, 1, 1<<20, u.URL).vms[0].URL) })
}

// BenchmarkOpenStreams reports the memory of an open idle stream in the VM. The memory
// of the caller's and the engine's ends, which run in this process too, is subtracted.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 500
	u := newUpstream(b)
	u.hold = make(chan struct{})
	f := newFleet(b, 1, 1<<20, u.URL)
	for b.Loop() {
		direct := openStreams(b, u.URL, streams)
		entry := openStreams(b, f.vms[0].URL, streams)
		b.ReportMetric((entry-direct)/streams, "B/stream")
	}
	close(u.hold)
}

// openStreams opens n streams and returns the memory that they use, in bytes.
func openStreams(b *testing.B, url string, n int) float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	before := memoryInUse()
	for range n {
		req, err := http.NewRequestWithContext(ctx, "POST", url+completionPath, strings.NewReader(fmt.Sprintf(completionBody, true, "x")))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key-one")
		req.Header.Set("X-Request-Id", "bench")
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		defer resp.Body.Close()
	}
	return memoryInUse() - before
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
