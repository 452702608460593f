package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// fault is injected at an offset from the start of the faults and repaired after its duration.
type fault struct {
	start, duration time.Duration
	name            string
	begin           func()
	// end repairs the fault. It may be nil.
	end func()
	// ofStore is set if the fault affects the whole store.
	ofStore bool
}

// drawFaults draws the faults of a run. The seed determines the faults, their start and their
// duration. Faults overlap, and some are repeated.
func (w *world) drawFaults(r *rand.Rand, length time.Duration) []fault {
	var all []fault
	for n := int(length/time.Second) * 2; n > 0; n-- {
		f := w.drawFault(r)
		f.start = time.Duration(r.Int64N(int64(length)))
		f.duration = 300*time.Millisecond + time.Duration(r.Int64N(int64(2500*time.Millisecond)))
		all = append(all, f)
		repeated, repeats := r.IntN(6) >= 4, r.IntN(4)
		for repeated && repeats > 0 {
			repeats--
			repeat := f
			repeat.start += time.Duration(r.Int64N(int64(2 * time.Second)))
			all = append(all, repeat)
		}
	}
	return sortFaults(all)
}

// sortFaults sorts faults by their start.
func sortFaults(all []fault) []fault {
	slices.SortStableFunc(all, func(a, b fault) int { return int(a.start - b.start) })
	return all
}

func (w *world) drawFault(r *rand.Rand) fault {
	draws := []func(*rand.Rand) fault{
		w.killVM, w.killShare, w.terminateVM, w.pauseVM, w.reloadSettings,
		w.blockVMConnections, w.delayVMConnections, w.resetVMConnections, w.silenceVMConnections,
		w.storeUnavailable, w.storeDropsCommitAnswers, w.storeCompacts, w.storeRefusesAll, w.storeRefusesVM,
		w.crashReplica, w.drainReplica, w.failReplica, w.blockReplica, w.changeConfig,
	}
	return pick(r, draws)(r)
}

func (w *world) killVM(r *rand.Rand) fault {
	v := pick(r, w.vms)
	return fault{name: "kill " + v.Name, begin: func() { v.signal(syscall.SIGKILL) }}
}

func (w *world) killShare(r *rand.Rand) fault {
	share := 0.5 + r.Float64()/2
	return fault{name: fmt.Sprintf("kill %.0f%% of the VMs", 100*share), begin: func() {
		for _, v := range w.vms[:max(1, int(share*float64(len(w.vms))))] {
			v.signal(syscall.SIGKILL)
		}
	}}
}

func (w *world) terminateVM(r *rand.Rand) fault {
	v := pick(r, w.vms)
	return fault{name: "terminate " + v.Name, begin: v.terminate}
}

func (w *world) pauseVM(r *rand.Rand) fault {
	v := pick(r, w.vms)
	return fault{
		name: "pause " + v.Name, begin: func() { v.signal(syscall.SIGSTOP) }, end: func() { v.signal(syscall.SIGCONT) },
	}
}

// reloadSettings rewrites the settings file of a VM and sends it SIGHUP.
func (w *world) reloadSettings(r *rand.Rand) fault {
	v := pick(r, w.vms)
	return fault{name: "reload settings of " + v.Name, begin: func() {
		_ = v.writeSettings()
		v.signal(syscall.SIGHUP)
	}}
}

// proxiesOf returns the proxies of a VM by name.
func proxiesOf(v *vm) map[string]*proxy {
	return map[string]*proxy{"callers": v.callersProxy, "peers": v.peersProxy, "store": v.storeProxy}
}

func pickProxy(r *rand.Rand, v *vm) (string, *proxy) {
	name := pick(r, []string{"callers", "peers", "store"})
	return name, proxiesOf(v)[name]
}

// blockVMConnections holds back the traffic between a VM and the store, its peers or its
// callers, in one direction, in both or in neither.
func (w *world) blockVMConnections(r *rand.Rand) fault {
	v := pick(r, w.vms)
	name, p := pickProxy(r, v)
	toTarget, toCaller := r.IntN(3) > 0, r.IntN(3) > 0
	return fault{name: fmt.Sprintf("block %s %s (to target %v, to caller %v)", v.Name, name, toTarget, toCaller), begin: func() {
		v.markDisturbed()
		p.update(func() {
			if toTarget {
				p.toTarget = hold
			}
			if toCaller {
				p.toCaller = hold
			}
		})
	}, end: func() {
		p.heal()
		v.markDisturbed()
	}}
}

func (w *world) delayVMConnections(r *rand.Rand) fault {
	v := pick(r, w.vms)
	name, p := pickProxy(r, v)
	delay := time.Duration(10+r.IntN(300)) * time.Millisecond
	return fault{
		name:  fmt.Sprintf("delay %s %s by %v", v.Name, name, delay),
		begin: func() { v.markDisturbed(); p.update(func() { p.delay = delay }) }, end: func() { p.heal(); v.markDisturbed() },
	}
}

func (w *world) resetVMConnections(r *rand.Rand) fault {
	v := pick(r, w.vms)
	name, p := pickProxy(r, v)
	return fault{name: "reset " + v.Name + " " + name, begin: func() { v.markDisturbed(); p.reset() }}
}

func (w *world) silenceVMConnections(r *rand.Rand) fault {
	v := pick(r, w.vms)
	name, p := pickProxy(r, v)
	return fault{name: "silence " + v.Name + " " + name, begin: func() { v.markDisturbed(); p.silence() }}
}

func (w *world) storeUnavailable(r *rand.Rand) fault {
	status := pick(r, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, 0, -1})
	return fault{ofStore: true, name: fmt.Sprintf("the store is unavailable (%d)", status), begin: func() {
		w.disturbStore()
		w.store.Override(func(out http.ResponseWriter, in *http.Request) {
			switch status {
			case 0:
				hang(in)
			case -1:
				panic(http.ErrAbortHandler)
			default:
				out.WriteHeader(status)
			}
		})
	}, end: func() {
		w.store.Override(nil)
		w.disturbStore()
	}}
}

func (w *world) storeDropsCommitAnswers(*rand.Rand) fault {
	return fault{
		ofStore: true, name: "the store drops the answers of commits", begin: func() {
			w.disturbStore()
			w.store.DropCommitAnswers(true)
		}, end: func() {
			w.store.DropCommitAnswers(false)
			w.disturbStore()
		},
	}
}

func (w *world) storeCompacts(*rand.Rand) fault {
	return fault{ofStore: true, name: "the store compacts its history", begin: w.store.Compact}
}

// storeRefusesAll makes the store refuse every call, renewals of leases included, while the
// leases' times run on. Leases that are due meanwhile end.
func (w *world) storeRefusesAll(*rand.Rand) fault {
	return fault{ofStore: true, name: "the store refuses all calls and leases expire", begin: func() {
		w.disturbStore()
		w.store.Override(func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusServiceUnavailable) })
	}, end: func() {
		w.store.Override(nil)
		w.disturbStore()
	}}
}

// storeRefusesVM resets the connections of one VM to the store, existing and new ones.
func (w *world) storeRefusesVM(r *rand.Rand) fault {
	v := pick(r, w.vms)
	return fault{name: "the store refuses " + v.Name + "'s connections", begin: func() {
		v.markDisturbed()
		v.storeProxy.update(func() { v.storeProxy.refuse = true })
		v.storeProxy.reset()
	}, end: func() {
		v.storeProxy.heal()
		v.markDisturbed()
	}}
}

// restartReplica restarts a replica under its ID, without its models and its count of accepted orders.
func (w *world) restartReplica(u *upstream) {
	if w.versions != nil && u.service == "engine" {
		w.versions.upgrade(u.Replica)
	} else {
		u.Restart(time.Now().UnixMilli())
	}
	if w.evacuations && u.service == "engine" {
		u.BecomeCold(coldStart)
	}
}

// crashReplica resets a replica's connections. At the end the replica restarts under its
// ID, without its models and its count of accepted orders.
func (w *world) crashReplica(r *rand.Rand) fault {
	u := pick(r, w.upstreams)
	return fault{name: "crash " + u.ID, begin: func() {
		u.proxy.update(func() { u.proxy.refuse = true })
		u.proxy.reset()
	}, end: func() {
		w.restartReplica(u)
		u.proxy.heal()
		w.setState(u, "ready")
	}}
}

// drainReplica announces that a replica is draining, or removes its entry without an
// announcement. The replica returns as a new incarnation.
func (w *world) drainReplica(r *rand.Rand) fault {
	u := pick(r, w.upstreams)
	unannounced := r.IntN(3) == 0
	return fault{name: "drain " + u.ID, begin: func() {
		if unannounced {
			w.setState(u, "")
			return
		}
		w.setState(u, "draining")
	}, end: func() {
		w.restartReplica(u)
		w.setState(u, "ready")
	}}
}

// failReplica makes a replica fail the requests that it runs, in one of the modes of failRequest.
func (w *world) failReplica(r *rand.Rand) fault {
	u, mode := pick(r, w.upstreams), r.IntN(4)
	return fault{name: fmt.Sprintf("%s fails requests (%d)", u.ID, mode), begin: func() {
		u.SetFail(func(out http.ResponseWriter, in *http.Request) { failRequest(out, in, mode) })
	}, end: func() { u.SetFail(nil) }}
}

// failRequest answers with a failure (mode 0), without a signature (1), with a truncated answer
// (2) or not at all (any other mode).
func failRequest(out http.ResponseWriter, in *http.Request, mode int) {
	switch mode {
	case 0:
		standin.ReplyWithStatus(out, in, http.StatusInternalServerError)
	case 1:
		_, _ = out.Write([]byte("not an answer of ours"))
	case 2:
		out.Header().Set("Content-Length", "1000")
		standin.ReplyWithStatus(out, in, http.StatusOK)
		panic(http.ErrAbortHandler)
	default:
		hang(in)
	}
}

// hang leaves a request without an answer until its connection is closed. The server detects
// that only after the complete request has been read.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// blockReplica holds back the traffic of a replica in one direction.
func (w *world) blockReplica(r *rand.Rand) fault {
	u := pick(r, w.upstreams)
	toTarget := r.IntN(2) == 0
	return fault{name: fmt.Sprintf("block %s (to target %v)", u.ID, toTarget), begin: func() {
		u.proxy.update(func() {
			if toTarget {
				u.proxy.toTarget = hold
			} else {
				u.proxy.toCaller = hold
			}
		})
	}, end: func() {
		u.proxy.reset()
		u.proxy.heal()
	}}
}

// changeConfig writes a newer version of the configuration, in half of the cases with one more
// route.
func (w *world) changeConfig(r *rand.Rand) fault {
	add := r.IntN(2) == 0
	return fault{name: "a new configuration", begin: func() {
		w.configure(func(m *standin.Manifest) {
			if add {
				m.Extra = append(m.Extra, fmt.Sprintf("extra%d", len(m.Extra)))
			}
		})
	}}
}
