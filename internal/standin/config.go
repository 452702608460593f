package standin

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// Kind names a kind of stand-in in a configuration file.
type Kind string

// The kinds of stand-in.
const (
	KindKV          Kind = "kv"
	KindEngine      Kind = "engine"
	KindService     Kind = "service"
	KindVMList      Kind = "vm_list"
	KindWeightStore Kind = "weight_store"
)

// Config lists the stand-ins that one process serves.
type Config struct {
	// SharedAdapters makes all engines of the file share one count of in-flight
	// requests per adapter. By default each engine keeps its own count.
	SharedAdapters bool `yaml:"shared_adapters"`
	// Standins lists the stand-ins.
	Standins []Entry `yaml:"standins"`
}

// Entry is one stand-in. Only the parameters of its kind may be given.
type Entry struct {
	// Kind is the kind of system that the stand-in replaces.
	Kind Kind `yaml:"kind"`
	// Name is unique in the file.
	Name string `yaml:"name"`
	// Listen is "IP:port".
	Listen string `yaml:"listen"`
	// KV, Engine, Service, VMList and WeightStore are the parameters of the
	// kind of the same name.
	KV          KVOptions          `yaml:"kv"`
	Engine      EngineOptions      `yaml:"engine"`
	Service     ServiceOptions     `yaml:"service"`
	VMList      VMListOptions      `yaml:"vm_list"`
	WeightStore WeightStoreOptions `yaml:"weight_store"`
}

// ReadConfig reads a configuration file. An invalid setting is reported as a
// *strictyaml.FieldError that names the file, the line and the setting.
func ReadConfig(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return ParseConfig(path, data)
}

// ParseConfig parses a configuration; file is its name in errors.
func ParseConfig(file string, data []byte) (*Config, error) {
	var c Config
	source, err := strictyaml.Decode(data, file, &c)
	if err != nil {
		return nil, err
	}
	names := make(map[string]struct{})
	for i, e := range c.Standins {
		path := fmt.Sprintf("standins[%d]", i)
		if _, duplicate := names[e.Name]; duplicate {
			return nil, source.At(path+".name", ErrDuplicateName)
		}
		names[e.Name] = struct{}{}
		if !e.Kind.valid() {
			return nil, source.At(path+".kind", ErrUnknownKind)
		}
	}
	return &c, nil
}

func (k Kind) valid() bool {
	switch k {
	case KindKV, KindEngine, KindService, KindVMList, KindWeightStore:
		return true
	}
	return false
}

// Group is a set of running stand-ins.
type Group struct {
	servers map[string]*Server
}

// StartAll starts every stand-in of a configuration. If one cannot be started,
// those started before it are closed and the error names it.
func StartAll(c *Config) (*Group, error) {
	g := &Group{servers: make(map[string]*Server, len(c.Standins))}
	meter := NewAdapterMeter()
	for _, e := range c.Standins {
		if c.SharedAdapters {
			e.Engine.Adapters = meter
		}
		srv, err := Start(e.Listen, e.build())
		if err != nil {
			g.Close()
			return nil, errors.WithMessage(err, e.Name)
		}
		g.servers[e.Name] = srv
	}
	return g, nil
}

func (e Entry) build() Standin {
	switch e.Kind {
	case KindKV:
		return NewKV(e.KV)
	case KindEngine:
		setDefault(&e.Engine.Name, e.Name)
		return NewEngine(e.Engine)
	case KindService:
		setDefault(&e.Service.Name, e.Name)
		return NewService(e.Service)
	case KindVMList:
		return NewVMList(e.VMList)
	default:
		return NewWeightStore(e.WeightStore)
	}
}

// Server returns the server of the named stand-in, or nil if there is none.
func (g *Group) Server(name string) *Server { return g.servers[name] }

// Close stops every stand-in.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.Close()
	}
}
