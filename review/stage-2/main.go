package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// cases maps the names of the scripts to what they play. trouble is false with TROUBLE=0.
var cases = map[string]func(r *record, root string, trouble bool) (brokenRule bool, err error){
	"lost-at-sigterm": lostAtSIGTERM,
	"open-at-sigterm": openAtSIGTERM,
	"sync-lost":       syncLost,
	"returned-owner":  returnedOwner,
}

func main() { os.Exit(play()) }

func play() int {
	defer endProcesses()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		endProcesses()
		os.Exit(cantRun)
	}()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-2 CASE FOLDER, in the repository")
		return cantRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	brokenRule, err := cases[os.Args[1]](r, root, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return cantRun
	case brokenRule:
		r.line("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	r.line("the rule held")
	fmt.Println("held")
	return held
}

// errNotEnough means that the case did not reach what it is about.
var errNotEnough = errors.New("too few clients were served")
