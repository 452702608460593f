package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
)

// HeaderTimeout carries the caller's deadline as milliseconds from now.
const HeaderTimeout = "X-Timeout-Ms"

// authenticate finds out whose request this is.
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
		// The query is passed on to services, which must not see the key.
		return newProblem(http.StatusBadRequest, TypeMalformed, NotRun, "the key must not stand in the query")
	}
	req.digest = configstate.DigestKey(key)
	return h.checkKey(req)
}

// checkKey looks the key up in the configuration in force now. It is called at
// arrival and again before dispatch: a key that is withdrawn while its request
// waits must not reach an upstream.
func (h *Handler) checkKey(req *request) *Problem {
	holder, err := h.Configuration.Snapshot().Authenticate(req.digest)
	switch {
	case errors.Is(err, configstate.ErrKeyWithdrawn):
		return newProblem(http.StatusUnauthorized, TypeWithdrawnKey, NotRun, "this key was withdrawn")
	case err != nil:
		return newProblem(http.StatusUnauthorized, TypeUnknownKey, NotRun, "no team has this key")
	}
	req.holder = holder
	return nil
}

// mayRun is asked in the moment of dispatch, after any time in a queue: a key that
// was withdrawn meanwhile, or a VM that could not know of it, sends nothing on.
func (h *Handler) mayRun(req *request) error {
	if !h.Configuration.Fresh() {
		return newProblem(http.StatusServiceUnavailable, TypeNotReady, NotRun, "this VM may not know of withdrawn keys").retryAfter(busyRetry)
	}
	if problem := h.checkKey(req); problem != nil {
		return problem
	}
	return nil
}

func (h *Handler) timeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 32)
	if err != nil || ms <= 0 {
		return h.Limits.RequestTimeout
	}
	return min(h.Limits.RequestTimeout, time.Duration(ms)*time.Millisecond)
}
