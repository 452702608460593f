package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// HeaderTimeout is the request header with the caller's deadline, in milliseconds
// from the arrival of the request.
const HeaderTimeout = "X-Timeout-Ms"

// authenticate sets the deadline and the configuration snapshot of a request and
// identifies its team by the key.
func (h *Handler) authenticate(r *http.Request, req *request) *Problem {
	req.deadline = time.Now().Add(h.timeout(r))
	req.snapshot = h.Configuration.Snapshot()
	if req.snapshot == nil {
		return newProblem(http.StatusServiceUnavailable, TypeNotReady, NotRun, "no configuration is known yet").retryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return newProblem(http.StatusUnauthorized, TypeMissingKey, NotRun, "send the team's key as Authorization: Bearer KEY")
	}
	if strings.Contains(r.URL.RawQuery, key) {
		// The query is forwarded to services, which must not see the key.
		return newProblem(http.StatusBadRequest, TypeMalformed, NotRun, "the key must not stand in the query")
	}
	req.keyDigest = configstate.DigestKey(key)
	return h.checkKey(req)
}

// checkKey looks the key up in the configuration that is in force at the time of the
// call. It runs on arrival and again before dispatch: if a key is withdrawn while its
// request waits, the request must not reach an upstream.
func (h *Handler) checkKey(req *request) *Problem {
	holder, err := h.Configuration.Snapshot().Authenticate(req.keyDigest)
	switch {
	case errors.Is(err, configstate.ErrKeyWithdrawn):
		return newProblem(http.StatusUnauthorized, TypeWithdrawnKey, NotRun, "this key was withdrawn")
	case err != nil:
		return newProblem(http.StatusUnauthorized, TypeUnknownKey, NotRun, "no team has this key")
	}
	req.holder = holder
	return nil
}

// checkBeforeDispatch runs at the moment of dispatch, after any time in a queue. It
// refuses the request if its key was withdrawn meanwhile, or if this VM's
// configuration may be too stale to contain such a withdrawal.
func (h *Handler) checkBeforeDispatch(req *request) error {
	if !h.Configuration.Fresh() {
		return newProblem(http.StatusServiceUnavailable, TypeNotReady, NotRun, "this VM may not know of withdrawn keys").retryAfter(defaultRetryAfter)
	}
	if problem := h.checkKey(req); problem != nil {
		return problem
	}
	return nil
}

// timeout returns the time allowed for a request: the caller's, at most
// Limits.RequestTimeout.
func (h *Handler) timeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 32)
	if err != nil || ms <= 0 {
		return h.Limits.RequestTimeout
	}
	return min(h.Limits.RequestTimeout, time.Duration(ms)*time.Millisecond)
}
