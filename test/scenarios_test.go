package test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the directory that the daemons are built into.
var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnut-scenarios-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, buildFlags...)
	build := exec.Command("go", append(args, "../cmd/...")...)
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// buildFolders names folders of other builds of chestnut-entry and chestnut-planner.
var buildFolders = flag.String("builds", "", "two folders with builds, comma-separated: half of the VMs and planners start with each, and every restart switches to the other")

// scenarioSlots limits the scenarios that run at the same time. Each of them has
// about six processes.
var scenarioSlots = make(chan struct{}, 4)

// runMeasurements enables TestMeasurements. Its scripts take minutes, and their
// results are meaningful only on a machine that is otherwise idle.
var runMeasurements = flag.Bool("measure", false, "run the measurements")

func TestScenarios(t *testing.T) { testscript.Run(t, scriptParams("scenarios")) }

func TestMeasurements(t *testing.T) {
	if !*runMeasurements {
		t.Skip("measurements run only with -measure")
	}
	testscript.Run(t, scriptParams("measurements"))
}

func scriptParams(dir string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", binaries+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Values[stateKey{}] = newState(e)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"world":   cmdWorld,
			"apply":   cmdApply,
			"daemon":  cmdDaemon,
			"ready":   cmdReady,
			"fault":   cmdFault,
			"check":   cmdCheck,
			"await":   cmdAwait,
			"call":    cmdCall,
			"join":    cmdJoin,
			"warm":    cmdWarm,
			"abandon": cmdAbandon,
			"again":   cmdAgain,
			"sleep":   cmdSleep,
			"burst":   cmdBurst,
			"stream":  cmdStream,
			"events":  cmdEvents,
			"whole":   cmdWhole,
			"broken":  cmdBroken,
			"reopen":  cmdReopen,
			"replace": cmdReplace,
		},
	}
}
