// Command cases shows faults of siskinrouter: it starts the real program as separate processes on loopback
// addresses, with stand-ins of the platform, the servers and the clients, and checks one rule of the users' pages.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxRunTime bounds a case; the users allow 120 s.
const maxRunTime = 90 * time.Second

// exit statuses
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// cases maps the names of the cases to their functions. trouble is false for the run without the disruption.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){}

func main() {
	dir := flag.String("dir", ".", "folder of record.txt")
	program := flag.String("program", "target/siskinrouter", "the program under test")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *dir, *program))
}

func runCase(name, dir, program string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q does not exist\n", name)
		return couldNot
	}
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{file: file, start: time.Now()}
	rec.add("case %s, trouble %t", name, trouble)
	d, err := newDeployment(rec, program)
	if err != nil {
		rec.add("could not run: %v", err)
		return couldNot
	}
	abort := func(reason string) {
		rec.add("could not run: %s", reason)
		d.stop()
		os.Exit(couldNot)
	}
	timeout := time.AfterFunc(maxRunTime, func() { abort("not finished in " + maxRunTime.String()) })
	defer timeout.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { abort((<-signals).String()) }()
	defer d.stop()
	if err := d.start(); err != nil {
		rec.add("could not run: %v", err)
		return couldNot
	}
	broken, err := run(d, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		return couldNot
	case broken:
		rec.add("result: the rule was broken")
		return ruleBroken
	}
	rec.add("result: the rule held")
	return ruleHeld
}

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}
