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

// Class is a message class in the platform's configuration; times are in microseconds there.
type Class struct {
	Name, Effect           string
	Target, GiveUp, KeyTTL int64
}

// Classes are those that the laboratory's runs use.
var Classes = []Class{
	{"keyed", "keyed", 4e6, 20e6, 15e6}, {"safe", "safe", 8e5, 20e6, 0}, {"unsafe", "unsafe", 3e6, 20e6, 0},
}

// Forwarder is the real program as a process, with its configuration and folder.
type Forwarder struct {
	Command  []string // the program and its arguments
	Env      []string // beside the platform's variables
	Settings string   // its own settings, as TOML; "" for none
	Sockets  int
	MemoryMB int
	Cores    float64
	Slots    int
	Name     string                             // "" is lab
	Host     string                             // a loopback address, where it takes messages; "" is 127.0.0.1
	Amend    func(configuration map[string]any) // the platform's configuration, before each start; nil leaves it
	DiskMB   float64                            // 0 is 3
	// Attach is called with each life's command before it starts, and gives what is called behind that; nil is nothing.
	Attach func(*exec.Cmd) (started func() error, err error)

	dir, listen string
	agent       *Agent
	cmd         *exec.Cmd
	exited      chan error
	mu          sync.Mutex
	log         []string
	grown       chan struct{} // closed with each line, and at the end
	ended       bool
	read        int // lines that Sees has gone through
	trigger     string
	triggered   func()
	reading     sync.Mutex // held while nobody reads the log
	unread      bool
}

// PauseLog stops reading the program's log until ResumeLog, Wait or the next start. It is called by whoever starts the program.
func (f *Forwarder) PauseLog() {
	if !f.unread {
		f.unread = true
		f.reading.Lock()
	}
}

// ResumeLog goes on reading it.
func (f *Forwarder) ResumeLog() {
	if f.unread {
		f.unread = false
		f.reading.Unlock()
	}
}

// Prepare lays the program's folder out; dir has to exist.
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

// Address is where it takes messages.
func (f *Forwarder) Address() string { return f.listen }

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

// OnLine has f called, once, with the first line of the log that holds a text; it must not wait.
func (f *Forwarder) OnLine(text string, do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trigger, f.triggered = text, do
}

// Reconfigure writes the program's files with another agent as its discovery, for a reload.
func (f *Forwarder) Reconfigure(agent *Agent) error {
	f.agent = agent
	return f.writeFiles()
}

// writeFiles writes the configuration, and the settings if there are any.
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

// Start starts the program, or starts it again in its folder, and waits until it is ready.
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
	f.log, f.read, f.grown, f.ended = nil, 0, make(chan struct{}), false
	f.mu.Unlock()
	exited := make(chan error, 1)
	f.exited = exited
	go func() {
		_ = Lines(pipe, func(text string) {
			f.reading.Lock()
			defer f.reading.Unlock()
			for _, line := range Human(text) {
				f.grow(line, false)
			}
		})
		err := f.cmd.Wait()
		f.grow("", true)
		exited <- err
	}()
	if _, ok := f.Sees("ready listen="); !ok {
		return fmt.Errorf("lab: the program did not start:\n%s", f.Log())
	}
	return nil
}

// Environment is what the program is started with.
func (f *Forwarder) Environment() []string {
	env := append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(f.dir, "config.json"), "ROUTER_STATE="+filepath.Join(f.dir, "state"),
		"ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=")
	if f.Settings != "" {
		env = append(env, "LARKREACH_CONFIG="+filepath.Join(f.dir, "larkreach.toml"))
	}
	return append(env, f.Env...)
}

func (f *Forwarder) grow(line string, end bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended = end; !end {
		f.log = append(f.log, line)
		if f.triggered != nil && strings.Contains(line, f.trigger) {
			f.triggered()
			f.triggered = nil
		}
	}
	close(f.grown)
	f.grown = make(chan struct{})
}

// Log is what the program has logged since its start.
func (f *Forwarder) Log() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.log, "\n")
}

// Sees waits for a line that holds a text, behind those seen before; false if the program ends first.
func (f *Forwarder) Sees(text string) (string, bool) {
	return f.awaitLine(func(line string) bool { return strings.Contains(line, text) })
}

// awaitLine waits for a line that is wanted, as Sees does.
func (f *Forwarder) awaitLine(wanted func(line string) bool) (string, bool) {
	for {
		f.mu.Lock()
		for f.read < len(f.log) {
			line := f.log[f.read]
			f.read++
			if wanted(line) {
				f.mu.Unlock()
				return line, true
			}
		}
		ended, grown := f.ended, f.grown
		f.mu.Unlock()
		if ended {
			return "", false
		}
		<-grown
	}
}

// Counters asks for the counters and gives those of one line.
func (f *Forwarder) Counters(line string) (map[string]int64, error) {
	if err := f.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return nil, err
	}
	text, ok := f.awaitLine(func(text string) bool { return strings.HasPrefix(text, line+":") }) // others may hold it, as "again:"
	if !ok {
		return nil, fmt.Errorf("lab: the program ended before it told %s", line)
	}
	out := map[string]int64{}
	for word := range strings.FieldsSeq(text) {
		key, value, _ := strings.Cut(word, "=")
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			out[key] = n
		}
	}
	return out, nil
}

// Counter gives one of them, named by its line and its key.
func (f *Forwarder) Counter(line, key string) (int64, error) {
	all, err := f.Counters(line)
	if err != nil {
		return 0, err
	}
	n, ok := all[key]
	if !ok {
		return 0, fmt.Errorf("lab: no %s in %v", key, all)
	}
	return n, nil
}

// AwaitCounter asks for a counter until it has a value.
func (f *Forwarder) AwaitCounter(line, key string, want int64) error {
	return f.await(line, key, func(got int64) bool { return got == want })
}

// AwaitCounterOver asks for a counter until it is above a value.
func (f *Forwarder) AwaitCounterOver(line, key string, than int64) error {
	return f.await(line, key, func(got int64) bool { return got > than })
}

func (f *Forwarder) await(line, key string, enough func(int64) bool) error {
	for {
		if got, err := f.Counter(line, key); err != nil || enough(got) {
			return err
		}
	}
}

// Pid is the process's number.
func (f *Forwarder) Pid() int { return f.cmd.Process.Pid }

// Signal sends the program a signal.
func (f *Forwarder) Signal(sig syscall.Signal) error { return f.cmd.Process.Signal(sig) }

// Wait waits for the program's end.
func (f *Forwarder) Wait() error {
	f.ResumeLog()
	return <-f.exited
}

// End sends a signal and waits for the program's end.
func (f *Forwarder) End(sig syscall.Signal) error {
	if err := f.Signal(sig); err != nil {
		return err
	}
	return f.Wait()
}

// Kill ends the program, if it runs.
func (f *Forwarder) Kill() {
	if f.cmd != nil && f.cmd.Process != nil {
		_ = f.cmd.Process.Kill()
	}
}

// PeakMemory is the program's peak resident memory so far, in bytes.
func (f *Forwarder) PeakMemory() (int64, error) { return ProcessPeak(f.cmd.Process.Pid) }

// CPUSeconds is the processor time that the program has used, in seconds.
func (f *Forwarder) CPUSeconds() (float64, error) { return ProcessCPU(f.cmd.Process.Pid) }

// Memory is what the process has in memory now, in bytes.
func (f *Forwarder) Memory() (int64, error) { return processStatus(f.cmd.Process.Pid, "VmRSS:") }

// ProcessPeak reads a process's peak resident memory from the kernel, in bytes.
func ProcessPeak(pid int) (int64, error) { return processStatus(pid, "VmHWM:") }

// processStatus reads a size of a process from the kernel, in bytes.
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
	return 0, fmt.Errorf("lab: no %s told", name)
}

// ProcessCPU reads a process's time from the kernel, in seconds; it counts in hundredths.
func ProcessCPU(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("lab: process times can't be read")
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100, err
}
