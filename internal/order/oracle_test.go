package order

import (
	"bytes"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// check checks the invariants of the simulation.
func (sim *simulation) check() {
	sim.checkMemory()
	sim.checkWeightStore()
	sim.checkReady()
}

// checkMemory checks that no engine's capacity is exceeded by what it holds together with
// what load orders in flight could still load.
func (sim *simulation) checkMemory() {
	for _, e := range sim.engines {
		possible := make(map[placement.Item]int64)
		for item, held := range e.resident {
			possible[item] = held.memory
		}
		for _, m := range sim.inFlight {
			s, isSend := m.action.(Send)
			if !isSend || m.arrived || s.Engine != e.name || s.Incarnation != e.incarnation() || s.Order.Kind != Load {
				continue
			}
			if _, known := e.answers[s.Order.ID]; !known {
				possible[s.Order.Item] = s.Order.Memory
			}
		}
		var sum int64
		for _, memory := range possible {
			sum += memory
		}
		if sum > e.capacity {
			sim.t.Fatalf("overcommit: %s could hold %d, more than its capacity of %d: %v", e.name, sum, e.capacity, possible)
		}
	}
}

// checkWeightStore checks the limits on loads that run at once and on loads started per
// second.
func (sim *simulation) checkWeightStore() {
	running := 0
	for _, e := range sim.engines {
		for _, held := range e.resident {
			if !held.ready {
				running++
			}
		}
	}
	if running > fuzzConcurrent {
		sim.t.Fatalf("weight store: %d loads run at once, more than its limit", running)
	}
	if n := len(sim.starts); n > fuzzRate && sim.starts[n-1].Sub(sim.starts[n-1-fuzzRate]) < time.Second {
		sim.t.Fatalf("weight store: %d loads started within a second, more than its limit", fuzzRate+1)
	}
}

// readyDomains counts the failure domains where a name serves, in any version. Copies in
// unloading, by engine, are not counted.
func (sim *simulation) readyDomains(n placement.Name, unloading []map[placement.Item]struct{}) int {
	domains := make(map[string]struct{})
	for i, e := range sim.engines {
		if e.down {
			continue
		}
		for item, held := range e.resident {
			if item.Name() != n || !held.ready || !(item.IsBase() || e.hasBase(n.Model)) {
				continue
			}
			if unloading != nil {
				if _, gone := unloading[i][item]; gone {
					continue
				}
			}
			domains[e.domain] = struct{}{}
		}
	}
	return len(domains)
}

// unloadingItems returns the items of an engine that an unload order, recorded or being
// recorded, may unload.
func (sim *simulation) unloadingItems(e *fakeEngine) map[placement.Item]struct{} {
	out := make(map[placement.Item]struct{})
	note := func(value []byte) {
		account, err := DecodeAccount(value)
		for _, entry := range account.Entries {
			if err == nil && entry.Unload != "" {
				out[entry.Item] = struct{}{}
			}
		}
	}
	key := "/p/engines/" + e.name
	if bytes.Contains(sim.kv[key].Value, []byte(`"unload"`)) {
		note(sim.kv[key].Value)
	}
	for _, m := range sim.inFlight {
		if write, ok := m.action.(Write); ok && !m.arrived && write.Key == key && bytes.Contains(write.Value, []byte(`"unload"`)) {
			note(write.Value)
		}
	}
	return out
}

func (sim *simulation) names() []placement.Name {
	var names []placement.Name
	for _, m := range sim.doc.Models {
		names = append(names, placement.Name{Model: m.Name})
		for _, a := range m.Adapters {
			names = append(names, placement.Name{Model: m.Name, Adapter: a.Name})
		}
	}
	return names
}

// redundant reports whether every name serves in two failure domains, by copies without
// an unload order.
func (sim *simulation) redundant() bool {
	var unloading []map[placement.Item]struct{}
	for _, e := range sim.engines {
		unloading = append(unloading, sim.unloadingItems(e))
	}
	for _, n := range sim.names() {
		if sim.readyDomains(n, unloading) < 2 {
			return false
		}
	}
	return true
}

// checkReady checks that every name has a ready copy, once all were redundant.
func (sim *simulation) checkReady() {
	sim.wasRedundant = sim.wasRedundant || sim.redundant()
	if !sim.wasRedundant {
		return
	}
	for _, n := range sim.names() {
		if sim.readyDomains(n, nil) == 0 {
			sim.t.Fatalf("unreachable: %s has no ready copy\n%s%s", n, strings.Join(sim.log[max(0, len(sim.log)-40):], "\n"), sim.describe())
		}
	}
}
