package traffic

import "github.com/cespare/xxhash/v2"

// contentsHash identifies a request by what stays the same when its caller repeats it: the team, the service and what
// the upstream is sent. The caller's ID is new in each attempt.
func (j *job) contentsHash() uint64 {
	h := xxhash.New()
	q := j.request
	for _, part := range []string{j.team, j.service, q.Method, q.Host, q.Target, q.Model, q.Adapter} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}
