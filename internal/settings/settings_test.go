package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

const goodEntry = `
vm: entry-1
environment: trial
failure_domain: a
listen: {callers: "127.0.0.1:8080", operators: "127.0.0.1:8081", peers: "127.0.0.1:8082"}
kv: {urls: ["http://127.0.0.1:2379"]}
resume_secrets: ["0123456789abcdef"]
`

func TestEntryDefaults(t *testing.T) {
	s := &Entry{}
	require.NoError(t, parse([]byte(goodEntry), "entry.yaml", s))
	require.Equal(t, "http://127.0.0.1:8080", s.Advertise.Callers)
	require.Equal(t, "127.0.0.1:8082", s.Advertise.Peers)
	require.Equal(t, DefaultKVTimeout, s.KV.Timeout)
	require.Equal(t, 15*time.Second, s.Limits.AddressLifetime)
	require.Equal(t, "info", s.Log.Level)
}

// An operator makes an error in a VM's settings. If the process started anyway, it
// would listen on the wrong address or without TLS. If the message did not give
// the line and path, the operator would have to search the file.
func TestEntryErrorsNameLineAndPath(t *testing.T) {
	cases := []struct {
		name, add, want string
		is              error
	}{
		{"unknown field", "vmm: x\n", "entry.yaml:8: vmm", strictyaml.ErrUnknownField},
		{"host name in an address", "peers: [entry-2:8082]\n", "entry.yaml:8: peers[0]", ErrNotIPAddress},
		{"host name in a URL", "vm_list: {url: \"http://vms.example\"}\n", "entry.yaml:8: vm_list.url", ErrNotURL},
		{"invalid digest", "operators: [{id: eva, sha256: ab}]\n", "entry.yaml:8: operators[0].sha256", ErrNotDigest},
		{"certificate without key", "tls: {callers: {certificate: a.pem}}\n", "entry.yaml:8: tls.callers", ErrIncomplete},
		{"invalid log level", "log: {level: loud}\n", "entry.yaml:8: log", nil},
		{"too large", "limits: {max_body_bytes: 999999999999}\n", "entry.yaml:8: limits.max_body_bytes", ErrRange},
		{"sampled share above 1", "traces: {sampled_share: 2}\n", "entry.yaml:8: traces", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := parse([]byte(goodEntry+c.add), "entry.yaml", &Entry{})
			require.ErrorContains(t, err, c.want)
			if c.is != nil {
				require.ErrorIs(t, err, c.is)
			}
		})
	}
}

// A VM is configured without certificates. On any address but loopback, callers'
// keys would then be sent over the network in plain text without being noticed.
func TestPlainTextIsOnlyAllowedOnLoopback(t *testing.T) {
	public := `
vm: entry-1
environment: trial
failure_domain: a
listen: {callers: "10.0.0.1:8080", operators: "127.0.0.1:8081", peers: "127.0.0.1:8082"}
kv: {urls: ["http://127.0.0.1:2379"]}
resume_secrets: ["0123456789abcdef"]
`
	require.ErrorIs(t, parse([]byte(public), "entry.yaml", &Entry{}), ErrPlainText)
	require.NoError(t, parse([]byte(public+"tls: {allow_plain_text: true}\n"), "entry.yaml", &Entry{}))
	protected := public + "tls: {callers: {certificate: a.pem, key: a.key}}\n"
	s := &Entry{}
	require.NoError(t, parse([]byte(protected), "entry.yaml", s))
	require.Equal(t, "https://10.0.0.1:8080", s.Advertise.Callers)
}

func TestPlannerDefaults(t *testing.T) {
	s := &Planner{}
	text := "vm: a\nenvironment: trial\nfailure_domain: a\nlisten: {peers: \"127.0.0.1:1\"}\nkv: {urls: [\"http://127.0.0.1:2379\"]}\n"
	require.NoError(t, parse([]byte(text), "planner.yaml", s))
	require.Equal(t, DefaultPlannerLease, s.Lease)
	require.ErrorIs(t, parse([]byte(text+"lease: 1ms\n"), "planner.yaml", &Planner{}), ErrRange)
}

func TestReadEntryReportsMissingFile(t *testing.T) {
	_, err := ReadEntry(t.TempDir() + "/none.yaml")
	require.ErrorIs(t, err, ErrRead)
}

// The example files must be valid, so that a new user does not copy one that the
// current version rejects.
func TestExamplesAreValid(t *testing.T) {
	_, err := ReadEntry("../../examples/entry.yaml")
	require.NoError(t, err)
	_, err = ReadPlanner("../../examples/planner.yaml")
	require.NoError(t, err)
}
