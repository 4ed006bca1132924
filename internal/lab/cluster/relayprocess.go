package cluster

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"time"

	"mulleinbeam/internal/cluster/council"
)

// relayProcess is a relay of the control plane as a process.
type relayProcess struct {
	command []string
	env     []string
	address string
	log     string // path
	cmd     *exec.Cmd
}

// newRelayProcess chooses an address; nothing runs yet.
func newRelayProcess(command, env []string, log string, i int, voters []council.Founder) (*relayProcess, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()%64, os.Getpid()/64%256, i+1) // of its own: nobody else takes a port there
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

// start starts it, or another one in its place, and waits until it takes connections.
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
		time.Sleep(hollowRetry)
	}
}

func (r *relayProcess) pid() int { return r.cmd.Process.Pid }

// kill ends it at once, if it runs.
func (r *relayProcess) kill() {
	if r.cmd != nil {
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
	}
}
