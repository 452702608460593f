package settings

// TLS gives the certificates of a process. Files are reloaded when they change,
// without a restart.
type TLS struct {
	// Callers is what callers are served with.
	Callers Certificate `yaml:"callers"`
	// Operators is what operators are served with. With an authority, a client
	// certificate that it signed is accepted instead of an operator's key.
	Operators Certificate `yaml:"operators"`
	// Peers is what own processes prove themselves with, both ways: the
	// authority is required.
	Peers Certificate `yaml:"peers"`
	// Upstreams holds the authority that upstreams' certificates are checked
	// against. Without one the machine's own authorities are used.
	Upstreams Certificate `yaml:"upstreams"`
	// KV holds the authority of the key-value service, and the certificate to
	// show it.
	KV Certificate `yaml:"kv"`
	// AllowPlainText allows listeners on other addresses than loopback
	// without TLS. The default is false.
	AllowPlainText bool `yaml:"allow_plain_text"`
}

// Certificate holds the paths of PEM files.
type Certificate struct {
	// Certificate is the file of the certificate chain.
	Certificate string `yaml:"certificate"`
	// Key is the file of the private key.
	Key string `yaml:"key"`
	// Authority is the file of the certificates that the other side is
	// checked against.
	Authority string `yaml:"authority"`
}

func (c *Certificate) isSet() bool { return c.Certificate != "" }

func (c *Certificate) scheme() string {
	if c.isSet() {
		return "https"
	}
	return "http"
}

func (c *checker) tls(t *TLS) {
	c.certificatePair("tls.callers", &t.Callers)
	c.certificatePair("tls.operators", &t.Operators)
	c.certificatePair("tls.peers", &t.Peers)
	c.certificatePair("tls.upstreams", &t.Upstreams)
	c.certificatePair("tls.kv", &t.KV)
	if t.Peers.isSet() && t.Peers.Authority == "" {
		c.fail("tls.peers.authority", ErrIncomplete)
	}
}

func (c *checker) certificatePair(path string, certificate *Certificate) {
	if (certificate.Certificate == "") != (certificate.Key == "") {
		c.fail(path, ErrIncomplete)
	}
}
