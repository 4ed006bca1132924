//go:build review

// Command standins plays the cases of this folder: it has the clients, the endpoints, the platform and the links between
// forwarders, and starts the forwarders themselves as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// cases are the cases by their number. A case returns what broke the rule, one line each.
var cases = map[string]func(rec *record, trouble bool) (broken []string, err error){}

// running is the site of the case that runs.
var running atomic.Pointer[site]

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %v", os.Args[1], trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(110 * time.Second):
		}
		rec.note("the case takes too long, or was ended")
		if s := running.Load(); s != nil {
			s.close()
		}
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](rec, trouble)
	for _, b := range broken {
		rec.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
	rec.note("the rule held")
	fmt.Println("held")
}
