package soak

import (
	"io"
	"os"
	"os/exec"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// busyVariable is set in the environment of processes that only use processor time.
const busyVariable = "CHESTNUT_SOAK_BUSY"

// spin uses one processor until standard input ends, as it does when the test's process is gone.
func spin() {
	go func() {
		for turns := new(atomic.Uint64); ; turns.Add(1) {
			continue
		}
	}()
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startBusy starts processes that compete with the VMs for the processors until the test ends.
func startBusy(t *testing.T, count int) {
	for range count {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), busyVariable+"=1")
		input, err := cmd.StdinPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		t.Cleanup(func() {
			_ = input.Close()
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
	}
}
