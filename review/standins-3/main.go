// Command standins-3 plays the cases 9 and 10 of the review: it starts the program as the deploy file does, with small stand-ins for clients, partner systems and the platform, and exits with 1 if the rule was broken,
// with 0 if it held, and with 2 if the case could not run.
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mulleinbeam/internal/lab"
)

const (
	held     = 0
	broken   = 1
	notRun   = 2
	mebibyte = 1 << 20
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(*run) (int, error){
	"9":  drainedKeeper,
	"10": pipelineMemory,
}

// classes are the classes of the deployment as its pages describe them. Times are in microseconds.
var classes = []lab.Class{
	{Name: "record-extract", Effect: "keyed", Target: 4e6, GiveUp: 28e6, KeyTTL: 15e6},
	{Name: "fee-charge", Effect: "unsafe", Target: 3e6, GiveUp: 28e6},
	{Name: "station-reading", Effect: "safe", Target: 8e5, GiveUp: 6e6},
}

// run is one play of a case.
type run struct {
	trouble bool // with the disruption
	folder  string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	ends   []func() // end the processes that were started
}

// maxLength bounds a play; the slower of the cases takes 35 s.
const maxLength = 110 * time.Second

// endPause is how long killed processes have to be gone before their folders are removed.
const endPause = 300 * time.Millisecond

// onEnd registers a function that ends a process.
func (r *run) onEnd(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, end)
}

// endAll ends all processes that were started.
func (r *run) endAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, end := range r.ends {
		end()
	}
	time.Sleep(endPause)
}

// watch ends the play, with all its processes, at a signal and when it takes too long.
func (r *run) watch() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxLength):
		}
		r.say("the case could not run: stopped by a signal or out of time")
		r.endAll()
		_ = os.RemoveAll(r.folder)
		os.Exit(notRun)
	}()
}

// note writes a line to the record, with the time since the start.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
}

// say writes a line to the record and to standard output.
func (r *run) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.note(format, args...)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins-3 9|10 RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordFile string) int {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if r.record, err = os.Create(recordFile); err != nil {
		fmt.Println(err)
		return notRun
	}
	defer r.record.Close()
	if r.folder, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Println(err)
		return notRun
	}
	defer os.RemoveAll(r.folder)
	defer r.endAll()
	r.watch()
	lab.Classes = classes
	code, err := cases[name](r)
	if err != nil {
		r.say("the case could not run: %v", err)
		return notRun
	}
	r.say("case %s, trouble %v: %s", name, r.trouble, map[int]string{held: "the rule held", broken: "the rule was broken"}[code])
	return code
}

// site is one forwarder with its partner systems and its agent.
type site struct {
	*lab.Forwarder
	agent    *lab.Agent
	partners []*lab.Endpoint
}

// destinations is the number of partner systems of a site, each with one endpoint.
const destinations = 4

// openSite starts a forwarder by the line "run" of the deploy file, with figures like those of a small deployment.
func (r *run) openSite() (*site, error) {
	s := &site{agent: &lab.Agent{}}
	for i := range destinations {
		name := fmt.Sprintf("s-%d", i+1)
		s.partners = append(s.partners, &lab.Endpoint{Name: name, Group: i + 1, Zone: "budova-a", Weight: 20, Handle: func(c *lab.Call) bool {
			if c.ReadAll(0) != nil {
				return false
			}
			time.Sleep(60 * time.Millisecond)
			r.note("partner %s ran %s, %d bytes", name, c.ID, c.Bytes())
			return c.Answer(200, "") == nil
		}})
		if err := s.partners[i].Listen(); err != nil {
			return nil, err
		}
	}
	s.agent.Told = func(n lab.Notice) { r.note("notice %s %s", n.Message, n.Outcome) }
	if err := s.agent.Listen(s.partners...); err != nil {
		return nil, err
	}
	s.Forwarder = &lab.Forwarder{
		Command: []string{"/bin/sh", "-c", "exec bin/larkreach"}, Name: "n1", Host: host(0), Sockets: 1024, MemoryMB: 192, DiskMB: 3, Slots: 10, Cores: 1,
	}
	dir := filepath.Join(r.folder, "n1")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if err := s.Prepare(dir, s.agent); err != nil {
		return nil, err
	}
	r.onEnd(s.Kill)
	if err := s.Start(); err != nil {
		return nil, err
	}
	r.note("forwarder started, process %d, listens on %s", s.Pid(), s.Address())
	return s, nil
}

// close ends the forwarder and the stand-ins.
func (s *site) close() {
	s.Kill()
	_ = s.Wait()
	s.agent.Close()
	for _, p := range s.partners {
		p.Close()
	}
}

// body is what messages hold, as far as their size goes.
var body = bytes.Repeat([]byte("b"), 64<<10)

// request returns the text of a request that submits one message.
func request(id, class string, destination, timeoutMs, size int) []byte {
	head := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n"+
		"X-Addressing: dest=%d\r\nContent-Length: %d\r\n\r\n", id, class, timeoutMs, destination, size)
	return append(append(make([]byte, 0, len(head)+size), head...), body[:size]...)
}
