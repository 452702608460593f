package test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chestnutarch/chestnutarch/internal/portblock"
)

type stateKey struct{}

// state is what one scenario has running.
type state struct {
	env     *testscript.Env
	daemons map[string]*daemon
	calls   map[string]*call
	streams map[string]*stream
	// started counts the daemons of each program that were started.
	started map[string]int
}

// never is how long a scenario waits before it says that something which has
// to happen did not happen.
const never = 30 * time.Second

func newState(e *testscript.Env) *state {
	s := &state{
		env: e, daemons: make(map[string]*daemon),
		calls: make(map[string]*call), streams: make(map[string]*stream),
		started: make(map[string]int),
	}
	atOnce <- struct{}{}
	e.Defer(func() {
		defer func() { <-atOnce }()
		s.end()
	})
	return s
}

func stateOf(ts *testscript.TestScript) *state { return ts.Value(stateKey{}).(*state) }

// end kills what runs and, if the scenario failed, shows the ends of the logs.
func (s *state) end() {
	failed := false
	if f, ok := s.env.T().(interface{ Failed() bool }); ok {
		failed = f.Failed()
	}
	for name, d := range s.daemons {
		d.kill()
		if log, err := os.ReadFile(d.log); failed && err == nil {
			const shown = 12000
			s.env.T().Log(fmt.Sprintf("== log of %s\n%s", name, log[max(0, len(log)-shown):]))
		}
	}
	for _, st := range s.streams {
		st.stop()
	}
}

// daemon is one running process that can be stopped and started again.
type daemon struct {
	args   []string
	log    string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
	// starts decides which of the builds under -builds is run.
	starts int
}

// program is the path of the daemon's program: of this source, or with -builds of each build
// in turn.
func (d *daemon) program() string {
	name := d.args[0]
	if *mixed == "" || name != "chestnut-entry" && name != "chestnut-planner" {
		return filepath.Join(binaries, name)
	}
	folders := strings.Split(*mixed, ",")
	return filepath.Join(folders[d.starts%len(folders)], name)
}

func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	d.cmd = exec.Command(d.program(), d.args[1:]...)
	d.starts++
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	cmd, exited := d.cmd, d.exited
	go func() {
		d.err = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// errRuns means that a thread of a paused process has not stopped yet.
var errRuns = errors.New("the process has not stopped yet")

// stopped returns nil once every thread of the process has stopped. The signal
// is only on its way when it has been sent: a request that came right after it
// could still be answered.
func (d *daemon) stopped() error {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", d.cmd.Process.Pid))
	if err != nil {
		return err
	}
	for _, task := range tasks {
		stat, err := os.ReadFile(task)
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(rest, "T") {
			return errRuns
		}
	}
	return nil
}

// cmdDaemon: daemon start NAME BINARY ARGS... | restart|kill|pause|cont|term|exited NAME
func cmdDaemon(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: daemon start|restart|kill|pause|cont|term|exited NAME [BINARY ARGS...]")
	}
	s := stateOf(ts)
	if args[0] == "start" {
		ts.Check(s.start(args[1], args[2:]...))
		return
	}
	d := s.daemons[args[1]]
	if d == nil {
		ts.Fatalf("no daemon %s", args[1])
	}
	switch args[0] {
	case "restart":
		d.kill()
		ts.Check(d.start())
	case "kill":
		d.kill()
	case "pause":
		d.signal(syscall.SIGSTOP)
		ts.Check(poll(d.stopped))
	case "cont":
		d.signal(syscall.SIGCONT)
	case "term":
		d.signal(syscall.SIGTERM)
	case "exited":
		select {
		case <-d.exited:
			if d.err != nil {
				ts.Fatalf("%s ended with %v", args[1], d.err)
			}
		case <-time.After(never):
			ts.Fatalf("%s still runs", args[1])
		}
	default:
		ts.Fatalf("unknown: %s", args[0])
	}
}

func (s *state) start(name string, args ...string) error {
	d := &daemon{args: args, log: filepath.Join(s.env.WorkDir, name+".log"), starts: s.started[args[0]]}
	s.started[args[0]]++
	s.daemons[name] = d
	return d.start()
}

// ports gives out the ports of all scenarios.
var ports portblock.Ports

func freePort() int {
	port, err := ports.Next()
	if err != nil {
		panic(err)
	}
	return port
}

// fresh is a client that never reuses a connection, for questions to stand-ins.
var fresh = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}

func send(method, url, body string) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	response, err := fresh.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// poll repeats a question until it is answered with nil, and returns the last
// answer if that does not happen.
func poll(question func() error) error {
	const pause = 20 * time.Millisecond
	end := time.Now().Add(never)
	for {
		err := question()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(pause)
	}
}

// cmdReady: ready URL...
func cmdReady(ts *testscript.TestScript, neg bool, args []string) {
	for _, url := range args {
		err := poll(func() error {
			status, body, err := send(http.MethodGet, url, "")
			if err == nil && (status == http.StatusOK) == neg {
				err = fmt.Errorf("%s answered %d: %s", url, status, body)
			}
			if neg && err != nil && status == 0 {
				err = nil
			}
			return err
		})
		ts.Check(err)
	}
}
