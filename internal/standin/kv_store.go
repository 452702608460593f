package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// kvChange is one past write or deletion, kept for watches that start at an
// earlier revision.
type kvChange struct {
	key      string
	revision int64
	event    watchEvent
}

// lease holds the keys that are deleted when it expires.
type lease struct {
	id    int64
	ttl   time.Duration
	keys  map[string]struct{}
	timer *time.Timer
}

// watch delivers the changes of one key to one waiting call.
type watch struct {
	key    string
	opened time.Time
	events chan watchEvent
	silent bool
	ended  chan struct{}
}

func (w *watch) end() {
	select {
	case <-w.ended:
	default:
		close(w.ended)
	}
}

// watchBuffer is the number of undelivered changes above which a slow watch is
// ended, as the service would end it.
const watchBuffer = 1024

func (k *KV) header() kvHeader {
	return kvHeader{ClusterID: 1, MemberID: 1, Revision: int64String(k.revision), RaftTerm: 2}
}

func (k *KV) find(key []byte) *rangeResponse {
	h := k.header()
	r := &rangeResponse{Header: &h}
	if p, ok := k.keys[string(key)]; ok {
		r.Kvs, r.Count = []kvPair{*p}, 1
	}
	return r
}

func (k *KV) rangeOne(r rangeRequest) answer {
	found := k.find(r.Key)
	if r.KeysOnly && len(found.Kvs) == 1 {
		found.Kvs[0].Value = nil
	}
	return answer{body: found}
}

// txn applies a transaction of at most one comparison and one put on the same
// key, with an optional read of that key if the comparison fails.
func (k *KV) txn(t txnRequest) answer {
	put, ok := singlePut(t)
	if !ok {
		return answer{err: errInvalid}
	}
	if len(put.Value) > maxValueBytes {
		return answer{err: errTooLarge}
	}
	if len(t.Compare) == 1 && !k.compareHolds(t.Compare[0]) {
		k.records.Conflicts++
		return k.conflictAnswer(t, put.Key)
	}
	if put.Lease != 0 && k.leases[int64(put.Lease)] == nil {
		return answer{err: errLeaseNotFound}
	}
	k.put(put)
	body := txnResponse{Header: k.header(), Succeeded: true}
	body.Responses = []responseOp{{ResponsePut: &putResponse{Header: k.header()}}}
	return answer{body: body, changedKey: string(put.Key)}
}

func (k *KV) conflictAnswer(t txnRequest, key []byte) answer {
	body := txnResponse{Header: k.header()}
	if len(t.Failure) == 1 {
		body.Responses = []responseOp{{ResponseRange: k.find(key)}}
	}
	return answer{body: body}
}

// singlePut returns the put of a transaction that touches one key only.
func singlePut(t txnRequest) (*putRequest, bool) {
	if len(t.Compare) > 1 || len(t.Success) != 1 || len(t.Failure) > 1 {
		return nil, false
	}
	put := t.Success[0].RequestPut
	if put == nil || t.Success[0].RequestRange != nil {
		return nil, false
	}
	if len(t.Compare) == 1 && !bytes.Equal(t.Compare[0].Key, put.Key) {
		return nil, false
	}
	if len(t.Failure) == 1 {
		read := t.Failure[0].RequestRange
		if read == nil || !bytes.Equal(read.Key, put.Key) {
			return nil, false
		}
	}
	return put, true
}

func (k *KV) compareHolds(c compare) bool {
	var p kvPair
	if found, ok := k.keys[string(c.Key)]; ok {
		p = *found
	}
	have, want := p.Version, c.Version
	switch c.Target {
	case "MOD":
		have, want = p.ModRevision, c.ModRevision
	case "CREATE":
		have, want = p.CreateRevision, c.CreateRevision
	}
	var expected int64String
	if want != nil {
		expected = *want
	}
	switch c.Result {
	case "GREATER":
		return have > expected
	case "LESS":
		return have < expected
	case "NOT_EQUAL":
		return have != expected
	default:
		return have == expected
	}
}

func (k *KV) put(r *putRequest) {
	k.revision++
	name := string(r.Key)
	p, ok := k.keys[name]
	if !ok {
		p = &kvPair{Key: r.Key, CreateRevision: int64String(k.revision)}
		k.keys[name] = p
	}
	k.detachLease(name, p)
	p.ModRevision = int64String(k.revision)
	p.Version++
	p.Value = r.Value
	p.Lease = r.Lease
	if l := k.leases[int64(r.Lease)]; l != nil {
		l.keys[name] = struct{}{}
	}
	k.records.Writes[name]++
	k.publish(name, watchEvent{Kv: *p})
}

func (k *KV) detachLease(name string, p *kvPair) {
	if l := k.leases[int64(p.Lease)]; l != nil {
		delete(l.keys, name)
	}
}

// publish appends a change to the history and passes it to the waiting watches
// of the key. A watch whose buffer is full is ended.
func (k *KV) publish(name string, e watchEvent) {
	k.history = append(k.history, kvChange{key: name, revision: k.revision, event: e})
	k.historySize += len(e.Kv.Value)
	for len(k.history) > maxHistoryEvents || k.historySize > maxHistoryBytes {
		k.historySize -= len(k.history[0].event.Kv.Value)
		k.compacted = k.history[0].revision
		k.history = k.history[1:]
	}
	for w := range k.watches {
		if w.key != name || w.silent {
			continue
		}
		select {
		case w.events <- e:
		default:
			w.end()
		}
	}
}

func (k *KV) grant(r leaseRequest) answer {
	id := int64(r.ID)
	if id == 0 {
		k.nextLease++
		id = 7_000_000 + k.nextLease
	}
	l := &lease{id: id, ttl: time.Duration(max(r.TTL, 1)) * time.Second, keys: make(map[string]struct{})}
	l.timer = time.AfterFunc(l.ttl, func() { k.expire(l) })
	k.leases[id] = l
	return answer{body: leaseResponse{Header: k.header(), ID: int64String(id), TTL: max(r.TTL, 1)}}
}

func (k *KV) expire(l *lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases[l.id] == l {
		k.deleteLease(l)
	}
}

// deleteLease deletes a lease and its keys, all keys at one revision.
func (k *KV) deleteLease(l *lease) {
	l.timer.Stop()
	delete(k.leases, l.id)
	if len(l.keys) > 0 {
		k.revision++
	}
	for name := range l.keys {
		delete(k.keys, name)
		deleted := kvPair{Key: []byte(name), ModRevision: int64String(k.revision)}
		k.publish(name, watchEvent{Type: "DELETE", Kv: deleted})
	}
}

func (k *KV) expireAllLeases() {
	for _, l := range k.leases {
		k.deleteLease(l)
	}
}

// keepAlive renews a lease. The gateway streams this answer and reports an
// expired lease only by a time to live of zero.
func (k *KV) keepAlive(r leaseRequest) answer {
	body := leaseResponse{Header: k.header(), ID: r.ID}
	if l := k.leases[int64(r.ID)]; l != nil {
		l.timer.Reset(l.ttl)
		body.TTL = int64String(l.ttl / time.Second)
	}
	return answer{body: streamItem{Result: body}}
}

func (k *KV) revoke(r leaseRequest) answer {
	l := k.leases[int64(r.ID)]
	if l == nil {
		return answer{err: errLeaseNotFound}
	}
	k.deleteLease(l)
	return answer{body: leaseResponse{Header: k.header()}}
}

// serveWatch answers a watch: a line that confirms its creation, the changes
// since its start revision, then each change as it happens.
func (k *KV) serveWatch(w http.ResponseWriter, r *http.Request, body *json.Decoder) {
	var request watchRequest
	if err := body.Decode(&request); err != nil || request.CreateRequest == nil {
		errInvalid.write(w)
		return
	}
	created := request.CreateRequest
	waiting := &watch{
		key: string(created.Key), opened: time.Now(),
		events: make(chan watchEvent, watchBuffer), ended: make(chan struct{}),
	}
	k.mu.Lock()
	first := watchResponse{Header: k.header(), Created: true}
	start := int64(created.StartRevision)
	past, compacted := k.changesSince(waiting.key, start)
	waiting.silent = k.faults.WatchSilent
	k.watches[waiting] = struct{}{}
	k.mu.Unlock()
	defer k.removeWatch(waiting)
	out := json.NewEncoder(w)
	send := func(a watchResponse) bool {
		err := out.Encode(streamItem{Result: a})
		return err == nil && http.NewResponseController(w).Flush() == nil
	}
	w.Header().Set("Content-Type", "application/json")
	if !send(first) {
		return
	}
	if compacted > 0 {
		send(watchResponse{Header: first.Header, Canceled: true, CompactRevision: int64String(compacted)})
		return
	}
	if len(past) > 0 && !waiting.silent && !send(watchResponse{Header: first.Header, Events: past}) {
		return
	}
	k.streamChanges(r, waiting, send)
}

func (k *KV) streamChanges(r *http.Request, waiting *watch, send func(watchResponse) bool) {
	for {
		select {
		case e := <-waiting.events:
			h := kvHeader{ClusterID: 1, MemberID: 1, Revision: e.Kv.ModRevision, RaftTerm: 2}
			if !send(watchResponse{Header: h, Events: []watchEvent{e}}) {
				return
			}
		case <-waiting.ended:
			abort(r)
		case <-r.Context().Done():
			return
		case <-k.closed:
			return
		}
	}
}

func (k *KV) removeWatch(w *watch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.watches, w)
	k.records.WatchSeconds += time.Since(w.opened).Seconds()
}

// changesSince lists the changes of a key from a revision on. If the history no
// longer holds that revision, it returns the first revision after the discarded
// part of the history.
func (k *KV) changesSince(key string, start int64) ([]watchEvent, int64) {
	if start <= 0 {
		return nil, 0
	}
	if start <= k.compacted {
		return nil, k.compacted + 1
	}
	var events []watchEvent
	for _, c := range k.history {
		if c.revision >= start && c.key == key {
			events = append(events, c.event)
		}
	}
	return events, 0
}
