//go:build review

package kit

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// Program is the program of the deploy file.
const Program = "target/chestnut-vm"

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// VM is one process of chestnut-vm, which is started again whenever it ends.
type VM struct {
	standin.VM
	w *World

	mu        sync.Mutex
	command   *exec.Cmd
	restarted bool
	ending    bool
	kills     int
	ended     chan struct{}
}

// Bounds are those of the small sites.
const (
	ConfigMs  = 2000
	DrainMs   = 2000
	LeaseMs   = 3000
	GraceS    = 8
	QuotaUnit = 110_000
)

// AddVM starts a process.
func (w *World) AddVM(name, zone string) *VM {
	at := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	first, last := w.port(), w.port()
	v := &VM{w: w, ended: make(chan struct{}), VM: standin.VM{
		Name: name, Zone: zone, IP: "127.0.0.1", FirstPort: min(first, last), LastPort: max(first, last),
		Callers: at(w.port()), Readiness: at(w.port()), Directory: at(w.port()), Store: w.address,
		ConfigMs: ConfigMs, DrainMs: DrainMs, LeaseMs: LeaseMs, GraceS: GraceS, QuotaSlack: QuotaUnit,
	}}
	w.VMs = append(w.VMs, v)
	go v.supervise()
	return v
}

func (v *VM) supervise() {
	defer close(v.ended)
	log, err := os.Create(filepath.Join(v.w.dir, v.Name+".log"))
	if err != nil {
		return
	}
	defer log.Close()
	settings := filepath.Join(v.w.dir, v.Name+".toml")
	for {
		v.mu.Lock()
		if v.ending {
			v.mu.Unlock()
			return
		}
		v.Restarted = v.restarted
		v.restarted = true
		_ = os.WriteFile(settings, []byte(v.Settings()), 0o600)
		v.command = exec.Command(Program)
		v.command.Env = []string{"CHESTNUTARCH_BOOT=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		v.command.Stdout, v.command.Stderr = log, log
		err := v.command.Start()
		command := v.command
		v.mu.Unlock()
		v.w.Log("process", "vm", v.Name, "started", err == nil)
		if err != nil {
			return
		}
		err = command.Wait()
		v.w.Log("process", "vm", v.Name, "ended", err)
		time.Sleep(restartDelay)
	}
}

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil && v.command.Process != nil {
		v.w.Log("signal", "vm", v.Name, "signal", s)
		_ = v.command.Process.Signal(s)
	}
}

// Terminate sends SIGTERM, and SIGKILL after the grace period.
func (v *VM) Terminate() {
	v.mu.Lock()
	before := v.command
	v.mu.Unlock()
	v.Signal(syscall.SIGTERM)
	time.AfterFunc(GraceS*time.Second, func() {
		v.mu.Lock()
		same := v.command == before
		v.mu.Unlock()
		if same {
			v.Signal(syscall.SIGKILL)
		}
	})
}

// MemoryMB is the memory-mb of a machine. A process that exceeds it is killed.
const MemoryMB = 284

// memoryInterval is how often the memory of a process is looked at.
const memoryInterval = 10 * time.Millisecond

// LimitMemory kills the process whenever it exceeds its memory, as the platform does. Kills returns how often.
func (v *VM) LimitMemory() {
	go func() {
		killed := 0
		for {
			select {
			case <-v.w.done:
				return
			case <-time.After(memoryInterval):
			}
			pid := v.PID()
			if used := residentMB(pid); pid != killed && used > MemoryMB {
				killed = pid
				v.w.Log("memory", "vm", v.Name, "pid", pid, "used-mb", used)
				v.mu.Lock()
				v.kills++
				v.mu.Unlock()
				v.Signal(syscall.SIGKILL)
			}
		}
	}()
}

// Kills returns how often the process was killed because of its memory.
func (v *VM) Kills() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.kills
}

// residentMB returns the resident memory of a process in MB, 0 if it is gone.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// PID returns the present process.
func (v *VM) PID() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command == nil || v.command.Process == nil {
		return 0
	}
	return v.command.Process.Pid
}

func (v *VM) stop() {
	v.mu.Lock()
	v.ending = true
	v.mu.Unlock()
	v.Signal(syscall.SIGCONT)
	v.Signal(syscall.SIGKILL)
	<-v.ended
}

// Ready reports whether the VM says that it takes requests.
func (v *VM) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Readiness+"/readiness", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// AllReady reports whether all VMs are ready.
func (w *World) AllReady() bool {
	for _, v := range w.VMs {
		if !v.Ready() {
			return false
		}
	}
	return true
}
