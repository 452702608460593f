package test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/template"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// world is the environment of a scenario. Scripts have its addresses in the
// variables $KV, $VMS, $WEIGHTS, $ENGINE1..., $SERVICE1..., $ENTRY1...,
// $OPS1..., $PLANNER1...
type world struct {
	Entries, Planners, Engines, Services []address
	KV, VMs, Weights                     address
	Options                              options
}

// address is the name, the failure domain and the addresses of one process.
type address struct {
	Name   string
	Domain string
	Listen string
	Ops    string
	Peers  string
}

// Opt returns an option of the world command. It is for templates.
func (w *world) Opt(name, fallback string) string { return w.Options.get(name, fallback) }

func newAddress(name string, number int) address {
	at := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	return address{Name: name, Domain: string(rune('a' + number%3)), Listen: at(), Ops: at(), Peers: at()}
}

func (w *world) newAddresses(name string, fallback string) []address {
	n, _ := strconv.Atoi(w.Opt(name, fallback))
	var all []address
	for i := range n {
		singular := map[string]string{"entries": "entry", "engines": "engine", "services": "service"}[name]
		all = append(all, newAddress(singular+strconv.Itoa(i+1), i))
	}
	return all
}

// plannersConfigured is the number of planners for which a configuration file is
// written, so that a scenario can start more planners later.
const plannersConfigured = 3

// cmdWorld: world [entries=2] [engines=2] [services=2] [planners=1] [resident=no] [fencing=enforced] [...]
// writes the configuration files, starts the stand-ins, applies the document, and
// starts the planners and the entry VMs without waiting until they are ready.
func cmdWorld(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	w := &world{Options: parseOptions(args), KV: newAddress("kv", 0), VMs: newAddress("vms", 0), Weights: newAddress("weights", 0)}
	w.Entries = w.newAddresses("entries", "2")
	for i := range plannersConfigured {
		w.Planners = append(w.Planners, newAddress("planner"+strconv.Itoa(i+1), i))
	}
	w.Engines = w.newAddresses("engines", "2")
	w.Services = w.newAddresses("services", "2")
	started, err := strconv.Atoi(w.Opt("planners", "1"))
	ts.Check(err)
	w.setVariables(ts)
	ts.Check(w.writeFiles(s.env.WorkDir))
	ts.Check(s.start("standins", "chestnut-standin", "--config", filepath.Join(s.env.WorkDir, "standins.yaml")))
	ready := []string{"http://" + w.KV.Listen + "/standin/records"}
	cmdReady(ts, false, ready)
	ts.Check(applyDocument(w.KV.Listen, filepath.Join(s.env.WorkDir, "document.yaml")))
	for _, p := range w.Planners[:started] {
		ts.Check(s.start(p.Name, "chestnut-planner", "--config", filepath.Join(s.env.WorkDir, p.Name+".yaml")))
	}
	for _, e := range w.Entries {
		ts.Check(s.start(e.Name, "chestnut-entry", "--config", filepath.Join(s.env.WorkDir, e.Name+".yaml")))
	}
}

// setVariables sets the script's variables for the addresses.
func (w *world) setVariables(ts *testscript.TestScript) {
	set := func(name, listen string) {
		ts.Setenv(name, "http://"+listen)
		ts.Setenv(name+"_ADDRESS", listen)
	}
	set("KV", w.KV.Listen)
	set("VMS", w.VMs.Listen)
	set("WEIGHTS", w.Weights.Listen)
	for _, all := range [][]address{w.Entries, w.Engines, w.Services, w.Planners} {
		for _, a := range all {
			set(strings.ToUpper(a.Name), a.Listen)
		}
	}
	ts.Setenv("ENTRIES", urls(w.Entries))
	ts.Setenv("ENGINES", urls(w.Engines))
	ts.Setenv("SERVICES", urls(w.Services))
	for i, e := range w.Entries {
		set("OPS"+strconv.Itoa(i+1), e.Ops)
	}
}

// urls returns the URLs of addresses, separated by commas, for command lines.
func urls(all []address) string {
	var list []string
	for _, a := range all {
		list = append(list, "http://"+a.Listen)
	}
	return strings.Join(list, ",")
}

var templateFunctions = template.FuncMap{"digest": configstate.DigestKey}

// writeFiles executes the templates of testdata and writes the results to dir.
func (w *world) writeFiles(dir string) error {
	files := map[string]any{"standins.yaml": w, "document.yaml": w, "workload.yaml": w}
	for name := range files {
		if err := fillTemplate(name, filepath.Join(dir, name), w); err != nil {
			return err
		}
	}
	for name, all := range map[string][]address{"entry.yaml": w.Entries, "planner.yaml": w.Planners} {
		for _, self := range all {
			in := struct {
				*world
				Self address
			}{w, self}
			if err := fillTemplate(name, filepath.Join(dir, self.Name+".yaml"), in); err != nil {
				return err
			}
		}
	}
	return nil
}

func fillTemplate(name, path string, data any) error {
	t, err := template.New(name).Funcs(templateFunctions).ParseFiles(filepath.Join("testdata", name))
	if err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := t.Execute(file, data); err != nil {
		return err
	}
	return file.Close()
}

// applyDocument applies a document as the next version after the one in force.
func applyDocument(kvAddress, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	store, err := kv.NewHTTP(kv.Options{URLs: []string{"http://" + kvAddress}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	writer := &configsync.Writer{Store: store, Environment: "trial"}
	base, err := writer.Current(ctx)
	if err != nil {
		return err
	}
	version := int64(0)
	if base != nil {
		version = base.Version
	}
	_, err = writer.Apply(ctx, configsync.Change{ID: fmt.Sprint("scenario-", version+1), Author: "scenario"}, version, string(text))
	return err
}

// cmdApply: apply FILE
func cmdApply(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: apply FILE")
	}
	err := applyDocument(strings.TrimPrefix(ts.Getenv("KV"), "http://"), ts.MkAbs(args[0]))
	if (err != nil) != neg {
		ts.Fatalf("apply: unexpected result: %v", err)
	}
}
