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

// state is the running processes, calls and streams of one scenario.
type state struct {
	env     *testscript.Env
	daemons map[string]*daemon
	calls   map[string]*call
	streams map[string]*stream
	// started is the number of daemons that were created, by program.
	started map[string]int
}

// waitLimit is how long a scenario waits for an expected event before it fails.
const waitLimit = 30 * time.Second

func newState(e *testscript.Env) *state {
	s := &state{
		env: e, daemons: make(map[string]*daemon),
		calls: make(map[string]*call), streams: make(map[string]*stream),
		started: make(map[string]int),
	}
	scenarioSlots <- struct{}{}
	e.Defer(func() {
		defer func() { <-scenarioSlots }()
		s.cleanUp()
	})
	return s
}

func stateOf(ts *testscript.TestScript) *state { return ts.Value(stateKey{}).(*state) }

// cleanUp kills the daemons, stops the streams and, if the scenario has failed,
// logs the last 12,000 bytes of each daemon's log.
func (s *state) cleanUp() {
	failed := false
	if f, ok := s.env.T().(interface{ Failed() bool }); ok {
		failed = f.Failed()
	}
	for name, d := range s.daemons {
		d.kill()
		if log, err := os.ReadFile(d.log); failed && err == nil {
			const shown = 12000
			s.env.T().Log(fmt.Sprintf("== end of the log of %s\n%s", name, log[max(0, len(log)-shown):]))
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
	// startCount selects the build that the next start runs if -builds is set.
	startCount int
}

// program returns the path of the daemon's program. It is built from this
// source, or with -builds taken from each of the builds in turn.
func (d *daemon) program() string {
	name := d.args[0]
	if *buildFolders == "" || name != "chestnut-entry" && name != "chestnut-planner" {
		return filepath.Join(binaries, name)
	}
	folders := strings.Split(*buildFolders, ",")
	return filepath.Join(folders[d.startCount%len(folders)], name)
}

func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	d.cmd = exec.Command(d.program(), d.args[1:]...)
	d.startCount++
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

// errNotStopped says that a thread of a paused process has not stopped yet.
var errNotStopped = errors.New("a thread of the process has not stopped after SIGSTOP")

// checkStopped returns nil if every thread of the process has stopped. Signals
// are delivered asynchronously: without this check, the process could still
// answer a request that arrives right after the signal was sent.
func (d *daemon) checkStopped() error {
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
			return errNotStopped
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
		ts.Fatalf("no daemon %s was started", args[1])
	}
	switch args[0] {
	case "restart":
		d.kill()
		ts.Check(d.start())
	case "kill":
		d.kill()
	case "pause":
		d.signal(syscall.SIGSTOP)
		ts.Check(poll(d.checkStopped))
	case "cont":
		d.signal(syscall.SIGCONT)
	case "term":
		d.signal(syscall.SIGTERM)
	case "exited":
		select {
		case <-d.exited:
			if d.err != nil {
				ts.Fatalf("daemon %s exited with an error: %v", args[1], d.err)
			}
		case <-time.After(waitLimit):
			ts.Fatalf("daemon %s has not exited within the time limit", args[1])
		}
	default:
		ts.Fatalf("unknown subcommand of daemon: %s", args[0])
	}
}

func (s *state) start(name string, args ...string) error {
	d := &daemon{args: args, log: filepath.Join(s.env.WorkDir, name+".log"), startCount: s.started[args[0]]}
	s.started[args[0]]++
	s.daemons[name] = d
	return d.start()
}

// ports allocates the ports of all scenarios.
var ports portblock.Ports

func freePort() int {
	port, err := ports.Next()
	if err != nil {
		panic(err)
	}
	return port
}

// unpooledClient never reuses a connection. It is for requests to stand-ins.
var unpooledClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}

func send(method, url, body string) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	response, err := unpooledClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// poll calls check until it returns nil. After waitLimit it returns the last
// error.
func poll(check func() error) error {
	const interval = 20 * time.Millisecond
	deadline := time.Now().Add(waitLimit)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(interval)
	}
}

// cmdReady: ready URL... waits until each URL answers 200; negated, until each
// answers another status or gives no answer.
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
