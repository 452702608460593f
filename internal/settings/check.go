package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// digestBytes is the length of a SHA-256 digest in bytes.
const digestBytes = 32

// checker collects the errors of one settings file.
type checker struct {
	source *strictyaml.Source
	errs   strictyaml.Errors
}

func (c *checker) fail(path string, err error) {
	c.errs = append(c.errs, c.source.At(path, err))
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.fail(path, ErrRequired)
	}
}

func (c *checker) address(path, value string) {
	if value == "" {
		c.fail(path, ErrRequired)
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, errors.Wrapf(ErrNotIPAddress, "%q", value))
	}
}

func (c *checker) optionalAddress(path, value string) {
	if value != "" {
		c.address(path, value)
	}
}

func (c *checker) url(path, value string) {
	if value == "" {
		c.fail(path, ErrRequired)
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.fail(path, errors.Wrapf(ErrNotURL, "%q", value))
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.fail(path, errors.Wrapf(ErrNotURL, "%q", value))
	}
}

func (c *checker) atLeast(path string, value, least int64) {
	if value < least {
		c.fail(path, errors.Wrapf(ErrRange, "%d is below the minimum of %d", value, least))
	}
}

func (c *checker) atMost(path string, value, most int64) {
	if value > most {
		c.fail(path, errors.Wrapf(ErrRange, "%d is above the maximum of %d", value, most))
	}
}

func (c *checker) digest(path, value string) {
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != digestBytes || hex.EncodeToString(raw) != value {
		c.fail(path, errors.Wrapf(ErrNotDigest, "%q", value))
	}
}

// requireTLS reports an error for a listener that would serve plain text to other
// machines: keys and answers could be read in transit without being noticed.
func (c *checker) requireTLS(path, address string, certificate *Certificate, allowPlain bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsLoopback() || allowPlain {
		return
	}
	if !certificate.isSet() {
		c.fail(path, errors.Wrapf(ErrPlainText, "%q", address))
	}
}

func (c *checker) kv(k *KV) {
	if len(k.URLs) == 0 {
		c.fail("kv.urls", ErrRequired)
	}
	for i, u := range k.URLs {
		c.url(fmt.Sprintf("kv.urls[%d]", i), u)
	}
	c.atLeast("kv.timeout", int64(k.Timeout), 1)
}

func (c *checker) operators(keys []OperatorKey) {
	for i, key := range keys {
		path := fmt.Sprintf("operators[%d]", i)
		c.required(path+".id", key.ID)
		c.digest(path+".sha256", key.SHA256)
	}
}

// check returns every error in s.
func (s *Entry) check(source *strictyaml.Source) strictyaml.Errors {
	c := &checker{source: source}
	c.required("vm", s.VM)
	c.required("environment", s.Environment)
	c.required("failure_domain", s.FailureDomain)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.peers", s.Listen.Peers)
	c.optionalAddress("listen.metrics", s.Listen.Metrics)
	c.url("advertise.callers", s.Advertise.Callers)
	c.address("advertise.peers", s.Advertise.Peers)
	for i, p := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), p)
	}
	c.kv(&s.KV)
	if s.VMList.URL != "" {
		c.url("vm_list.url", s.VMList.URL)
	}
	c.tls(&s.TLS)
	c.requireTLS("listen.callers", s.Listen.Callers, &s.TLS.Callers, s.TLS.AllowPlainText)
	c.requireTLS("listen.operators", s.Listen.Operators, &s.TLS.Operators, s.TLS.AllowPlainText)
	c.requireTLS("listen.peers", s.Listen.Peers, &s.TLS.Peers, s.TLS.AllowPlainText)
	c.operators(s.Operators)
	c.secrets(s.ResumeSecrets)
	c.limits(&s.Limits)
	c.telemetry(s.Log.Validate(), s.Traces.Validate())
	return c.errs
}

// minSecretBytes is the minimum length of a secret, so that resume tokens cannot
// be guessed.
const minSecretBytes = 16

func (c *checker) secrets(secrets []string) {
	if len(secrets) == 0 {
		c.fail("resume_secrets", ErrRequired)
	}
	for i, secret := range secrets {
		c.atLeast(fmt.Sprintf("resume_secrets[%d]", i), int64(len(secret)), minSecretBytes)
	}
}

func (c *checker) limits(l *Limits) {
	c.atLeast("limits.max_body_bytes", l.MaxBodyBytes, 1)
	c.atMost("limits.max_body_bytes", l.MaxBodyBytes, maxConfiguredBodyBytes)
	c.atLeast("limits.max_header_bytes", int64(l.MaxHeaderBytes), 1)
	c.atMost("limits.max_header_bytes", int64(l.MaxHeaderBytes), maxConfiguredHeaderSize)
	c.atLeast("limits.max_in_flight", int64(l.MaxInFlight), 1)
	c.connections("limits.connections", &l.Connections)
	c.atLeast("limits.request_timeout", int64(l.RequestTimeout), 1)
	c.atLeast("limits.address_lifetime", int64(l.AddressLifetime), 1)
	c.atLeast("limits.drain_timeout", int64(l.DrainTimeout), 1)
}

func (c *checker) connections(field string, l *Connections) {
	c.atLeast(field+".max", int64(l.Max), 1)
	c.atLeast(field+".head_memory", l.HeadMemory, 1)
}

func (c *checker) telemetry(log, traces error) {
	if log != nil {
		c.fail("log", log)
	}
	if traces != nil {
		c.fail("traces", traces)
	}
}
