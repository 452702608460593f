package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// vm is one process of the program under test.
type vm struct {
	standin.VM
	dir string
	// builds are the programs that the process runs in turn, another one at each start;
	// starts counts these.
	builds []string
	starts int
	// ways are the proxies of callers, of other VMs and to the store.
	callers, peers, store *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// wanted says that the process is to run, expected that its end was caused here.
	wanted, expected bool
	paused           bool
	// surprises are ends that nobody caused.
	surprises []string
	// disturbed is when a fault last touched the process or a way of it.
	disturbed time.Time
	done      chan struct{}
}

const (
	// restartAfter is how long after its end the platform starts a process again.
	restartAfter = 300 * time.Millisecond
	// graceTime is between SIGTERM and SIGKILL.
	graceTime = 4 * time.Second
)

func (v *vm) settingsPath() string { return filepath.Join(v.dir, v.Name+".toml") }

func (v *vm) writeSettings() error {
	return os.WriteFile(v.settingsPath(), []byte(v.Settings()), 0o600)
}

// run starts the process and starts it again after every end, until it is not wanted.
func (v *vm) run() error {
	if err := v.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.wanted, v.done = true, make(chan struct{})
	go func() {
		defer close(v.done)
		defer log.Close()
		for v.start(log) {
			err := v.cmd.Wait()
			v.ended(err)
			time.Sleep(restartAfter)
		}
	}()
	return nil
}

func (v *vm) start(log *os.File) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.wanted {
		return false
	}
	v.cmd = exec.Command(v.builds[v.starts%len(v.builds)])
	v.starts++
	v.cmd.Env = []string{"CHESTNUTARCH_BOOT=" + v.settingsPath()}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.expected = false
	if err := v.cmd.Start(); err != nil {
		v.surprises = append(v.surprises, err.Error())
		return false
	}
	return true
}

func (v *vm) ended(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paused = false
	if !v.expected {
		v.surprises = append(v.surprises, time.Now().Format(time.StampMilli)+": "+errorText(err))
	}
}

func errorText(err error) string {
	if err == nil {
		return "ended with 0"
	}
	return err.Error()
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	v.disturbed = time.Now()
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL:
		v.expected = true
	case syscall.SIGSTOP:
		v.paused = true
	case syscall.SIGCONT:
		v.paused = false
	}
	_ = v.cmd.Process.Signal(s)
}

// term stops the process as planned work does; it starts again by itself.
func (v *vm) term() {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
	time.AfterFunc(graceTime, func() {
		v.mu.Lock()
		same := v.cmd == cmd
		v.mu.Unlock()
		if same {
			v.signal(syscall.SIGKILL)
		}
	})
}

// stop ends the process for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.wanted = false
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
	select {
	case <-v.done:
	case <-time.After(graceTime + time.Second):
		v.signal(syscall.SIGKILL)
		<-v.done
	}
	for _, p := range []*proxy{v.callers, v.peers, v.store} {
		p.close()
	}
}

// touch notes that a fault disturbs the VM.
func (v *vm) touch() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = time.Now()
}
