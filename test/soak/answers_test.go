package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const (
	// repeatedShare is the share of answers, other than rejections, that come a second time.
	repeatedShare = 0.05
	// misdirectedShare is the share of requests that an engine with the fault misdirects at first.
	misdirectedShare = 0.3
)

// sometimes returns a function that returns true for a share of its calls. It is safe for concurrent use.
func sometimes(r *rand.Rand, share float64) func() bool {
	var mu sync.Mutex
	r = rand.New(rand.NewPCG(r.Uint64(), 0))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64() < share
	}
}

// promises reports whether a status tells callers that their request was not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// repeatAnswers makes all upstreams send all rejections a second time, and a share of their other answers, those to calls
// included.
func (w *world) repeatAnswers(seed uint64) {
	if !w.answers {
		return
	}
	r := rand.New(rand.NewPCG(seed, 1))
	for _, u := range w.upstreams {
		repeat := sometimes(r, repeatedShare)
		u.RepeatAnswers(func(_ *http.Request, status int) bool {
			return promises(status) || status == http.StatusConflict || repeat()
		})
	}
}

// drawAnswers draws when upstreams reject requests that are sent to them again soon, and when they answer with a status that
// promises after a run; none if the run has none.
func (w *world) drawAnswers(r *rand.Rand, length time.Duration) []fault {
	if !w.answers {
		return nil
	}
	var all []fault
	for range 8 * int(length/time.Second) {
		u := pick(r, w.upstreams)
		f := fault{start: time.Duration(r.Int64N(int64(length))), duration: 100*time.Millisecond + time.Duration(r.Int64N(int64(time.Second)))}
		switch r.IntN(4) {
		case 0:
			status, signed := pick(r, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}), r.IntN(2) == 0
			f.name = fmt.Sprintf("%s answers %d after runs (signed %v)", u.ID, status, signed)
			f.begin, f.end = func() { u.SetFail(answerWithStatus(status, signed)) }, func() { u.SetFail(nil) }
		case 1:
			misdirect := sometimes(r, misdirectedShare)
			f.name = u.ID + " misdirects requests"
			f.begin = func() {
				u.SetReject(func(q *http.Request) int {
					if q.Header.Get("X-Chestnutarch-Model") != "" && misdirect() {
						return http.StatusMisdirectedRequest
					}
					return 0
				})
			}
			f.end = func() { u.SetReject(nil) }
		default:
			shed := 10*time.Millisecond + time.Duration(r.Int64N(int64(200*time.Millisecond)))
			f.name = fmt.Sprintf("%s sheds load for %v", u.ID, shed.Round(time.Millisecond))
			f.begin = func() { u.ShedLoad(shed) }
		}
		all = append(all, f)
	}
	return all
}

// answerWithStatus answers a request that has run with a status that does not say so.
func answerWithStatus(status int, signed bool) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		if signed {
			standin.ReplyWithStatus(out, in, status)
			return
		}
		out.WriteHeader(status)
	}
}

// checkAnswersRepeated checks that upstreams have sent answers a second time, if they were to.
func (w *world) checkAnswersRepeated() {
	if !w.answers {
		return
	}
	repeated := 0
	for _, u := range w.upstreams {
		repeated += u.RepeatedAnswers()
	}
	w.t.Logf("%d answers came a second time", repeated)
	if repeated == 0 {
		w.oracle.reportViolation("soak", "no answer came a second time")
	}
}
