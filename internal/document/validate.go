package document

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"path"
	"strings"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// Validate checks a document that was not parsed from text. Call ApplyDefaults
// before. The error is strictyaml.Errors.
func (d *Document) Validate() error {
	errs := d.validate(&strictyaml.Source{})
	if len(errs) == 0 {
		return nil
	}
	return errs
}

func (d *Document) validate(source *strictyaml.Source) strictyaml.Errors {
	c := &checker{source: source, doc: d, domains: make(map[string]bool)}
	c.name("environment", d.Environment)
	c.failureDomains()
	c.teams()
	c.models()
	c.upstreams()
	c.routes()
	c.limits()
	if len(c.errs) == 0 {
		c.checkMemory()
	}
	return c.errs
}

// checker collects all mistakes, so that an operator can correct them at once.
type checker struct {
	source  *strictyaml.Source
	doc     *Document
	errs    strictyaml.Errors
	domains map[string]bool
}

func (c *checker) fail(at string, err error, format string, args ...any) {
	if format != "" {
		err = errors.Wrapf(err, format, args...)
	}
	c.errs = append(c.errs, c.source.At(at, err))
}

// name checks a name that is used in keys, paths and logs.
func (c *checker) name(at, name string) {
	if name == "" {
		c.fail(at, ErrMissing, "")
		return
	}
	for _, r := range name {
		allowed := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !allowed && !strings.ContainsRune("-_.:", r) {
			c.fail(at, ErrUnknownChoice, "%q: must consist of letters, digits and -_.:", name)
			return
		}
	}
}

// unique reports a name that was already seen at an earlier path.
func (c *checker) unique(seen map[string]string, at, name string) {
	if name == "" {
		return
	}
	if first, duplicate := seen[name]; duplicate {
		c.fail(at, ErrDuplicateName, "%q is already used at %s", name, first)
		return
	}
	seen[name] = at
}

func (c *checker) positive(at string, n int64) {
	if n <= 0 {
		c.fail(at, ErrOutOfRange, "%d: must be above zero", n)
	}
}

func (c *checker) share(at string, x float64) {
	if !(x >= 0 && x <= 1) {
		c.fail(at, ErrOutOfRange, "%g: must be from 0 to 1", x)
	}
}

func (c *checker) failureDomains() {
	if len(c.doc.FailureDomains) == 0 {
		c.fail("failure_domains", ErrMissing, "")
	}
	seen := make(map[string]string)
	for i, name := range c.doc.FailureDomains {
		at := fmt.Sprintf("failure_domains[%d]", i)
		c.name(at, name)
		c.unique(seen, at, name)
		c.domains[name] = true
	}
}

func (c *checker) teams() {
	names := make(map[string]string)
	keys := make(map[string]string)
	for i, team := range c.doc.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.name(at+".name", team.Name)
		c.unique(names, at+".name", team.Name)
		c.positive(at+".weight", team.Weight)
		c.positive(at+".rate", team.Rate)
		c.positive(at+".burst", team.Burst)
		c.keys(at, team, keys)
	}
}

// keys refuses a digest that is listed twice. A request with a key of two teams would
// be charged to the team that was indexed last.
func (c *checker) keys(team string, t Team, seen map[string]string) {
	ids := make(map[string]string)
	for i, key := range t.Keys {
		at := fmt.Sprintf("%s.keys[%d]", team, i)
		c.name(at+".id", key.ID)
		c.unique(ids, at+".id", key.ID)
		if !IsDigest(key.SHA256) {
			c.fail(at+".sha256", ErrBadDigest, "%q", key.SHA256)
			continue
		}
		if first, duplicate := seen[key.SHA256]; duplicate {
			c.fail(at+".sha256", ErrSharedKey, "also listed at %s", first)
			continue
		}
		seen[key.SHA256] = at
	}
}

// IsDigest reports whether text is a lower-case hexadecimal SHA-256 digest.
func IsDigest(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == 32 && strings.ToLower(text) == text
}

// models checks base models and adapters. They share one namespace, because callers
// name either in the same field.
func (c *checker) models() {
	seen := make(map[string]string)
	for i, model := range c.doc.Models {
		at := fmt.Sprintf("models[%d]", i)
		c.name(at+".name", model.Name)
		c.unique(seen, at+".name", model.Name)
		c.name(at+".version", model.Version)
		c.positive(at+".replicas", int64(model.Replicas))
		switch {
		case model.Memory > 0:
		case len(model.Adapters) > 0:
			c.fail(at+".memory", ErrNoBaseModel, "%q has adapters and no weights of its own", model.Name)
		default:
			c.positive(at+".memory", int64(model.Memory))
		}
		for j, adapter := range model.Adapters {
			c.adapter(fmt.Sprintf("%s.adapters[%d]", at, j), adapter, seen)
		}
	}
}

func (c *checker) adapter(at string, a Adapter, seen map[string]string) {
	c.name(at+".name", a.Name)
	c.unique(seen, at+".name", a.Name)
	c.name(at+".version", a.Version)
	c.positive(at+".memory", int64(a.Memory))
	if a.MaxInFlight < 0 {
		c.fail(at+".max_in_flight", ErrOutOfRange, "%d: must not be negative", a.MaxInFlight)
	}
}

func (c *checker) upstreams() {
	names := make(map[string]string)
	urls := make(map[string]string)
	for i, e := range c.doc.Engines {
		at := fmt.Sprintf("engines[%d]", i)
		c.upstream(at, e.Name, e.URL, e.FailureDomain, names, urls)
		c.positive(at+".memory", int64(e.Memory))
		if e.KVCacheReserve < 0 || e.KVCacheReserve >= max(e.Memory, 1) {
			c.fail(at+".kv_cache_reserve", ErrOutOfRange, "%s: must be below the engine's memory %s", e.KVCacheReserve, e.Memory)
		}
		if e.Fencing != FencingEnforced && e.Fencing != FencingIgnored {
			c.fail(at+".fencing", ErrUnknownChoice, "%q: must be enforced or ignored", e.Fencing)
		}
	}
	pools := make(map[string]string)
	for i, s := range c.doc.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at+".name", s.Name)
		c.unique(pools, at+".name", s.Name)
		if len(s.Replicas) == 0 {
			c.fail(at+".replicas", ErrMissing, "")
		}
		for j, r := range s.Replicas {
			c.upstream(fmt.Sprintf("%s.replicas[%d]", at, j), r.Name, r.URL, r.FailureDomain, names, urls)
		}
	}
}

func (c *checker) upstream(at, name, address, domain string, names, urls map[string]string) {
	c.name(at+".name", name)
	c.unique(names, at+".name", name)
	if err := checkURL(address); err != nil {
		c.fail(at+".url", err, "%q", address)
	} else {
		c.unique(urls, at+".url", address)
	}
	if !c.domains[domain] {
		c.fail(at+".failure_domain", ErrUnknownFailureDomain, "%q", domain)
	}
}

// checkURL accepts only a scheme, an IP address and a port. A host name would make
// the system depend on a DNS resolver, which the platform does not guarantee.
func checkURL(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return ErrBadURL
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return ErrBadURL
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return ErrBadURL
	}
	if address != u.Scheme+"://"+u.Host {
		return ErrBadURL
	}
	return nil
}

func (c *checker) routes() {
	pools := make(map[string]bool)
	for _, s := range c.doc.Services {
		pools[s.Name] = true
	}
	seen := make(map[string]string)
	for i, r := range c.doc.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.Path, "/") || path.Clean(r.Path) != r.Path || r.Path == "/" {
			c.fail(at+".path", ErrBadPath, "%q", r.Path)
		}
		c.unique(seen, at+".path", r.Path)
		if !pools[r.Service] {
			c.fail(at+".service", ErrUnknownService, "%q", r.Service)
		}
		if r.Repeat != RepeatNever && r.Repeat != RepeatSafe {
			c.fail(at+".repeat", ErrUnknownChoice, "%q: must be never or safe", r.Repeat)
		}
		c.positive(at+".cost", r.Cost)
		c.positive(at+".timeout", int64(r.Timeout))
	}
}

func (c *checker) limits() {
	store := c.doc.WeightStore
	if len(c.doc.Models) > 0 {
		if !(store.LoadsPerSecond > 0) {
			c.fail("weight_store.loads_per_second", ErrOutOfRange, "%g: must be above zero", store.LoadsPerSecond)
		}
		c.positive("weight_store.concurrent_loads", int64(store.ConcurrentLoads))
	}
	p := c.doc.Promotion
	c.share("promotion.min_attainment", p.MinAttainment)
	c.share("promotion.max_error_share", p.MaxErrorShare)
	if p.MinTimeInForce < 0 {
		c.fail("promotion.min_time_in_force", ErrOutOfRange, "%s: must not be negative", p.MinTimeInForce)
	}
	if p.MinRequests < 0 {
		c.fail("promotion.min_requests", ErrOutOfRange, "%d: must not be negative", p.MinRequests)
	}
}
