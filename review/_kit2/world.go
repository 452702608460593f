package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chestnutarch/chestnutarch/internal/portblock"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const (
	host = "callers.example"
	key  = "review-key"
	// descriptors and memoryMB are the limits of a machine on the sheet of a small deployment, and the bounds are its bounds.
	descriptors = 4100
	memoryMB    = 284
	configMs    = 2000
	drainMs     = 2000
	leaseMs     = 3000
	graceS      = 8
	contact     = 3 * time.Second
	heartbeat   = 1200 * time.Millisecond
	// program is what the deploy file runs.
	program = "target/chestnut-vm"
)

// world is the environment of one run.
type world struct {
	dir     string
	trouble bool
	began   time.Time
	ports   portblock.Ports
	store   *standin.Store
	vms     []*vm
	// enginePorts are the ports of all model replicas so far.
	enginePorts map[int]bool

	storeAddress string
	storeServer  *http.Server

	mu     sync.Mutex
	record io.Writer
}

// vm is one process under review.
type vm struct {
	standin.VM
	cmd  *exec.Cmd
	done chan struct{}
}

func newWorld(record io.Writer) (*world, error) {
	dir, err := os.MkdirTemp("", "review-kit2-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: standin.NewStore(), record: record, enginePorts: make(map[int]bool)}
	listener, err := w.ports.Listen()
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	w.storeServer = &http.Server{Handler: w.store}
	go func() { _ = w.storeServer.Serve(listener) }()
	w.note("disruption: %v", w.trouble)
	return w, nil
}

// note writes a line to the record, with the time since the start in seconds.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// startVM starts a process with settings like those of a small deployment. change may change them.
func (w *world) startVM(name, zone string, change func(*standin.VM)) (*vm, error) {
	ports := make([]int, 5)
	for i := range ports {
		port, err := w.ports.Next()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	v := &vm{VM: standin.VM{
		Name: name, Zone: zone, IP: "127.0.0.1", FirstPort: min(ports[0], ports[1]), LastPort: max(ports[0], ports[1]),
		Callers: at(2), Readiness: at(3), Directory: at(4), Store: w.storeAddress,
		ConfigMs: configMs, DrainMs: drainMs, LeaseMs: leaseMs, GraceS: graceS, QuotaSlack: 110_000,
		MemoryMB: memoryMB, Descriptors: descriptors,
	}}
	if change != nil {
		change(&v.VM)
	}
	w.vms = append(w.vms, v)
	return v, w.run(v)
}

// run starts the process of a VM.
func (w *world) run(v *vm) error {
	settings := filepath.Join(w.dir, v.Name+".toml")
	if err := os.WriteFile(settings, []byte(v.Settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.cmd = exec.Command(program)
	v.cmd.Env = []string{"CHESTNUTARCH_BOOT=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	// The platform limits the descriptors of a process.
	limit := unix.Rlimit{Cur: uint64(v.Descriptors), Max: uint64(v.Descriptors)}
	if err := unix.Prlimit(v.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return err
	}
	v.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		w.note("process %s ended: %v", v.Name, err)
		close(done)
	}(v.cmd, v.done)
	w.note("process %s started: %s", v.Name, program)
	return nil
}

// running reports whether the process of a VM has not ended.
func (v *vm) running() bool {
	select {
	case <-v.done:
		return false
	default:
		return true
	}
}

// openDescriptors returns how many descriptors the process of a VM has open.
func (v *vm) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// socket is an open TCP socket of a process.
type socket struct {
	localPort, remotePort int
	// state is its state as the kernel names it, in hexadecimal digits.
	state string
}

// closeWait is the state of a socket whose peer has closed the connection and whose owner has not.
const closeWait = "08"

// sockets returns the open TCP sockets of the process of a VM, and the number of those that are open although the kernel has
// ended their connections.
func (v *vm) sockets() (connected []socket, ended int) {
	folder := fmt.Sprintf("/proc/%d", v.cmd.Process.Pid)
	entries, err := os.ReadDir(folder + "/fd")
	if err != nil {
		return nil, 0
	}
	own := make(map[string]bool)
	for _, e := range entries {
		if target, err := os.Readlink(folder + "/fd/" + e.Name()); err == nil {
			if inode, ok := strings.CutPrefix(target, "socket:["); ok {
				own[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	table, err := os.ReadFile(folder + "/net/tcp")
	if err != nil {
		return nil, 0
	}
	port := func(address string) int {
		_, text, _ := strings.Cut(address, ":")
		n, _ := strconv.ParseInt(text, 16, 32)
		return int(n)
	}
	for _, line := range strings.Split(string(table), "\n") {
		if f := strings.Fields(line); len(f) > 9 && own[f[9]] {
			connected = append(connected, socket{localPort: port(f[1]), remotePort: port(f[2]), state: f[3]})
		}
	}
	return connected, len(own) - len(connected)
}

// awaitReady returns once all VMs say that they are ready.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if response, err := client.Get("http://" + v.Readiness + "/readiness"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.vms) {
			w.note("all processes are ready")
			return nil
		}
	}
	return fmt.Errorf("the processes did not become ready")
}

// configure writes a manifest as the operator does.
func (w *world) configure(manifest map[string]any) {
	text, _ := json.Marshal(manifest)
	w.store.PutBytes("op/config", text)
	w.note("manifest written: %s", text)
}

// close ends all processes and stand-ins, and removes the folder.
func (w *world) close() {
	for _, v := range w.vms {
		if v.cmd != nil && v.running() {
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			_ = v.cmd.Process.Kill()
			<-v.done
		}
	}
	_ = w.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// listen returns a listener for a stand-in.
func (w *world) listen() (net.Listener, error) { return w.ports.Listen() }
