package load

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

var (
	// ErrNoRequests means that a workload makes no requests, because it has no
	// entries or teams, a call has no models or path, or no arrival falls within
	// the duration.
	ErrNoRequests = errors.New("load: workload makes no requests")
	// ErrInvalidSetting means that a setting's value is not valid.
	ErrInvalidSetting = errors.New("load: invalid setting")
)

// Shape is the distribution of arrivals over the run.
type Shape string

// The shapes of arrival.
const (
	// ShapeSteady is a Poisson process.
	ShapeSteady Shape = "steady"
	// ShapeFlashCrowd is a number of callers that all arrive within a window.
	// Each then makes its calls at intervals around a mean pause.
	ShapeFlashCrowd Shape = "flash_crowd"
	// ShapeMoving is a Poisson process most of whose requests ask for one model,
	// which changes with each period.
	ShapeMoving Shape = "moving"
	// ShapeSurge is a Poisson process whose rate is multiplied for a part of the
	// run.
	ShapeSurge Shape = "surge"
)

// Kind is the kind of request that a call makes.
type Kind string

// The kinds of call.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindAction     Kind = "action"
)

// Workload describes the load of one run.
type Workload struct {
	// Name is the heading of the report.
	Name string `yaml:"name"`
	// Entries are the base URLs of the entry VMs that callers query for
	// addresses. Each has an IP address and a port.
	Entries []string `yaml:"entries"`
	// CAFile is a PEM file of the CA certificates that callers trust. The
	// default is the system's certificates.
	CAFile string `yaml:"ca_file"`
	// Engines are the URLs of the stand-in engines whose records give model
	// loads and unloads, and tokens. Each counts as one accelerator.
	Engines []string `yaml:"engines"`
	// Services are the URLs of the stand-in services whose records give
	// executions.
	Services []string `yaml:"services"`
	// Accelerators is the number of accelerators in the figures per accelerator.
	// The default is the number of engines.
	Accelerators int `yaml:"accelerators"`
	// Seed is the seed of the schedule. The default is 1.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which requests arrive. The default is 60s.
	Duration time.Duration `yaml:"duration"`
	// Drain is the longest time that the run waits for answers after Duration.
	// The default is 60s.
	Drain time.Duration `yaml:"drain"`
	// FirstToken and BetweenTokens are the latency objectives: the longest time
	// to the first token and the longest mean time between tokens. The defaults
	// are 760ms and 52ms.
	FirstToken    time.Duration `yaml:"first_token"`
	BetweenTokens time.Duration `yaml:"between_tokens"`
	// MaxInFlight bounds the number of requests in flight. Arrivals beyond it
	// are counted as not sent. The default is 20000.
	MaxInFlight int `yaml:"max_in_flight"`
	// MaxResumes is the largest number of attempts to resume a broken stream.
	// The default is 3.
	MaxResumes int `yaml:"resumes"`
	// Teams are the teams that send requests.
	Teams []Team `yaml:"teams"`
}

// Team is one tenant's load.
type Team struct {
	// Name is the team's name in the report.
	Name string `yaml:"name"`
	// Key is the API key that the team's callers present.
	Key string `yaml:"key"`
	// Rate and Burst are the team's rate in tokens per second and its burst in
	// tokens, as in the environment document. They decide which refused requests
	// were inside the rate. With a rate of 0, all were.
	Rate  int64 `yaml:"rate"`
	Burst int64 `yaml:"burst"`
	// Calls are the streams of requests that the team sends.
	Calls []Call `yaml:"calls"`
}

// Call describes a stream of requests of one kind.
type Call struct {
	// Kind is the kind of request.
	Kind Kind `yaml:"kind"`
	// Shape is the distribution of arrivals. The default is "steady".
	Shape Shape `yaml:"shape"`
	// Rate is the mean number of arrivals per second. "flash_crowd" does not use
	// it.
	Rate float64 `yaml:"rate"`
	// Callers is the number of callers, each with its own cached addresses. The
	// default is 20.
	Callers int `yaml:"callers"`
	// Window is the time in which all callers of a "flash_crowd" arrive. The
	// default is 60s.
	Window time.Duration `yaml:"window"`
	// CallsPerCaller is the number of calls of each caller of a "flash_crowd".
	// The default is 1.
	CallsPerCaller int `yaml:"calls_per_caller"`
	// Pause is the mean time between two calls of one caller of a "flash_crowd".
	// The default is 10s.
	Pause time.Duration `yaml:"pause"`
	// Period is the time after which "moving" demand changes to the next model.
	// The default is 10s.
	Period time.Duration `yaml:"period"`
	// Factor multiplies the rate of a "surge" between the times From and Until
	// from the start of the run. The defaults are 5, a third of the duration
	// and two thirds of the duration.
	Factor float64       `yaml:"factor"`
	From   time.Duration `yaml:"from"`
	Until  time.Duration `yaml:"until"`
	// Models are the names of the models or adapters that are requested.
	Models []string `yaml:"models"`
	// Prefixes is the number of different prefixes that prompts share, and
	// PrefixTokens the length of each. The default is no shared prefix.
	Prefixes     int `yaml:"prefixes"`
	PrefixTokens int `yaml:"prefix_tokens"`
	// PromptTokens is the length of the part of a prompt that no other prompt
	// has. The default is 50.
	PromptTokens int `yaml:"prompt_tokens"`
	// MaxTokens is the largest number of tokens to generate. The default is 64.
	MaxTokens int `yaml:"max_tokens"`
	// Path is an action's path below "/services".
	Path string `yaml:"path"`
	// Keyed adds an Idempotency-Key header to every action.
	Keyed bool `yaml:"keyed"`
	// Cost is the cost of an action in tokens. The default is 1.
	Cost int64 `yaml:"cost"`
	// Timeout is the caller's deadline for a request. The default is 30s.
	Timeout time.Duration `yaml:"timeout"`
}

// ReadWorkload reads a workload from a file and sets the defaults. An invalid
// workload gives a *strictyaml.FieldError.
func ReadWorkload(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return ParseWorkload(path, data)
}

// ParseWorkload parses a workload, sets the defaults and validates it; file is
// its name in errors.
func ParseWorkload(file string, data []byte) (*Workload, error) {
	var w Workload
	source, err := strictyaml.Decode(data, file, &w)
	if err != nil {
		return nil, err
	}
	w.setDefaults()
	if path, err := w.validate(); err != nil {
		return nil, source.At(path, err)
	}
	return &w, nil
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (w *Workload) setDefaults() {
	setDefault(&w.Seed, 1)
	setDefault(&w.Duration, time.Minute)
	setDefault(&w.Drain, time.Minute)
	setDefault(&w.FirstToken, 760*time.Millisecond)
	setDefault(&w.BetweenTokens, 52*time.Millisecond)
	setDefault(&w.MaxInFlight, 20_000)
	setDefault(&w.MaxResumes, 3)
	setDefault(&w.Accelerators, len(w.Engines))
	for i := range w.Teams {
		for j := range w.Teams[i].Calls {
			w.Teams[i].Calls[j].setDefaults(w.Duration)
		}
	}
}

func (c *Call) setDefaults(duration time.Duration) {
	setDefault(&c.Shape, ShapeSteady)
	setDefault(&c.Callers, 20)
	setDefault(&c.Window, time.Minute)
	setDefault(&c.CallsPerCaller, 1)
	setDefault(&c.Pause, 10*time.Second)
	setDefault(&c.Period, 10*time.Second)
	setDefault(&c.Factor, 5)
	setDefault(&c.From, duration/3)
	setDefault(&c.Until, duration*2/3)
	setDefault(&c.PromptTokens, 50)
	setDefault(&c.MaxTokens, 64)
	setDefault(&c.Cost, 1)
	setDefault(&c.Timeout, 30*time.Second)
}

// validate returns the path of the first invalid setting, and why it is invalid.
func (w *Workload) validate() (string, error) {
	if len(w.Entries) == 0 {
		return "entries", ErrNoRequests
	}
	for i, entry := range w.Entries {
		if !isIPURL(entry) {
			return fmt.Sprintf("entries[%d]", i), errors.Wrap(ErrInvalidSetting, "not a URL with an IP address and port")
		}
	}
	if len(w.Teams) == 0 {
		return "teams", ErrNoRequests
	}
	for i, team := range w.Teams {
		for j, call := range team.Calls {
			if name, err := call.validate(); err != nil {
				return fmt.Sprintf("teams[%d].calls[%d].%s", i, j, name), err
			}
		}
	}
	return "", nil
}

func isIPURL(raw string) bool {
	u, err := url.Parse(raw)
	return err == nil && net.ParseIP(u.Hostname()) != nil && u.Port() != ""
}

func (c *Call) validate() (string, error) {
	switch c.Kind {
	case KindChat, KindCompletion:
		if len(c.Models) == 0 {
			return "models", ErrNoRequests
		}
	case KindAction:
		if c.Path == "" {
			return "path", ErrNoRequests
		}
	default:
		return "kind", errors.Wrap(ErrInvalidSetting, string(c.Kind))
	}
	switch c.Shape {
	case ShapeFlashCrowd:
	case ShapeSteady, ShapeMoving, ShapeSurge:
		if c.Rate <= 0 {
			return "rate", errors.Wrap(ErrInvalidSetting, "must be greater than 0")
		}
	default:
		return "shape", errors.Wrap(ErrInvalidSetting, string(c.Shape))
	}
	return "", nil
}
