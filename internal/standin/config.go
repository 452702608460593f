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
	// SharedAdapters makes the engines of the file count the requests in
	// flight of an adapter together. The default is each engine on its own.
	SharedAdapters bool `yaml:"shared_adapters"`
	// Standins lists the stand-ins.
	Standins []Entry `yaml:"standins"`
}

// Entry is one stand-in. Only the parameters of its kind may be given.
type Entry struct {
	// Kind says what it stands for.
	Kind Kind `yaml:"kind"`
	// Name is unique in the file.
	Name string `yaml:"name"`
	// Listen is "IP:port".
	Listen string `yaml:"listen"`
	// KV, Engine, Service, VMList and WeightStore are the parameters.
	KV          KVOptions          `yaml:"kv"`
	Engine      EngineOptions      `yaml:"engine"`
	Service     ServiceOptions     `yaml:"service"`
	VMList      VMListOptions      `yaml:"vm_list"`
	WeightStore WeightStoreOptions `yaml:"weight_store"`
}

// ReadConfig reads a configuration file. A mistake in it is a
// *strictyaml.FieldError that names the file, the line and the setting.
func ReadConfig(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return ParseConfig(path, data)
}

// ParseConfig reads a configuration; file is its name in errors.
func ParseConfig(file string, data []byte) (*Config, error) {
	var c Config
	source, err := strictyaml.Decode(data, file, &c)
	if err != nil {
		return nil, err
	}
	names := make(map[string]struct{})
	for i, e := range c.Standins {
		path := fmt.Sprintf("standins[%d]", i)
		if _, twice := names[e.Name]; twice {
			return nil, source.At(path+".name", ErrDuplicateName)
		}
		names[e.Name] = struct{}{}
		if !e.Kind.known() {
			return nil, source.At(path+".kind", ErrUnknownKind)
		}
	}
	return &c, nil
}

func (k Kind) known() bool {
	switch k {
	case KindKV, KindEngine, KindService, KindVMList, KindWeightStore:
		return true
	}
	return false
}

// Group is a set of served stand-ins.
type Group struct {
	servers map[string]*Server
}

// StartAll serves every stand-in of a configuration. If one cannot be served,
// those before it are closed.
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
		orDefault(&e.Engine.Name, e.Name)
		return NewEngine(e.Engine)
	case KindService:
		orDefault(&e.Service.Name, e.Name)
		return NewService(e.Service)
	case KindVMList:
		return NewVMList(e.VMList)
	default:
		return NewWeightStore(e.WeightStore)
	}
}

// Server returns a served stand-in by its name, or nil.
func (g *Group) Server(name string) *Server { return g.servers[name] }

// Close ends every stand-in.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.Close()
	}
}
