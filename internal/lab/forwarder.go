package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// Class is a message class in the platform's configuration. Its times are in microseconds, as in the configuration.
type Class struct {
	Name, Effect           string
	Target, GiveUp, KeyTTL int64
}

// Classes are the message classes of the laboratory's runs.
var Classes = []Class{
	{"keyed", "keyed", 4e6, 20e6, 15e6}, {"safe", "safe", 8e5, 20e6, 0}, {"unsafe", "unsafe", 3e6, 20e6, 0},
}

// Forwarder runs the real program as a process, with its configuration and state folder.
type Forwarder struct {
	Command  []string // the program and its arguments
	Env      []string // in addition to the platform's variables
	Settings string   // the program's own settings, as TOML; "" for none
	Sockets  int
	MemoryMB int
	Cores    float64
	Slots    int
	Name     string                             // "" for lab
	Host     string                             // loopback address on which it accepts messages; "" for 127.0.0.1
	Amend    func(configuration map[string]any) // changes the platform's configuration each time it is written
	DiskMB   float64                            // 0 for 3
	// Attach, if set, is called with the command before each start and returns a function to call after the start.
	Attach func(*exec.Cmd) (started func() error, err error)

	dir, listen string
	agent       *Agent
	cmd         *exec.Cmd
	exited      chan error
	mu          sync.Mutex
	log         []string
	logChanged  chan struct{} // closed with each line, and when the process has exited
	hasExited   bool
	nextLine    int    // index of the first line that Sees has not examined
	trigger     string // text of the line for which OnLine calls onTrigger
	onTrigger   func()
	readMu      sync.Mutex // held while reading of the log is paused
	readPaused  bool
}

// PauseLog stops reading the program's log until ResumeLog, Wait or the next start. It must be called by the
// goroutine that starts the program.
func (f *Forwarder) PauseLog() {
	if !f.readPaused {
		f.readPaused = true
		f.readMu.Lock()
	}
}

// ResumeLog continues reading the program's log.
func (f *Forwarder) ResumeLog() {
	if f.readPaused {
		f.readPaused = false
		f.readMu.Unlock()
	}
}

// Prepare creates the state folder in dir, which must exist, picks a free port and sets the defaults.
func (f *Forwarder) Prepare(dir string, agent *Agent) error {
	if f.Host == "" {
		f.Host = "127.0.0.1"
	}
	l, err := net.Listen("tcp", f.Host+":0")
	if err != nil {
		return err
	}
	f.dir, f.listen, f.agent = dir, l.Addr().String(), agent
	if f.Sockets == 0 {
		f.Sockets = 512
	}
	if f.MemoryMB == 0 {
		f.MemoryMB = 192
	}
	if f.Cores == 0 {
		f.Cores = 1
	}
	if f.Slots == 0 {
		f.Slots = 8
	}
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		return err
	}
	return l.Close()
}

// Address returns the address on which the program accepts messages.
func (f *Forwarder) Address() string { return f.listen }

// configuration returns the platform's configuration of the program.
func (f *Forwarder) configuration() map[string]any {
	services := []any{}
	for _, c := range Classes {
		services = append(services, map[string]any{
			"name": c.Name, "effect": c.Effect, "target": c.Target, "give-up": c.GiveUp, "key-ttl": c.KeyTTL, "group": "all",
			"credit": 1, "late-worth": 0.4,
		})
	}
	name, disk := f.Name, f.DiskMB
	if name == "" {
		name = "lab"
	}
	if disk == 0 {
		disk = 3
	}
	out := map[string]any{
		"name": name, "listen": f.listen, "discovery": f.agent.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets, "disk_mb": disk},
		"known":  f.agent.Listed(),
		"settings": map[string]any{
			"balancers": 1, "weight-source": "nominal", "azs": []string{"z"}, "kinds": []string{"k"}, "services": services,
			"family-info": map[string]any{"calls-out": f.Slots, "fades": "even"},
			"limits": map[string]any{
				"cancel": true, "connect-timeout": 1000000, "keepalive": 10000000, "max-attempts": 6,
				"max-retry-after": 3000000, "most-held": 200,
			},
			"rules": map[string]any{"answer-slack": 20000, "drain-grace": 2000000},
		},
	}
	if f.Amend != nil {
		f.Amend(out)
	}
	return out
}

// OnLine calls action once, at the next line of the log that contains text; action must not block.
func (f *Forwarder) OnLine(text string, action func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trigger, f.onTrigger = text, action
}

// Reconfigure rewrites the program's files with another agent as its discovery; a reload applies them.
func (f *Forwarder) Reconfigure(agent *Agent) error {
	f.agent = agent
	return f.writeFiles()
}

// writeFiles writes the configuration and, if there are any, the settings.
func (f *Forwarder) writeFiles() error {
	raw, err := json.Marshal(f.configuration())
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.dir, "config.json"), raw, 0o600); err != nil || f.Settings == "" {
		return err
	}
	return os.WriteFile(filepath.Join(f.dir, "larkreach.toml"), []byte(f.Settings), 0o600)
}

// Start starts or restarts the program in its folder and waits until it is ready.
func (f *Forwarder) Start() error {
	f.ResumeLog()
	if err := f.writeFiles(); err != nil {
		return err
	}
	f.cmd = exec.Command(f.Command[0], f.Command[1:]...)
	f.cmd.Env = f.Environment()
	pipe, err := f.cmd.StderrPipe()
	if err != nil {
		return err
	}
	started := func() error { return nil }
	if f.Attach != nil {
		if started, err = f.Attach(f.cmd); err != nil {
			return err
		}
	}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	if err := started(); err != nil {
		return err
	}
	f.mu.Lock()
	f.log, f.nextLine, f.logChanged, f.hasExited = nil, 0, make(chan struct{}), false
	f.mu.Unlock()
	exited := make(chan error, 1)
	f.exited = exited
	go func() {
		_ = Lines(pipe, func(text string) {
			f.readMu.Lock()
			defer f.readMu.Unlock()
			for _, line := range Human(text) {
				f.appendLog(line, false)
			}
		})
		err := f.cmd.Wait()
		f.appendLog("", true)
		exited <- err
	}()
	if _, ok := f.Sees("ready listen="); !ok {
		return fmt.Errorf("lab: the program did not start:\n%s", f.Log())
	}
	return nil
}

// Environment returns the environment of the program.
func (f *Forwarder) Environment() []string {
	env := append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(f.dir, "config.json"), "ROUTER_STATE="+filepath.Join(f.dir, "state"),
		"ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=")
	if f.Settings != "" {
		env = append(env, "LARKREACH_CONFIG="+filepath.Join(f.dir, "larkreach.toml"))
	}
	return append(env, f.Env...)
}

// appendLog appends a line to the log or, if exited is set, records the exit of the process.
func (f *Forwarder) appendLog(line string, exited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasExited = exited; !exited {
		f.log = append(f.log, line)
		if f.onTrigger != nil && strings.Contains(line, f.trigger) {
			f.onTrigger()
			f.onTrigger = nil
		}
	}
	close(f.logChanged)
	f.logChanged = make(chan struct{})
}

// Log returns what the program has logged since its start.
func (f *Forwarder) Log() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.log, "\n")
}

// Sees waits for a line that contains text, after the lines examined before; it returns false if the program exits
// first.
func (f *Forwarder) Sees(text string) (string, bool) {
	return f.awaitLine(func(line string) bool { return strings.Contains(line, text) })
}

// awaitLine waits for a line that satisfies a predicate, as Sees does.
func (f *Forwarder) awaitLine(matches func(line string) bool) (string, bool) {
	for {
		f.mu.Lock()
		for f.nextLine < len(f.log) {
			line := f.log[f.nextLine]
			f.nextLine++
			if matches(line) {
				f.mu.Unlock()
				return line, true
			}
		}
		hasExited, logChanged := f.hasExited, f.logChanged
		f.mu.Unlock()
		if hasExited {
			return "", false
		}
		<-logChanged
	}
}

// Counters requests the counters by SIGUSR1 and returns those of one line.
func (f *Forwarder) Counters(line string) (map[string]int64, error) {
	if err := f.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return nil, err
	}
	// A prefix, since other lines may contain the text: "again:" contains "in:".
	text, ok := f.awaitLine(func(text string) bool { return strings.HasPrefix(text, line+":") })
	if !ok {
		return nil, fmt.Errorf("lab: the program exited before it logged the counters of %s", line)
	}
	out := map[string]int64{}
	for pair := range strings.FieldsSeq(text) {
		key, value, _ := strings.Cut(pair, "=")
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			out[key] = n
		}
	}
	return out, nil
}

// Counter returns one counter, given by its line and its key.
func (f *Forwarder) Counter(line, key string) (int64, error) {
	all, err := f.Counters(line)
	if err != nil {
		return 0, err
	}
	n, ok := all[key]
	if !ok {
		return 0, fmt.Errorf("lab: no counter %s in %v", key, all)
	}
	return n, nil
}

// AwaitCounter polls a counter until it has a value.
func (f *Forwarder) AwaitCounter(line, key string, want int64) error {
	return f.awaitCounter(line, key, func(got int64) bool { return got == want })
}

// AwaitCounterOver polls a counter until it exceeds a value.
func (f *Forwarder) AwaitCounterOver(line, key string, threshold int64) error {
	return f.awaitCounter(line, key, func(got int64) bool { return got > threshold })
}

// awaitCounter polls a counter until it satisfies a predicate.
func (f *Forwarder) awaitCounter(line, key string, satisfied func(int64) bool) error {
	for {
		if got, err := f.Counter(line, key); err != nil || satisfied(got) {
			return err
		}
	}
}

// Pid returns the process ID.
func (f *Forwarder) Pid() int { return f.cmd.Process.Pid }

// Signal sends the program a signal.
func (f *Forwarder) Signal(sig syscall.Signal) error { return f.cmd.Process.Signal(sig) }

// Wait waits for the program to exit and returns its error.
func (f *Forwarder) Wait() error {
	f.ResumeLog()
	return <-f.exited
}

// End sends a signal and waits for the program to exit.
func (f *Forwarder) End(sig syscall.Signal) error {
	if err := f.Signal(sig); err != nil {
		return err
	}
	return f.Wait()
}

// Kill kills the program if it runs.
func (f *Forwarder) Kill() {
	if f.cmd != nil && f.cmd.Process != nil {
		_ = f.cmd.Process.Kill()
	}
}

// PeakMemory returns the program's peak resident memory so far, in bytes.
func (f *Forwarder) PeakMemory() (int64, error) { return ProcessPeak(f.cmd.Process.Pid) }

// CPUSeconds returns the CPU time that the program has used.
func (f *Forwarder) CPUSeconds() (float64, error) { return ProcessCPU(f.cmd.Process.Pid) }

// Memory returns the program's resident memory, in bytes.
func (f *Forwarder) Memory() (int64, error) { return processStatus(f.cmd.Process.Pid, "VmRSS:") }

// AnonymousMemory returns the program's resident memory without files, in bytes.
func (f *Forwarder) AnonymousMemory() (int64, error) {
	return processStatus(f.cmd.Process.Pid, "RssAnon:")
}

// ProcessPeak returns the peak resident memory of a process, in bytes.
func ProcessPeak(pid int) (int64, error) { return processStatus(pid, "VmHWM:") }

// processStatus returns a size from /proc/PID/status, in bytes.
func processStatus(pid int, name string) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("lab: no %s in the process status", name)
}

// ProcessCPU returns the CPU time of a process in seconds; the kernel counts it in hundredths of a second.
func ProcessCPU(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("lab: /proc/PID/stat has too few fields")
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100, err
}
