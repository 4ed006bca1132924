// Command standins-2 drives the cases 6 to 8 of the review: it starts the project's programs with the command of the
// deploy file, plays clients, endpoints and the platform on loopback addresses, writes a record and judges one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	maxLength = 115 * time.Second
)

// run is one run of a case.
type run struct {
	trouble bool   // whether the disruption is played
	dir     string // temporary folder
	began   time.Time

	mu     sync.Mutex
	record *os.File
	ends   []func() // end the processes that were started
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// onEnd registers a function that ends processes.
func (r *run) onEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

// exit ends all processes and this one.
func (r *run) exit(code int, why string) {
	r.note("%s", why)
	r.mu.Lock()
	for _, f := range r.ends {
		f()
	}
	_ = r.record.Close()
	fmt.Println(why)
	os.Exit(code)
}

var errUsage = errors.New("usage: standins-2 CASE RECORD FOLDER")

// deployCommand is the command that the deploy file names, run as the platform runs it.
var deployCommand = []string{"/bin/sh", "-c", "exec bin/larkreach"}

// cases are the cases by number. A case returns the sentences that tell how the rule was broken.
var cases = map[string]func(*run) ([]string, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(couldNot)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: os.Args[3], began: time.Now(), record: record}
	r.note("case %s, trouble %v", os.Args[1], r.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
			r.exit(couldNot, "could not run: stopped by a signal")
		case <-time.After(maxLength):
			r.exit(couldNot, "could not run: out of time")
		}
	}()
	faults, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.exit(couldNot, "could not run: "+err.Error())
	case len(faults) > 0:
		for _, f := range faults {
			r.note("BROKEN %s", f)
		}
		r.exit(broken, fmt.Sprintf("rule broken: %d findings, the first: %s", len(faults), faults[0]))
	}
	r.exit(held, "rule held")
}
