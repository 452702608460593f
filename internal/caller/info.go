package caller

import (
	"encoding/json"
	"net/http"
	"time"
)

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Readiness.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "not ready", "reason": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

// failureDomainParameter is the query parameter with the caller's failure domain.
const failureDomainParameter = "failure_domain"

type addressesBody struct {
	Addresses []Address `json:"addresses"`
	TTLMS     int64     `json:"ttl_ms"`
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	addresses, lifetime := h.Addresses.Answer(r.URL.Query().Get(failureDomainParameter))
	writeJSON(w, http.StatusOK, addressesBody{Addresses: addresses, TTLMS: int64(lifetime / time.Millisecond)})
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

// models lists the models and adapters that callers can request, in the format of the
// OpenAI API.
func (h *Handler) models(w http.ResponseWriter, _ *http.Request, req *request) *Problem {
	body := modelsBody{Object: "list", Data: []modelBody{}}
	for _, m := range req.snapshot.Document.Models {
		body.Data = append(body.Data, modelBody{ID: m.Name, Object: "model", OwnedBy: req.snapshot.Document.Environment})
		for _, a := range m.Adapters {
			body.Data = append(body.Data, modelBody{ID: a.Name, Object: "model", OwnedBy: m.Name})
		}
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
