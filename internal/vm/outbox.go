package vm

import "sync"

// maxPending bounds the items that wait for a VM that does not answer. The oldest ones are dropped first.
const maxPending = 1000

// outbox sends items to other VMs. Items that come up while a call to a VM is on its way go into the next one.
type outbox[T any] struct {
	// call sends items to the VM at an address.
	call func(address string, batch []T)
	// onDrop, unless nil, is called with items that are dropped.
	onDrop func(T)

	mu sync.Mutex
	// pending holds, by address, what has not been sent yet; an address is present while a goroutine sends to it.
	pending map[string][]T
}

func newOutbox[T any](call func(address string, batch []T)) *outbox[T] {
	return &outbox[T]{call: call, pending: make(map[string][]T)}
}

func (o *outbox[T]) add(address string, item T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting, sending := o.pending[address]
	if len(waiting) >= maxPending {
		if o.onDrop != nil {
			o.onDrop(waiting[0])
		}
		waiting = waiting[1:]
	}
	o.pending[address] = append(waiting, item)
	if !sending {
		go o.sendTo(address)
	}
}

// sendTo sends what is pending for a VM, until nothing is left.
func (o *outbox[T]) sendTo(address string) {
	for batch := o.take(address); len(batch) > 0; batch = o.take(address) {
		o.call(address, batch)
	}
}

func (o *outbox[T]) take(address string) []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.pending[address]
	if len(batch) == 0 {
		delete(o.pending, address)
		return nil
	}
	o.pending[address] = nil
	return batch
}
