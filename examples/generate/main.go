// Command generate writes the example environment documents at the sizes of real
// deployments. Run it in the repository's root: go run ./examples/generate
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
)

// ErrWrite means that a document cannot be encoded or written.
var ErrWrite = errors.New("generate: cannot write")

func main() {
	for _, d := range deployments() {
		text, err := d.text()
		if err == nil {
			err = os.WriteFile(filepath.Join("examples", d.name+".yaml"), text, 0o644)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, errors.Wrap(ErrWrite, err.Error()))
			os.Exit(1)
		}
	}
}

// deployment describes the size of one environment and its models, teams and
// services.
type deployment struct {
	name        string
	comment     string
	subnet      string
	domainCount int
	engines     engines
	families    []modelFamily
	adapters    adapters
	teams       []team
	service     servicePool
	weightStore document.WeightStore
	promotion   document.Promotion
}

// engines describes a number of engines of one size.
type engines struct {
	name           string
	count          int
	memory         document.Bytes
	kvCacheReserve document.Bytes
	withoutFencing int
}

// modelFamily describes a number of models of one size.
type modelFamily struct {
	name     string
	count    int
	memory   document.Bytes
	replicas int
}

type adapters struct {
	name        string
	count       int
	memory      document.Bytes
	maxInFlight int
}

type team struct {
	name   string
	weight int64
	rate   int64
	burst  int64
}

type servicePool struct {
	name   string
	count  int
	routes []document.Route
}

func deployments() []deployment {
	return []deployment{guatemala(), bohemia()}
}

func guatemala() deployment {
	return deployment{
		name:        "gt-central",
		comment:     "Drafting and advising assistants and a clerk service that files with the civil registry.",
		subnet:      "10.40",
		domainCount: 4,
		engines:     engines{name: "drafting", count: 20, memory: 80 * document.GiB, kvCacheReserve: 24 * document.GiB},
		families: []modelFamily{
			{name: "draft", count: 12, memory: 15 * document.GiB, replicas: 2},
			{name: "advise", count: 6, memory: 8 * document.GiB, replicas: 2},
			{name: "review", count: 2, memory: 28 * document.GiB, replicas: 2},
		},
		adapters: adapters{name: "office", count: 110, memory: 200 * document.MiB, maxInFlight: 60},
		teams: []team{
			{"drafting", 4, 30_000, 120_000},
			{"advice", 4, 30_000, 90_000},
			{"notaries", 2, 8_000, 60_000},
			{"archive", 1, 4_000, 60_000},
			{"training", 1, 2_000, 20_000},
		},
		service: servicePool{name: "clerk", count: 4, routes: []document.Route{
			{Path: "/registry/filings", Service: "clerk", Repeat: document.RepeatNever, Cost: 200, Timeout: 20 * time.Second},
			{Path: "/registry/records", Service: "clerk", Repeat: document.RepeatSafe, Cost: 50, Timeout: 10 * time.Second},
		}},
		weightStore: document.WeightStore{LoadsPerSecond: 2, ConcurrentLoads: 8},
		promotion:   document.Promotion{MinTimeInForce: 2 * time.Hour, MinRequests: 2000, MinAttainment: 0.97, MaxErrorShare: 0.005},
	}
}

func bohemia() deployment {
	return deployment{
		name:        "cz-central",
		comment:     "Safety briefings and session plans from long manuals, a quick helper for guests, and bookings.",
		subnet:      "10.42",
		domainCount: 3,
		engines:     engines{name: "studio", count: 20, memory: 48 * document.GiB, kvCacheReserve: 16 * document.GiB, withoutFencing: 8},
		families: []modelFamily{
			{name: "brief", count: 10, memory: 9 * document.GiB, replicas: 2},
			{name: "plan", count: 10, memory: 8 * document.GiB, replicas: 2},
			{name: "guest", count: 10, memory: 3 * document.GiB, replicas: 2},
		},
		adapters: adapters{name: "atelier", count: 100, memory: 160 * document.MiB, maxInFlight: 80},
		teams: []team{
			{"studios-north", 4, 60_000, 400_000},
			{"studios-south", 4, 60_000, 400_000},
			{"guests", 2, 20_000, 80_000},
			{"bookings", 2, 5_000, 20_000},
			{"academy", 1, 5_000, 150_000},
		},
		service: servicePool{name: "booking", count: 3, routes: []document.Route{
			{Path: "/booking/deposits", Service: "booking", Repeat: document.RepeatNever, Cost: 200, Timeout: 15 * time.Second},
			{Path: "/booking/availability", Service: "booking", Repeat: document.RepeatSafe, Cost: 20, Timeout: 5 * time.Second},
		}},
		weightStore: document.WeightStore{LoadsPerSecond: 2, ConcurrentLoads: 10},
		promotion:   document.Promotion{MinTimeInForce: 4 * time.Hour, MinRequests: 5000, MinAttainment: 0.95, MaxErrorShare: 0.01},
	}
}

// text returns the document as YAML with a head comment.
func (d *deployment) text() ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s\n# %s\n#\n", d.name, d.comment)
	b.WriteString("# Written by `go run ./examples/generate`; a test holds that it is current.\n")
	b.WriteString("# The keys are published: key-TEAM-1 and key-TEAM-2. Replace them before use.\n")
	encoder := yaml.NewEncoder(&b)
	encoder.SetIndent(2)
	if err := encoder.Encode(d.document()); err != nil {
		return nil, errors.Wrap(ErrWrite, err.Error())
	}
	return b.Bytes(), nil
}

func (d *deployment) document() *document.Document {
	doc := &document.Document{Environment: d.name, WeightStore: d.weightStore, Promotion: d.promotion}
	for i := range d.domainCount {
		doc.FailureDomains = append(doc.FailureDomains, d.domain(i))
	}
	for _, t := range d.teams {
		doc.Teams = append(doc.Teams, t.document())
	}
	doc.Models = d.models()
	doc.Engines = d.engineList()
	doc.Services = []document.Service{d.service.document(d)}
	doc.Routes = d.service.routes
	return doc
}

func (d *deployment) domain(i int) string {
	return fmt.Sprintf("%s-%c", d.name, 'a'+i%d.domainCount)
}

// keysPerTeam is two, so that one key can be replaced while the other is in use.
const keysPerTeam = 2

func (t team) document() document.Team {
	team := document.Team{Name: t.name, Weight: t.weight, Rate: t.rate, Burst: t.burst}
	for i := range keysPerTeam {
		key := fmt.Sprintf("key-%s-%d", t.name, i+1)
		team.Keys = append(team.Keys, document.Key{ID: key, SHA256: configstate.DigestKey(key)})
	}
	return team
}

func (d *deployment) models() []document.Model {
	var models []document.Model
	for _, f := range d.families {
		for i := range f.count {
			models = append(models, document.Model{
				Name: fmt.Sprintf("%s-%02d", f.name, i+1), Version: "v1", Memory: f.memory, Replicas: f.replicas,
			})
		}
	}
	for i := range d.adapters.count {
		base := &models[i%len(models)]
		base.Adapters = append(base.Adapters, document.Adapter{
			Name: fmt.Sprintf("%s-%03d", d.adapters.name, i+1), Version: "v1",
			Memory: d.adapters.memory, MaxInFlight: d.adapters.maxInFlight,
		})
	}
	return models
}

// The ports of the examples' upstreams.
const (
	enginePort  = 8000
	servicePort = 8100
)

func (d *deployment) engineList() []document.Engine {
	var list []document.Engine
	for i := range d.engines.count {
		fencing := document.FencingEnforced
		if i < d.engines.withoutFencing {
			fencing = document.FencingIgnored
		}
		list = append(list, document.Engine{
			Name:           fmt.Sprintf("%s-%02d", d.engines.name, i+1),
			URL:            fmt.Sprintf("https://%s.%d.%d:%d", d.subnet, i%d.domainCount, i+10, enginePort),
			FailureDomain:  d.domain(i),
			Memory:         d.engines.memory,
			KVCacheReserve: d.engines.kvCacheReserve,
			Fencing:        fencing,
		})
	}
	return list
}

func (p servicePool) document(d *deployment) document.Service {
	s := document.Service{Name: p.name}
	for i := range p.count {
		s.Replicas = append(s.Replicas, document.ServiceReplica{
			Name:          fmt.Sprintf("%s-%d", p.name, i+1),
			URL:           fmt.Sprintf("https://%s.%d.%d:%d", d.subnet, i%d.domainCount, i+100, servicePort),
			FailureDomain: d.domain(i),
		})
	}
	return s
}
