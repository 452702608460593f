package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	controlPrefix     = "/standin/"
	readHeaderTimeout = 10 * time.Second
)

// Standin is one stand-in: it answers as the external system would and applies
// the faults that are set.
type Standin interface {
	http.Handler
	// Faults returns a pointer to a copy of the faults in force.
	Faults() any
	// SetFaults puts faults in force; the argument has the type that Faults
	// returned. A nil argument clears every fault.
	SetFaults(any)
	// Records returns what the stand-in recorded, as a value that encodes to
	// JSON.
	Records() any
	// Close stops the background work of the stand-in.
	Close()
}

// restarter is a stand-in that loses state when its process restarts.
type restarter interface {
	restart()
}

// ServerFaults are the faults that every stand-in supports.
type ServerFaults struct {
	// SilenceConnections makes every open connection silent until it is closed.
	// It acts once; later connections work.
	SilenceConnections bool `json:"silence_connections"`
	// ResetConnections resets every open connection. It acts once.
	ResetConnections bool `json:"reset_connections"`
	// Crashed resets every open connection and every new one until it is
	// cleared, as if no process listened. The stand-in loses its state in
	// memory.
	Crashed bool `json:"crashed"`
	// Restart makes the stand-in lose its state in memory and resets every open
	// connection. It acts once.
	Restart bool `json:"restart"`
}

// Server serves one stand-in.
type Server struct {
	standin  Standin
	listener *listener
	http     *http.Server
	crashed  atomic.Bool
}

// Start listens on address ("IP:port", port 0 for a free one) and serves the
// stand-in until Close. It returns ErrNotIPAddress or the listener's error.
func Start(address string, s Standin) (*Server, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return nil, errors.Wrap(ErrNotIPAddress, address)
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	srv := &Server{standin: s, listener: newListener(inner)}
	srv.http = &http.Server{
		Handler:           http.HandlerFunc(srv.serve),
		ConnContext:       withConn,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	go func() { _ = srv.http.Serve(srv.listener) }()
	return srv, nil
}

// Address returns "IP:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns "http://IP:port".
func (s *Server) URL() string { return "http://" + s.Address() }

// Close closes the listener, every connection and the stand-in.
func (s *Server) Close() {
	_ = s.http.Close()
	s.listener.closeAll()
	s.standin.Close()
}

// Inject puts the faults of the server itself in force.
func (s *Server) Inject(f ServerFaults) {
	if f.SilenceConnections {
		s.listener.silenceAll()
	}
	wasUp := !s.crashed.Swap(f.Crashed)
	if f.Restart || (f.Crashed && wasUp) {
		if r, ok := s.standin.(restarter); ok {
			r.restart()
		}
	}
	if f.ResetConnections || f.Restart || f.Crashed {
		s.listener.resetAll()
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := requestConn(r)
	control := strings.HasPrefix(r.URL.Path, controlPrefix)
	if c != nil {
		c.control.Store(control)
	}
	switch {
	case control:
		s.serveControl(w, r)
	case s.crashed.Load():
		abort(r)
	default:
		s.standin.ServeHTTP(w, r)
	}
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + strings.TrimPrefix(r.URL.Path, controlPrefix) {
	case "GET records":
		writeJSON(w, http.StatusOK, s.standin.Records())
	case "GET faults":
		writeJSON(w, http.StatusOK, s.standin.Faults())
	case "POST faults":
		s.postFaults(w, r)
	case "DELETE faults":
		s.standin.SetFaults(nil)
		s.Inject(ServerFaults{})
		w.WriteHeader(http.StatusNoContent)
	default:
		s.standin.ServeHTTP(w, r)
	}
}

// postFaults merges the body into the faults in force: fields that the body
// omits keep their values. An unknown field is refused, so that a test with a
// misspelt fault cannot pass because the fault was never injected.
func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var body map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	server := ServerFaults{Crashed: s.crashed.Load()}
	faults := s.standin.Faults()
	for name, value := range body {
		field, _ := json.Marshal(map[string]json.RawMessage{name: value})
		if decodeStrict(field, &server) == nil {
			continue
		}
		if err := decodeStrict(field, faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.standin.SetFaults(faults)
	s.Inject(server)
	w.WriteHeader(http.StatusNoContent)
}

func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	return errors.WithStack(d.Decode(into))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
