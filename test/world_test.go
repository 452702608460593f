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

// world is the environment of a scenario. Its addresses are the variables
// $KV, $VMS, $WEIGHTS, $ENGINE1..., $SERVICE1..., $ENTRY1..., $OPS1...,
// $PLANNER1... of the script.
type world struct {
	Entries, Planners, Engines, Services []address
	KV, VMs, Weights                     address
	Options                              options
}

// address is one process's name and ports.
type address struct {
	Name   string
	Domain string
	Listen string
	Ops    string
	Peers  string
}

// Opt is an option of the world command, for templates.
func (w *world) Opt(name, otherwise string) string { return w.Options.get(name, otherwise) }

func newAddress(name string, number int) address {
	at := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	return address{Name: name, Domain: string(rune('a' + number%3)), Listen: at(), Ops: at(), Peers: at()}
}

func (w *world) list(name string, otherwise string) []address {
	n, _ := strconv.Atoi(w.Opt(name, otherwise))
	var all []address
	for i := range n {
		one := map[string]string{"entries": "entry", "engines": "engine", "services": "service"}[name]
		all = append(all, newAddress(one+strconv.Itoa(i+1), i))
	}
	return all
}

// plannersConfigured is the number of planners that have a configuration file,
// so that a scenario can start more of them later.
const plannersConfigured = 3

// cmdWorld: world [entries=2] [engines=2] [services=2] [planners=1] [resident=no] [fencing=enforced] [...]
// writes the configuration files, starts the stand-ins and the planners,
// applies the document, and starts the entry VMs without waiting for them.
func cmdWorld(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	w := &world{Options: parse(args), KV: newAddress("kv", 0), VMs: newAddress("vms", 0), Weights: newAddress("weights", 0)}
	w.Entries = w.list("entries", "2")
	for i := range plannersConfigured {
		w.Planners = append(w.Planners, newAddress("planner"+strconv.Itoa(i+1), i))
	}
	w.Engines = w.list("engines", "2")
	w.Services = w.list("services", "2")
	started, err := strconv.Atoi(w.Opt("planners", "1"))
	ts.Check(err)
	w.export(ts)
	ts.Check(w.write(s.env.WorkDir))
	ts.Check(s.start("standins", "chestnut-standin", "--config", filepath.Join(s.env.WorkDir, "standins.yaml")))
	ready := []string{"http://" + w.KV.Listen + "/standin/records"}
	cmdReady(ts, false, ready)
	ts.Check(apply(w.KV.Listen, filepath.Join(s.env.WorkDir, "document.yaml")))
	for _, p := range w.Planners[:started] {
		ts.Check(s.start(p.Name, "chestnut-planner", "--config", filepath.Join(s.env.WorkDir, p.Name+".yaml")))
	}
	for _, e := range w.Entries {
		ts.Check(s.start(e.Name, "chestnut-entry", "--config", filepath.Join(s.env.WorkDir, e.Name+".yaml")))
	}
}

func (w *world) export(ts *testscript.TestScript) {
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

// urls joins addresses as a command line takes them.
func urls(all []address) string {
	var list []string
	for _, a := range all {
		list = append(list, "http://"+a.Listen)
	}
	return strings.Join(list, ",")
}

var functions = template.FuncMap{"digest": configstate.DigestKey}

// write fills the templates of testdata.
func (w *world) write(dir string) error {
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
	t, err := template.New(name).Funcs(functions).ParseFiles(filepath.Join("testdata", name))
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

// apply accepts a document on top of the one in force.
func apply(service, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	store, err := kv.NewHTTP(kv.Options{URLs: []string{"http://" + service}})
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
	err := apply(strings.TrimPrefix(ts.Getenv("KV"), "http://"), ts.MkAbs(args[0]))
	if (err != nil) != neg {
		ts.Fatalf("apply: %v", err)
	}
}
