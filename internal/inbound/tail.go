package inbound

// serverBuffer is how many bytes the server reads ahead at most.
const serverBuffer = 4 << 10

// tail is the memory that the bytes read last would take if they were those of a head. It covers as many bytes as the server may
// hold, and less than three times as many.
type tail struct {
	// present is that of the latest bytes, before that of those before them, which are as many as the server may hold.
	present, before int64
	bytes           int
	// total is the number of all bytes.
	total int64
}

func (t *tail) add(p []byte) {
	if t.bytes >= serverBuffer {
		t.before, t.present, t.bytes = t.present, 0, 0
	}
	// Of a read that is larger than its buffer, the server holds nothing.
	if len(p) <= serverBuffer {
		t.present += headMemory(p)
	}
	t.bytes += len(p)
	t.total += int64(len(p))
}

// memory returns the memory, and forgets it.
func (t *tail) memory() int64 {
	sum := t.present + t.before
	*t = tail{}
	return sum
}
