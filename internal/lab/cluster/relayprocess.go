package cluster

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
)

// openRelays starts the relays of the control plane; they serve once the voters do.
func (f *Fleet) openRelays() error {
	for i := range f.Relays {
		r, err := newRelayProcess([]string{f.Program[0], "relay"}, f.Env, filepath.Join(f.Dir, fmt.Sprint("relay", i)), i, f.voters())
		if err != nil {
			return err
		}
		f.relays = append(f.relays, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// voters returns the initial voters of the control plane.
func (f *Fleet) voters() (out []controlplane.Voter) {
	for _, m := range f.Members[:f.Founders] {
		out = append(out, controlplane.Voter{Name: m.Name, Address: m.Links})
	}
	return out
}

// KillRelay ends a relay with SIGKILL.
func (f *Fleet) KillRelay(i int) {
	f.Event("relay %d: SIGKILL", i)
	f.relays[i].kill()
}

// PauseRelay suspends a relay with SIGSTOP until WakeRelay.
func (f *Fleet) PauseRelay(i int) error {
	f.Event("relay %d: SIGSTOP", i)
	return f.relays[i].cmd.Process.Signal(syscall.SIGSTOP)
}

// WakeRelay resumes a paused relay.
func (f *Fleet) WakeRelay(i int) error {
	f.Event("relay %d: SIGCONT", i)
	return f.relays[i].cmd.Process.Signal(syscall.SIGCONT)
}

// StartRelay starts a relay that was killed.
func (f *Fleet) StartRelay(i int) error {
	f.Event("relay %d: started", i)
	return f.relays[i].start()
}

// relayProcess runs a control plane relay as a process.
type relayProcess struct {
	command []string
	env     []string
	address string
	log     string // path
	cmd     *exec.Cmd
}

// newRelayProcess chooses an address without starting the relay.
func newRelayProcess(command, env []string, log string, i int, voters []controlplane.Voter) (*relayProcess, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()%64, os.Getpid()/64%256, i+1) // a separate address, on which nothing else takes a port
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	r := &relayProcess{env: env, address: l.Addr().String(), log: log}
	r.command = append(append(r.command, command...), "--listen", r.address)
	for _, v := range voters {
		r.command = append(r.command, "--voter", v.Name+"@"+v.Address)
	}
	return r, l.Close()
}

// start starts or replaces the process and waits until it accepts connections.
func (r *relayProcess) start() error {
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	r.cmd = exec.Command(r.command[0], r.command[1:]...)
	r.cmd.Env = append(os.Environ(), r.env...)
	r.cmd.Stderr = out
	if err := r.cmd.Start(); err != nil {
		return err
	}
	for began := time.Now(); ; {
		conn, err := net.Dial("tcp", r.address)
		if err == nil {
			return conn.Close()
		}
		if time.Since(began) > 10*time.Second {
			return err
		}
		time.Sleep(simulatedRetryInterval)
	}
}

func (r *relayProcess) pid() int { return r.cmd.Process.Pid }

// kill ends the process with SIGKILL if it was started.
func (r *relayProcess) kill() {
	if r.cmd != nil {
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
	}
}
