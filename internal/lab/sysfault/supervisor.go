//go:build linux

package sysfault

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Supervisor decides on the reported calls of one program, over all its lives.
type Supervisor struct {
	Folder string // the program's state folder
	Listen string // the address where it takes connections

	mu     sync.Mutex
	rng    *rand.Rand
	rules  []Rule
	counts map[string]int
}

// NewSupervisor draws its chances from a seed.
func NewSupervisor(seed uint64, folder, listen string) *Supervisor {
	return &Supervisor{Folder: folder, Listen: listen, rng: rand.New(rand.NewPCG(seed, 1)), counts: map[string]int{}}
}

// Set sets the rules from now on; without any, all calls go on.
func (s *Supervisor) Set(rules ...Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = rules
}

// Counts tells how many calls have failed so far, by call and error.
func (s *Supervisor) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for name, n := range s.counts {
		out[name] = n
	}
	return out
}

// Attach prepares a command, and gives what is to be called once it has started. The calls are answered until the program ends.
func (s *Supervisor) Attach(cmd *exec.Cmd) (started func() error, err error) {
	socket, err := mark(cmd)
	if err != nil {
		return nil, err
	}
	return func() error {
		defer socket.Close()
		for _, f := range cmd.ExtraFiles {
			_ = f.Close() // the program has its own
		}
		listener, err := receive(socket)
		if err != nil {
			return err
		}
		pidfd, err := unix.PidfdOpen(cmd.Process.Pid, 0)
		if err != nil {
			return fmt.Errorf("sysfault: %w", err)
		}
		t := &target{supervisor: s, pid: cmd.Process.Pid, pidfd: pidfd, listener: listener}
		t.serve()
		return nil
	}, nil
}

// target is one life of the program.
type target struct {
	supervisor *Supervisor
	pid        int
	pidfd      int
	listener   int
	receiving  sync.Mutex
}

// report is the kernel's struct seccomp_notif.
type report struct {
	id    uint64
	pid   uint32
	flags uint32
	nr    int32
	arch  uint32
	ip    uint64
	args  [6]uint64
}

// response is the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

const (
	receiveReport = 0xC0502100 // SECCOMP_IOCTL_NOTIF_RECV
	sendResponse  = 0xC0182101 // SECCOMP_IOCTL_NOTIF_SEND
	answerers     = 4          // threads that answer
	pollFor       = 100        // milliseconds
)

// serve answers reports until the program has ended.
func (t *target) serve() {
	var group sync.WaitGroup
	for range answerers {
		group.Go(func() {
			for {
				r, ended := t.next()
				if ended {
					return
				}
				if r != nil {
					t.answer(r)
				}
			}
		})
	}
	go func() {
		group.Wait()
		_ = unix.Close(t.listener)
		_ = unix.Close(t.pidfd)
	}()
}

// next waits for a report for a while; ended says that none will come.
func (t *target) next() (r *report, ended bool) {
	t.receiving.Lock()
	defer t.receiving.Unlock()
	poll := []unix.PollFd{{Fd: int32(t.listener), Events: unix.POLLIN}}
	if n, err := unix.Poll(poll, pollFor); err != nil || n == 0 {
		return nil, false
	}
	if poll[0].Revents&unix.POLLIN == 0 {
		return nil, poll[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	}
	r = &report{}
	if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(t.listener), receiveReport, uintptr(unsafe.Pointer(r))); errno != 0 {
		return nil, false // the call was interrupted meanwhile
	}
	return r, false
}

func (t *target) answer(r *report) {
	resp := response{id: r.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if rule, errno, fails := t.supervisor.draw(Call(r.nr), func() Place { return t.place(r) }); fails {
		resp.flags = 0
		written := 0
		if rule.Part {
			written = t.writePart(r)
		}
		switch {
		case errno != 0:
			resp.errno = -int32(errno)
		case written > 0:
			resp.value = int64(written)
		default: // there is nothing to cut
			resp.flags = unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE
		}
	}
	_, _, _ = unix.Syscall(unix.SYS_IOCTL, uintptr(t.listener), sendResponse, uintptr(unsafe.Pointer(&resp)))
}

// draw decides on a call.
func (s *Supervisor) draw(call Call, place func() Place) (rule Rule, errno unix.Errno, fails bool) {
	s.mu.Lock()
	candidates := slices.DeleteFunc(slices.Clone(s.rules), func(r Rule) bool {
		return !slices.Contains(r.Calls, call) || s.rng.Float64() >= r.Chance
	})
	s.mu.Unlock()
	if len(candidates) == 0 {
		return Rule{}, 0, false
	}
	at := place() // looked up outside the lock: it asks the kernel
	i := slices.IndexFunc(candidates, func(r Rule) bool { return slices.Contains(r.Places, at) })
	if i < 0 {
		return Rule{}, 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rule = candidates[i]
	if len(rule.Errors) > 0 {
		errno = rule.Errors[s.rng.IntN(len(rule.Errors))]
	}
	s.counts[fmt.Sprintf("call %d: %s", call, unix.ErrnoName(errno))]++
	return rule, errno, true
}

// place looks up what a call works on.
func (t *target) place(r *report) Place {
	switch Call(r.nr) {
	case Socket:
		return Outgoing
	case Open:
		return t.pathPlace(r.args[1])
	case Rename:
		return t.pathPlace(r.args[1])
	case Unlink:
		return t.pathPlace(r.args[1])
	case EpollAdd:
		return t.descriptorPlace(int(r.args[2]))
	}
	return t.descriptorPlace(int(r.args[0]))
}

func (t *target) pathPlace(address uint64) Place {
	path := make([]byte, unix.PathMax)
	local := []unix.Iovec{{Base: &path[0], Len: uint64(len(path))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(path)}}
	n, err := unix.ProcessVMReadv(t.pid, local, remote, 0)
	if err != nil && n <= 0 {
		remote[0].Len = 256 // the page behind it may not be there
		if n, err = unix.ProcessVMReadv(t.pid, local, remote, 0); err != nil {
			return Elsewhere
		}
	}
	text, _, _ := bytes.Cut(path[:n], []byte{0})
	if strings.HasPrefix(string(text), t.supervisor.Folder+"/") {
		return StateFile
	}
	return Elsewhere
}

func (t *target) descriptorPlace(fd int) Place {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", t.pid, fd))
	switch {
	case err != nil:
		return Elsewhere
	case strings.HasPrefix(name, t.supervisor.Folder+"/"):
		return StateFile
	case !strings.HasPrefix(name, "socket:"):
		return Elsewhere
	}
	own, err := unix.PidfdGetfd(t.pidfd, fd, 0)
	if err != nil {
		return Elsewhere
	}
	defer unix.Close(own)
	if v, err := unix.GetsockoptInt(own, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err == nil && v == 1 {
		return Listener
	}
	name4, err := unix.Getsockname(own)
	if in, ok := name4.(*unix.SockaddrInet4); err == nil && ok {
		if netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String() == t.supervisor.Listen {
			return Client
		}
	}
	return Outgoing
}

// writePart makes a write of the program with the first half of its bytes, and gives how many were written.
func (t *target) writePart(r *report) int {
	if Call(r.nr) != Write || r.args[2] < 2 {
		return 0
	}
	part := make([]byte, r.args[2]/2)
	local := []unix.Iovec{{Base: &part[0], Len: uint64(len(part))}}
	remote := []unix.RemoteIovec{{Base: uintptr(r.args[1]), Len: len(part)}}
	n, err := unix.ProcessVMReadv(t.pid, local, remote, 0)
	if err != nil || n <= 0 {
		return 0
	}
	own, err := unix.PidfdGetfd(t.pidfd, int(r.args[0]), 0)
	if err != nil {
		return 0
	}
	defer unix.Close(own)
	written, err := unix.Write(own, part[:n])
	if err != nil {
		return 0
	}
	return written
}
