package caller

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/relay"
	"github.com/chestnutarch/chestnutarch/internal/resume"
)

// streams serves the rest of a stream to the team that owns it. The caller can resume
// the stream at any VM.
func (h *Handler) streams(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	id := r.Header.Get(headerLastEventID)
	if id == "" {
		return newProblem(http.StatusBadRequest, TypeMalformed, NotRun, "send the last event's ID as Last-Event-ID")
	}
	token, problem := h.openToken(id, req)
	if problem != nil {
		return problem
	}
	url, ok := engineURL(req.snapshot.Document, token.Engine)
	if !ok {
		return newProblem(http.StatusNotFound, TypeUnknownStream, Unknown, "the stream's engine is no longer in force")
	}
	h.releaseAtPreviousVM(token)
	job := relay.Job{StreamID: token.Stream, Location: relay.Location{Engine: token.Engine, URL: url}, AfterID: token.Offset}
	return h.streamJob(w, r, req, job, &latencySink{}, nil)
}

// openToken verifies an event ID that a caller sent back. A token of another team is
// refused in the same way as one of a stream that does not exist.
func (h *Handler) openToken(id string, req *request) (resume.Token, *Problem) {
	token, err := h.Ring.Open(id, req.holder.Team)
	switch {
	case errors.Is(err, resume.ErrWrongTeam):
		return token, newProblem(http.StatusNotFound, TypeUnknownStream, NotRun, "no such stream")
	case err != nil:
		return token, newProblem(http.StatusBadRequest, TypeBadEventID, NotRun, "the event ID is not one of ours")
	}
	return token, nil
}

// releaseAtPreviousVM notifies the VM that served the stream before that the stream is
// read here from now on. An earlier reader at this VM is ended when the new one
// begins.
func (h *Handler) releaseAtPreviousVM(t resume.Token) {
	if t.VM != h.VM {
		h.Releaser.Release(t.VM, t.Stream)
	}
}
