package demo

import (
	"context"
	"crypto/rand"
	_ "embed"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/entry"
	"github.com/chestnutarch/chestnutarch/internal/operator"
	"github.com/chestnutarch/chestnutarch/internal/planner"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/standin"
)

var (
	// ErrNotReady means that the system did not become ready in time.
	ErrNotReady = errors.New("demo: system not ready in time")
	// ErrUnexpectedAnswer means that the system answered a request with an
	// unexpected status or an incomplete stream.
	ErrUnexpectedAnswer = errors.New("demo: unexpected answer")
	// ErrNotAccepted means that the environment document was not accepted.
	ErrNotAccepted = errors.New("demo: environment document not accepted")
)

// The keys of the demonstration. They are public: do not use them elsewhere.
const (
	StudioKey   = "studio-demo-key"
	VisitorKey  = "visitor-demo-key"
	OperatorKey = "operator-demo-key"
)

const (
	environment = "demo"
	kvURL       = "http://127.0.0.1:7379"
	plannerAddr = "127.0.0.1:7021"
)

// entryPorts are the ports for callers of the two entry VMs. The port for
// operators is the next one, the port for peers the one after that.
var entryPorts = []int{7001, 7011}

//go:embed standins.yaml
var standinsYAML []byte

//go:embed document.yaml
var documentYAML string

// secretBytes is the length in bytes of the secret that signs resume tokens.
const secretBytes = 32

// System is the running demonstration.
type System struct {
	log      zerolog.Logger
	standins *standin.Group
}

// Start starts the stand-ins. Close stops them.
func Start(log zerolog.Logger) (*System, error) {
	config, err := standin.ParseConfig("standins.yaml", standinsYAML)
	if err != nil {
		return nil, err
	}
	group, err := standin.StartAll(config)
	if err != nil {
		return nil, err
	}
	return &System{log: log, standins: group}, nil
}

// Close stops the stand-ins.
func (s *System) Close() { s.standins.Close() }

// Run runs the entry VMs and the planner until ctx ends or one of them fails.
func (s *System) Run(ctx context.Context) error {
	secret := make([]byte, secretBytes)
	rand.Read(secret)
	group, ctx := errgroup.WithContext(ctx)
	for i, port := range entryPorts {
		process, err := entry.New(ctx, entrySettings(i, port, hex.EncodeToString(secret)), s.log.With().Str("vm", vmName(i)).Logger())
		if err != nil {
			return err
		}
		group.Go(func() error { return process.Run(ctx) })
	}
	group.Go(func() error { return s.runPlanner(ctx) })
	return group.Wait()
}

func vmName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func entrySettings(i, port int, secret string) *settings.Entry {
	e := &settings.Entry{
		VM:            vmName(i),
		Environment:   environment,
		FailureDomain: string(rune('a' + i)),
		Listen:        settings.EntryListen{Callers: loopback(port), Operators: loopback(port + 1), Peers: loopback(port + 2)},
		KV:            settings.KV{URLs: []string{kvURL}},
		VMList:        settings.VMList{URL: "http://127.0.0.1:7381"},
		Operators:     []settings.OperatorKey{{ID: "demo", SHA256: configstate.DigestKey(OperatorKey)}},
		ResumeSecrets: []string{secret},
		Limits:        settings.Limits{AddressLifetime: time.Second, DrainTimeout: 5 * time.Second},
	}
	for _, other := range entryPorts {
		if other != port {
			e.Peers = append(e.Peers, loopback(other+2))
		}
	}
	e.Provision()
	return e
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (s *System) runPlanner(ctx context.Context) error {
	p := &settings.Planner{
		VM:            vmName(0),
		Environment:   environment,
		FailureDomain: "a",
		Listen:        settings.PlannerListen{Peers: plannerAddr},
		KV:            settings.KV{URLs: []string{kvURL}},
	}
	p.Provision()
	process, err := planner.NewProcess(ctx, p, s.log)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}

// Document returns the environment document of the demonstration.
func Document() string {
	return strings.NewReplacer(
		"DIGEST_STUDIO", configstate.DigestKey(StudioKey),
		"DIGEST_VISITOR", configstate.DigestKey(VisitorKey),
	).Replace(documentYAML)
}

// Apply submits the environment document to the first entry VM. It fails with
// ErrNotAccepted unless the document took effect.
func (s *System) Apply(ctx context.Context) error {
	client := &operator.Client{Server: "http://" + loopback(entryPorts[0]+1), Key: OperatorKey, HTTP: http.DefaultClient}
	answer, err := client.Apply(ctx, &operator.ApplyRequest{
		ChangeRequest: operator.ChangeRequest{ChangeID: "demo-1", Nonce: "demo-1"},
		Document:      Document(),
	})
	if err != nil {
		return err
	}
	if answer.Outcome != operator.OutcomeTookEffect {
		return errors.Wrap(ErrNotAccepted, answer.Outcome)
	}
	return nil
}
