package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"syscall"
	"time"

	"mulleinbeam/internal/cluster/council"
	"mulleinbeam/internal/lab"
)

// phase is a part of a measurement at one size.
type phase struct {
	name   string
	length time.Duration
	fault  func(ctx context.Context, w *scaleWorld) error // nil: nothing fails
}

// phases are the calm one, and the faults if they are asked for.
func (s Scale) phases() []phase {
	out := []phase{{"calm", s.Length, nil}}
	if !s.Faults {
		return out
	}
	half := s.Length / 2
	if s.Relays > 0 {
		out = append(out,
			phase{"a relay is killed", half, killRelay}, phase{"it comes back", half, startRelay},
			phase{"a relay is stopped for 3 s", half, pauseRelay}, phase{"all relays are replaced", half, replaceRelays})
	}
	return append(out,
		phase{"a voter is stopped for 3 s", half, pauseVoter}, phase{"the leader is killed", half, killLeader}, phase{"a zone restarts", half, restartZone})
}

func killRelay(_ context.Context, w *scaleWorld) error { w.relays[0].kill(); return nil }

func startRelay(_ context.Context, w *scaleWorld) error { return w.relays[0].start() }

func pauseRelay(ctx context.Context, w *scaleWorld) error {
	r := w.relays[len(w.relays)-1]
	err := r.cmd.Process.Signal(syscall.SIGSTOP)
	lab.Sleep(ctx, pauseFor)
	return errors.Join(err, r.cmd.Process.Signal(syscall.SIGCONT))
}

func replaceRelays(_ context.Context, w *scaleWorld) error {
	for _, r := range w.relays {
		r.kill()
	}
	var err error
	for _, r := range w.relays {
		err = errors.Join(err, r.start())
	}
	return err
}

func pauseVoter(ctx context.Context, w *scaleWorld) error {
	leader, err := w.voters.leaderNumber()
	if err != nil {
		return err
	}
	other := (leader + 1) % scaleVoters
	err = w.voters.Pause(other)
	lab.Sleep(ctx, pauseFor)
	return errors.Join(err, w.voters.Wake(other))
}

func killLeader(_ context.Context, w *scaleWorld) error {
	leader, err := w.voters.leaderNumber()
	if err != nil {
		return err
	}
	return errors.Join(w.voters.Kill(leader), w.voters.Start(leader))
}

func restartZone(_ context.Context, w *scaleWorld) error {
	w.fleet.restartZone(zoneName(0))
	return nil
}

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
