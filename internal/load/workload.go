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
	// ErrNothingToDo means that a workload has no entries, teams or calls.
	ErrNothingToDo = errors.New("load: nothing to do")
	// ErrBadSetting means that a setting's value makes no sense.
	ErrBadSetting = errors.New("load: bad setting")
)

// Shape is how arrivals are spread over the run.
type Shape string

// The shapes of arrival.
const (
	// ShapeSteady is a Poisson process.
	ShapeSteady Shape = "steady"
	// ShapeFlashCrowd is a crowd of callers that all come within a window; each
	// then makes its calls one after the other with pauses.
	ShapeFlashCrowd Shape = "flash_crowd"
	// ShapeMoving is a Poisson process whose demand moves from one model to
	// the next.
	ShapeMoving Shape = "moving"
	// ShapeSurge is a Poisson process that multiplies for a part of the run.
	ShapeSurge Shape = "surge"
)

// Kind is what a call asks for.
type Kind string

// The kinds of call.
const (
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindAction     Kind = "action"
)

// Workload is one run.
type Workload struct {
	// Name stands over the report.
	Name string `yaml:"name"`
	// Entries are the base URLs that callers may ask for an address.
	Entries []string `yaml:"entries"`
	// CAFile holds the certificates that callers trust. The default is the
	// system's.
	CAFile string `yaml:"ca_file"`
	// Engines are the URLs of the stand-in engines whose records give moves
	// and cached prompts. Each counts as one accelerator.
	Engines []string `yaml:"engines"`
	// Services are the URLs of the stand-in services whose records give
	// executions.
	Services []string `yaml:"services"`
	// Accelerators replaces the number of engines in the measure.
	Accelerators int `yaml:"accelerators"`
	// Seed makes the schedule. The default is 1.
	Seed uint64 `yaml:"seed"`
	// Duration is how long arrivals go on. The default is 60s.
	Duration time.Duration `yaml:"duration"`
	// Drain is how long the run waits for answers after that. The default is
	// 60s.
	Drain time.Duration `yaml:"drain"`
	// FirstToken and BetweenTokens are the latency objectives. The defaults
	// are 760ms and 52ms.
	FirstToken    time.Duration `yaml:"first_token"`
	BetweenTokens time.Duration `yaml:"between_tokens"`
	// MaxInFlight bounds the requests in flight; arrivals beyond it are
	// counted as not sent. The default is 20000.
	MaxInFlight int `yaml:"max_in_flight"`
	// Resumes is how often a caller takes up a broken stream. The default is
	// 3.
	Resumes int `yaml:"resumes"`
	// Teams are who calls.
	Teams []Team `yaml:"teams"`
}

// Team is one tenant's load.
type Team struct {
	// Name is the team's.
	Name string `yaml:"name"`
	// Key is what its callers present.
	Key string `yaml:"key"`
	// Rate and Burst are the team's in the document. They decide which refused
	// requests were inside the rate. A rate of 0 means that all were.
	Rate  int64 `yaml:"rate"`
	Burst int64 `yaml:"burst"`
	// Calls are the kinds of load that the team makes.
	Calls []Call `yaml:"calls"`
}

// Call is one kind of load.
type Call struct {
	// Kind is what is asked for.
	Kind Kind `yaml:"kind"`
	// Shape is how arrivals are spread. The default is "steady".
	Shape Shape `yaml:"shape"`
	// Rate is arrivals per second; it is not used by "flash_crowd".
	Rate float64 `yaml:"rate"`
	// Callers is how many callers there are, each with its own address answer.
	// The default is 20.
	Callers int `yaml:"callers"`
	// Window is how long a flash crowd takes to arrive. The default is 60s.
	Window time.Duration `yaml:"window"`
	// CallsPerCaller is how many calls each of a flash crowd makes. The default
	// is 1.
	CallsPerCaller int `yaml:"calls_per_caller"`
	// Pause is the mean time between the calls of one of a flash crowd. The
	// default is 10s.
	Pause time.Duration `yaml:"pause"`
	// Period is how long "moving" demand stays with one model. The default is
	// 10s.
	Period time.Duration `yaml:"period"`
	// Factor, From and Until say how many times the rate a "surge" has, and
	// when. The defaults are 5, a third and two thirds of the duration.
	Factor float64       `yaml:"factor"`
	From   time.Duration `yaml:"from"`
	Until  time.Duration `yaml:"until"`
	// Models are the models or adapters that are asked for.
	Models []string `yaml:"models"`
	// Prefixes is how many different long beginnings prompts share, and
	// PrefixTokens how long each is.
	Prefixes     int `yaml:"prefixes"`
	PrefixTokens int `yaml:"prefix_tokens"`
	// PromptTokens is the length of a prompt's own part. The default is 50.
	PromptTokens int `yaml:"prompt_tokens"`
	// MaxTokens is the most that is generated. The default is 64.
	MaxTokens int `yaml:"max_tokens"`
	// Path is an action's path below "/services".
	Path string `yaml:"path"`
	// Keyed gives every action an Idempotency-Key.
	Keyed bool `yaml:"keyed"`
	// Cost is an action's cost in tokens. The default is 1.
	Cost int64 `yaml:"cost"`
	// Timeout is the caller's deadline. The default is 30s.
	Timeout time.Duration `yaml:"timeout"`
}

// ReadWorkload reads a workload and fills in the defaults. A mistake is a
// *strictyaml.FieldError.
func ReadWorkload(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return ParseWorkload(path, data)
}

// ParseWorkload reads a workload; file is its name in errors.
func ParseWorkload(file string, data []byte) (*Workload, error) {
	var w Workload
	source, err := strictyaml.Decode(data, file, &w)
	if err != nil {
		return nil, err
	}
	w.fill()
	if path, err := w.check(); err != nil {
		return nil, source.At(path, err)
	}
	return &w, nil
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (w *Workload) fill() {
	orDefault(&w.Seed, 1)
	orDefault(&w.Duration, time.Minute)
	orDefault(&w.Drain, time.Minute)
	orDefault(&w.FirstToken, 760*time.Millisecond)
	orDefault(&w.BetweenTokens, 52*time.Millisecond)
	orDefault(&w.MaxInFlight, 20_000)
	orDefault(&w.Resumes, 3)
	orDefault(&w.Accelerators, len(w.Engines))
	for i := range w.Teams {
		for j := range w.Teams[i].Calls {
			w.Teams[i].Calls[j].fill(w.Duration)
		}
	}
}

func (c *Call) fill(duration time.Duration) {
	orDefault(&c.Shape, ShapeSteady)
	orDefault(&c.Callers, 20)
	orDefault(&c.Window, time.Minute)
	orDefault(&c.CallsPerCaller, 1)
	orDefault(&c.Pause, 10*time.Second)
	orDefault(&c.Period, 10*time.Second)
	orDefault(&c.Factor, 5)
	orDefault(&c.From, duration/3)
	orDefault(&c.Until, duration*2/3)
	orDefault(&c.PromptTokens, 50)
	orDefault(&c.MaxTokens, 64)
	orDefault(&c.Cost, 1)
	orDefault(&c.Timeout, 30*time.Second)
}

// check returns the path of the first setting that is wrong.
func (w *Workload) check() (string, error) {
	if len(w.Entries) == 0 {
		return "entries", ErrNothingToDo
	}
	for i, entry := range w.Entries {
		if !ipURL(entry) {
			return fmt.Sprintf("entries[%d]", i), errors.Wrap(ErrBadSetting, "not a URL with an IP address and port")
		}
	}
	if len(w.Teams) == 0 {
		return "teams", ErrNothingToDo
	}
	for i, team := range w.Teams {
		for j, call := range team.Calls {
			if name, err := call.check(); err != nil {
				return fmt.Sprintf("teams[%d].calls[%d].%s", i, j, name), err
			}
		}
	}
	return "", nil
}

func ipURL(raw string) bool {
	u, err := url.Parse(raw)
	return err == nil && net.ParseIP(u.Hostname()) != nil && u.Port() != ""
}

func (c *Call) check() (string, error) {
	switch c.Kind {
	case KindChat, KindCompletion:
		if len(c.Models) == 0 {
			return "models", ErrNothingToDo
		}
	case KindAction:
		if c.Path == "" {
			return "path", ErrNothingToDo
		}
	default:
		return "kind", errors.Wrap(ErrBadSetting, string(c.Kind))
	}
	switch c.Shape {
	case ShapeFlashCrowd:
	case ShapeSteady, ShapeMoving, ShapeSurge:
		if c.Rate <= 0 {
			return "rate", errors.Wrap(ErrBadSetting, "must be over 0")
		}
	default:
		return "shape", errors.Wrap(ErrBadSetting, string(c.Shape))
	}
	return "", nil
}
