//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// destinationNumber is the destination of all messages.
const destinationNumber = 7

// options describe a site.
type options struct {
	names     []string          // of the members
	zones     []string          // zone of each member
	founders  int               // the first members vote
	copies    int               // of each message
	delay     time.Duration     // one way between two zones
	effects   map[string]string // effect by class, where another than the site file's is wanted
	alone     []string
	callsOut  int
	extra     string // further lines of [cluster]
	tables    string // further tables of the settings file
	noCluster bool
	endpoints int
}

// site is a small deployment: members with their agents, and one destination with its endpoints.
type site struct {
	options
	rec       *record
	dir       string
	members   []*member
	endpoints []*endpoint
	proxies   map[[2]int]*proxy
	mu        sync.Mutex
}

// member is one forwarder process.
type member struct {
	site    *site
	index   int
	name    string
	zone    string
	listen  string
	links   string
	dir     string
	agent   *agent
	cmd     *exec.Cmd
	exited  chan struct{}
	running bool
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// open prepares a site; no forwarder runs yet.
func open(rec *record, o options) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{options: o, rec: rec, dir: dir, proxies: map[[2]int]*proxy{}}
	running.Store(s)
	for i := range max(1, o.endpoints) {
		p, err := openEndpoint(s, fmt.Sprintf("p%d", i), len(o.zones))
		if err != nil {
			return nil, err
		}
		s.endpoints = append(s.endpoints, p)
	}
	host := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%250, i+1) }
	for i, zone := range o.zones {
		m := &member{site: s, index: i, name: o.names[i], zone: zone, dir: filepath.Join(dir, o.names[i])}
		if err := os.MkdirAll(filepath.Join(m.dir, "state"), 0o700); err != nil {
			return nil, err
		}
		if m.listen, err = freeAddress(host(i)); err != nil {
			return nil, err
		}
		for m.links == "" || m.links == m.listen {
			if m.links, err = freeAddress(host(i)); err != nil {
				return nil, err
			}
		}
		if m.agent, err = openAgent(s, i); err != nil {
			return nil, err
		}
		s.members = append(s.members, m)
	}
	for i, from := range s.members {
		for j, to := range s.members {
			if i == j || o.noCluster {
				continue
			}
			delay := time.Duration(0)
			if from.zone != to.zone {
				delay = o.delay
			}
			p, err := openProxy(to.links, delay)
			if err != nil {
				return nil, err
			}
			s.proxies[[2]int{i, j}] = p
		}
	}
	return s, nil
}

// configuration returns the platform's configuration of a member, with the figures of the example in the wire page.
func (m *member) configuration() map[string]any {
	s := m.site
	effect := func(class, usual string) string {
		if e := s.effects[class]; e != "" {
			return e
		}
		return usual
	}
	service := func(name, kind string, credit float64, target, giveUp, ttl int, late float64) map[string]any {
		return map[string]any{
			"name": name, "effect": effect(name, kind), "credit": credit, "target": target, "give-up": giveUp, "key-ttl": ttl,
			"late-worth": late, "group": "all", "streaming": false,
		}
	}
	callsOut := s.callsOut
	if callsOut == 0 {
		callsOut = 10
	}
	return map[string]any{
		"name": m.name, "listen": m.listen, "discovery": m.agent.address(), "seed": fmt.Sprintf("8c1f30d27a5be9%02x", m.index),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 200},
		"known":  m.agent.listed(),
		"settings": map[string]any{
			"azs": []string{"budova-a", "budova-b"}, "balancers": len(s.zones), "clients": map[string]any{"marks-retry": false},
			"family": "deliver", "family-info": map[string]any{
				"batch-by-kind": []int{1, 1}, "calls-out": callsOut, "fades": "even", "refusal-cost": 0.05, "separate-routes": []bool{false, false},
				"toll": []float64{0, 0},
			},
			"kinds": []string{"grand-partenaire", "petit-partenaire"},
			"limits": map[string]any{
				"cancel": true, "connect-timeout": 1000000, "keepalive": 10000000, "max-attempts": 6, "max-retry-after": 3000000, "may-probe": false,
				"most-held": 248, "peers": false, "retry-after": false, "second-copies": false, "streams-per-conn": 1,
			},
			"me": m.index, "registry-mode": "automatic", "weight-source": "rough", "worth-by": "request", "zone": m.zone,
			"rules": map[string]any{
				"answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.3, "drain-grace": 2000000, "overload-factor": 1.5,
				"tip-after": 1500000, "warm-within": 14000000,
			},
			"services": []any{
				service("record-extract", "keyed", 1, 4000000, 28000000, 15000000, 0.4),
				service("station-reading", "safe", 2, 800000, 6000000, 5000000, 0.1),
				service("fee-charge", "unsafe", 5, 3000000, 28000000, 5000000, 0.4),
			},
		},
	}
}

// settingsFile returns the program's own settings as TOML.
func (m *member) settingsFile() string {
	s := m.site
	if s.noCluster {
		return s.tables
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n[cluster]\nlisten = %q\nzone = %q\nregion = \"r1\"\ncopies = %d\nfounders = [", s.tables, m.links, m.zone, s.copies)
	for _, v := range s.members[:s.founders] {
		fmt.Fprintf(&b, "\"%s@%s\", ", v.name, v.links)
	}
	fmt.Fprint(&b, "]\nalone = [")
	for _, class := range s.alone {
		fmt.Fprintf(&b, "%q, ", class)
	}
	fmt.Fprintf(&b, "]\n%s\n[cluster.via]\n", s.extra)
	for j, to := range s.members {
		if p := s.proxies[[2]int{m.index, j}]; p != nil {
			fmt.Fprintf(&b, "%q = %q\n", to.links, p.address())
		}
	}
	return b.String()
}

// start starts a member by the command of the deploy file and waits until it is ready.
func (m *member) start() error {
	raw, err := json.Marshal(m.configuration())
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(m.dir, "config.json"), raw, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(m.dir, "larkreach.toml"), []byte(m.settingsFile()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("/bin/sh", "-c", "exec bin/larkreach")
	m.cmd.Env = append(os.Environ(), "ROUTER_NAME="+m.name, "ROUTER_LISTEN="+m.listen, "ROUTER_DISCOVERY="+m.agent.address(),
		"ROUTER_STATE="+filepath.Join(m.dir, "state"), "ROUTER_CONFIG="+filepath.Join(m.dir, "config.json"),
		"LARKREACH_CONFIG="+filepath.Join(m.dir, "larkreach.toml"))
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) { _ = cmd.Wait(); close(exited) }(m.cmd, m.exited)
	m.site.mu.Lock()
	m.running = true
	m.site.mu.Unlock()
	m.site.rec.note("%s: started, pid %d", m.name, m.cmd.Process.Pid)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if status, _, err := roundTrip(m.listen, "GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n", time.Second); err == nil && status == 200 {
			m.site.rec.note("%s: ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// signal sends a signal to the member's process.
func (m *member) signal(sig syscall.Signal) {
	m.site.rec.note("%s: %v", m.name, sig)
	_ = m.cmd.Process.Signal(sig)
}

// kill ends the member's process with SIGKILL.
func (m *member) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
	m.site.mu.Lock()
	m.running = false
	m.site.mu.Unlock()
}

// query runs an operator's command at a member and decodes its answer.
func (m *member) query(out any, command ...string) error {
	raw, err := exec.Command("bin/larkreach", append(command, "--json", "--at", m.links)...).Output()
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// memberState is a member as "cluster members" shows it.
type memberState struct {
	Life    uint64
	Alive   bool
	Keepers []string
}

// life is a takeover as "cluster lives" shows it.
type life struct {
	Life, Taker struct {
		Name   string
		Number uint64
	}
	Keepers []string
	Done    bool
}

// awaitKeepers waits until so many members have as many in-sync replicas as they should, and returns them by member.
func (s *site) awaitKeepers(members int) (map[string]memberState, error) {
	for until := time.Now().Add(35 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		var all map[string]memberState
		if s.members[0].query(&all, "cluster", "members") != nil || len(all) < members {
			continue
		}
		complete := true
		for _, m := range all {
			complete = complete && m.Alive && len(m.Keepers) >= s.copies-1
		}
		if complete {
			return all, nil
		}
	}
	return nil, fmt.Errorf("the members have no replicas")
}

// named returns a member by its name.
func (s *site) named(name string) *member {
	for _, m := range s.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// startAll starts the voters, and then the other members.
func (s *site) startAll() error {
	errs := make(chan error, len(s.members))
	var first error
	for _, list := range [][]*member{s.members[:s.founders], s.members[s.founders:]} {
		for _, m := range list {
			go func() { errs <- m.start() }()
		}
		for range list {
			if err := <-errs; err != nil && first == nil {
				first = err
			}
		}
		if len(list) == 0 || s.noCluster || first != nil {
			continue
		}
		if _, err := s.awaitKeepers(s.founders); err != nil {
			return err
		}
	}
	return first
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, m := range s.members {
		s.mu.Lock()
		runs := m.running
		m.running = false
		s.mu.Unlock()
		if runs {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
		m.agent.close()
	}
	for _, p := range s.proxies {
		p.close()
	}
	for _, p := range s.endpoints {
		p.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
