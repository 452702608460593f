package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// vm is one process of the program under test with the proxies of its connections.
type vm struct {
	standin.VM
	dir string
	// builds are the paths of the programs that the process runs: each start takes the next
	// one. starts is the number of starts, offset by the index of the first build.
	builds []string
	starts int
	// The proxies carry connections from callers, from other VMs and to the store.
	callersProxy, peersProxy, storeProxy *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// shouldRun says that the process is started again after it ends. endExpected says that
	// the test has sent a signal that ends the process.
	shouldRun, endExpected bool
	paused                 bool
	// unexpectedEnds are the times and errors of ends that the test did not cause,
	// and the errors of failed starts.
	unexpectedEnds []string
	// disturbances are the times of all signals, and of the beginnings and ends of the faults of the
	// process's proxies.
	disturbances []time.Time
	// interruptions are the times of all signals that start, end, pause or resume the process.
	interruptions []time.Time
	done          chan struct{}
}

const (
	// restartDelay is the time after which the platform restarts a process that has ended.
	restartDelay = 300 * time.Millisecond
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 4 * time.Second
)

func (v *vm) settingsPath() string { return filepath.Join(v.dir, v.Name+".toml") }

func (v *vm) writeSettings() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return os.WriteFile(v.settingsPath(), []byte(v.Settings()), 0o600)
}

// supervise starts the process and restarts it whenever it ends, until shouldRun is false.
func (v *vm) supervise() error {
	if err := v.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.shouldRun, v.done = true, make(chan struct{})
	go func() {
		defer close(v.done)
		defer log.Close()
		for v.start(log) {
			err := v.cmd.Wait()
			v.recordEnd(err)
			_ = v.writeSettings()
			time.Sleep(restartDelay)
		}
	}()
	return nil
}

func (v *vm) start(log *os.File) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.shouldRun {
		return false
	}
	v.cmd = exec.Command(v.builds[v.starts%len(v.builds)])
	v.starts++
	v.cmd.Env = []string{"CHESTNUTARCH_BOOT=" + v.settingsPath()}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.endExpected = false
	v.interruptions = append(v.interruptions, time.Now())
	if err := v.cmd.Start(); err != nil {
		v.unexpectedEnds = append(v.unexpectedEnds, err.Error())
		return false
	}
	return true
}

func (v *vm) recordEnd(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paused, v.Restarted = false, true
	if !v.endExpected {
		v.unexpectedEnds = append(v.unexpectedEnds, time.Now().Format(time.StampMilli)+": "+exitText(err))
	}
}

func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// signal sends a signal to the process and records whether its end is expected and whether it is
// paused.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	now := time.Now()
	v.disturbances = append(v.disturbances, now)
	v.interruptions = append(v.interruptions, now)
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL:
		v.endExpected = true
	case syscall.SIGSTOP:
		v.paused = true
	case syscall.SIGCONT:
		v.paused = false
	}
	_ = v.cmd.Process.Signal(s)
}

// signalUnrecorded sends a signal to the process that does not count as a disturbance.
func (v *vm) signalUnrecorded(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// terminate stops the process as planned maintenance does: SIGTERM, and SIGKILL after
// gracePeriod. The process is restarted by supervise.
func (v *vm) terminate() {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
	time.AfterFunc(gracePeriod, func() {
		v.mu.Lock()
		same := v.cmd == cmd
		v.mu.Unlock()
		if same {
			v.signal(syscall.SIGKILL)
		}
	})
}

// stop ends the process without a restart and closes its proxies.
func (v *vm) stop() {
	v.mu.Lock()
	v.shouldRun = false
	started := v.done != nil
	v.mu.Unlock()
	if !started {
		return
	}
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGTERM)
	select {
	case <-v.done:
	case <-time.After(gracePeriod + time.Second):
		v.signal(syscall.SIGKILL)
		<-v.done
	}
	for _, p := range []*proxy{v.callersProxy, v.peersProxy, v.storeProxy} {
		p.close()
	}
}

// interruptedBetween reports whether the process was started, ended, paused or resumed within a time.
func (v *vm) interruptedBetween(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return anyBetween(v.interruptions, from, to)
}

// markDisturbed records that a fault affects the VM now.
func (v *vm) markDisturbed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbances = append(v.disturbances, time.Now())
}

// disturbedBetween reports whether a fault of the process or of one of its proxies began or ended within
// a time.
func (v *vm) disturbedBetween(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return anyBetween(v.disturbances, from, to)
}

func anyBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}
