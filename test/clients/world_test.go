package clients

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/portblock"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// The lowered limits of a VM, as its settings state them. The platform reserves some of the descriptors for files.
const (
	memoryMB        = 96
	descriptors     = 500
	fileDescriptors = 200
	// manyDescriptors is the platform's usual limit.
	manyDescriptors = 4100
)

const (
	host = "callers.example"
	key  = "key"
	// patience is after how long something that has not happened is taken as something that never does.
	patience = 60 * time.Second
)

// programs is the folder of the programs, built from this source.
var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "clients")
	if err == nil {
		programs = dir
		err = exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...").Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a process under test.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// listeners are the addresses of its listeners.
	listeners []string
}

// world is one VM with a store, an engine and a plain service.
type world struct {
	*process
	vm            standin.VM
	store         *standin.Store
	manifest      standin.Manifest
	clerk, engine *standin.Replica
}

var ports portblock.Ports

func newWorld(t *testing.T) *world { return newWorldWith(t, descriptors) }

// newWorldWith returns a world whose VM may use a number of descriptors.
func newWorldWith(t *testing.T, descriptors int) *world {
	w := &world{process: &process{t: t}}
	w.manifest = standin.Manifest{
		Version: 1, Host: host, Models: []string{"m0"}, Teams: []standin.Team{{Name: "team", Keys: []string{key}, Rate: 1e9, Burst: 1e9}},
	}
	store := standin.NewStore()
	w.store = store
	store.Put("op/config", w.manifest.Value())
	w.clerk = w.addUpstream(store, "clerk")
	w.engine = w.addUpstream(store, "engine", "m0")
	at := w.addresses(6)
	first, last := portOf(at[0]), portOf(at[1])
	w.vm = standin.VM{
		Name: "vm", Zone: "a", IP: "127.0.0.1", FirstPort: min(first, last), LastPort: max(first, last), Callers: at[2], Readiness: at[3], Directory: at[4],
		Store: w.serve(store), ConfigMs: 4000, DrainMs: 4000, EvacuationMs: 4000, LeaseMs: 3000, GraceS: 4, QuotaSlack: 1000,
		MemoryMB: memoryMB, Descriptors: descriptors,
	}
	for _, name := range append([]string{"peers"}, httpListeners...) {
		w.listeners = append(w.listeners, w.listener(name))
	}
	w.start()
	require.Eventually(t, func() bool { return w.ready() }, patience, 50*time.Millisecond, "the VM is not ready")
	return w
}

func (w *world) addUpstream(store *standin.Store, service string, models ...string) *standin.Replica {
	r := standin.NewReplica(service+"-1", 2, models...)
	r.NameAttempt, r.ServiceTime, r.Born = true, time.Millisecond, time.Now().UnixMilli()
	store.Put("servers/"+r.ID, r.Entry(service, w.serve(r), "a", "ready"))
	return r
}

func (w *world) serve(handler http.Handler) string {
	server, err := ports.Serve(handler)
	require.NoError(w.t, err)
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (w *world) addresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		port, err := ports.Next()
		require.NoError(w.t, err)
		out[i] = fmt.Sprintf("127.0.0.1:%d", port)
	}
	return out
}

func portOf(address string) int {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return port
}

// start starts the VM's process.
func (w *world) start() {
	path := filepath.Join(w.t.TempDir(), "vm.toml")
	require.NoError(w.t, os.WriteFile(path, []byte(w.vm.Settings()), 0o600))
	w.cmd = exec.Command(filepath.Join(programs, "chestnut-vm"))
	w.cmd.Env = []string{"CHESTNUTARCH_BOOT=" + path}
	w.process.start()
}

// start starts a process, which is killed when the test ends.
func (p *process) start() {
	log, err := os.Create(filepath.Join(p.t.TempDir(), "log"))
	require.NoError(p.t, err)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.ended = make(chan struct{})
	require.NoError(p.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
		if p.t.Failed() {
			p.logTail(log.Name())
		}
	})
}

// logTail prints the last lines of the process's log.
func (p *process) logTail(path string) {
	text, _ := os.ReadFile(path)
	lines := strings.Split(string(text), "\n")
	p.t.Logf("log of the process:\n%s", strings.Join(lines[max(0, len(lines)-20):], "\n"))
}

func (w *world) ready() bool {
	response, err := http.Get("http://" + w.vm.Readiness + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// listener is the address of one of a VM's listeners, by its name.
func (w *world) listener(name string) string {
	return map[string]string{
		"callers": w.vm.Callers, "readiness": w.vm.Readiness, "directory": w.vm.Directory,
		"operators": fmt.Sprintf("127.0.0.1:%d", w.vm.LastPort), "peers": fmt.Sprintf("127.0.0.1:%d", w.vm.FirstPort),
	}[name]
}

// requireWithinLimits checks that the process lives and has kept its limits.
func (p *process) requireWithinLimits() {
	p.t.Helper()
	select {
	case <-p.ended:
		require.Fail(p.t, "the process has ended", "%v", p.cmd.ProcessState)
	default:
	}
	p.requireMemoryWithinLimit()
	open := p.openSockets()
	p.t.Logf("sockets %d", open)
	require.LessOrEqual(p.t, open, descriptors-fileDescriptors, "open sockets of the process")
}

// requireMemoryWithinLimit checks that the process has kept its limit of memory.
func (p *process) requireMemoryWithinLimit() {
	p.t.Helper()
	peak, unread := p.peakMemory(), p.unreadBytes()>>10
	p.t.Logf("most memory %d kB, unread %d kB", peak, unread)
	require.LessOrEqual(p.t, peak+unread, memoryMB<<10, "most memory of the process and what it has not read, in kB")
}

// peakMemory returns the most memory that the process has taken, in kB.
func (p *process) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	peak, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(p.t, err)
	return peak
}

// openSockets returns the number of sockets that the process has open.
func (p *process) openSockets() int {
	folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(folder)
	require.NoError(p.t, err)
	sockets := 0
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets
}

// requireOrdinaryAnswer checks that a caller that does what answers say gets its answer, that its address is listed and that
// the VM is ready.
func (w *world) requireOrdinaryAnswer() {
	w.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	last := standin.Answer{}
	require.Eventually(w.t, func() bool {
		last = standin.Send(context.Background(), client, w.vm.Callers, standin.Call{
			ID: fmt.Sprintf("ordinary-%d", time.Now().UnixNano()), Method: http.MethodPost, Host: host, Path: "/look/1", Key: key, Body: "body", Timeout: 10 * time.Second,
		})
		return last.Status == http.StatusOK && last.Signed
	}, patience, 200*time.Millisecond, "no ordinary request was answered, the last one with %+v", &last)
	require.Eventually(w.t, func() bool {
		addresses, err := standin.Resolve(context.Background(), client, w.vm.Directory, host, "a")
		return err == nil && len(addresses) == 1
	}, patience, 200*time.Millisecond, "the directory does not answer")
	require.Eventually(w.t, w.ready, patience, 200*time.Millisecond, "the VM is not ready")
}

// unreadBytes returns how many bytes the kernel holds that clients have sent and the process has not read. They count as memory of
// the process.
func (p *process) unreadBytes() int {
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	own := make(map[string]bool)
	for _, address := range p.listeners {
		own[fmt.Sprintf("%04X", portOf(address))] = true
	}
	sum := 0
	for _, line := range strings.Split(string(table), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) < 5 || !own[fields[1][strings.Index(fields[1], ":")+1:]] || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseInt(queue, 16, 64)
		require.NoError(p.t, err)
		sum += int(unread)
	}
	return sum
}

// listening is the state of a listener in /proc/net/tcp.
const listening = "0A"
