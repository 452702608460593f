// Command kit2 plays the cases of the second review. It starts the programs under review as separate processes before
// stand-ins of the platform's store, its replicas and its consumers, all on loopback.
//
//	kit2 CASE FOLDER
//
// It writes record.txt into the case's folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in its environment, it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*world) (int, error){
	"descriptors": playDescriptors,
	"crash":       playCrash,
	"slowreader":  playSlowReader,
	"forged":      playForged,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE FOLDER")
		os.Exit(failed)
	}
	status, err := play(cases[os.Args[1]], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(status)
}

func play(run func(*world) (int, error), folder string) (int, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return failed, err
	}
	defer record.Close()
	w, err := newWorld(record)
	if err != nil {
		return failed, err
	}
	defer w.close()
	status, err := run(w)
	if err != nil {
		w.note("could not run: %v", err)
		return failed, err
	}
	w.note("verdict: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[status])
	return status, nil
}
