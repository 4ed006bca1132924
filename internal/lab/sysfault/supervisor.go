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

// Supervisor decides on the reported system calls of one program across its restarts.
type Supervisor struct {
	Folder string // the program's state folder
	Listen string // the address on which it accepts connections

	mu     sync.Mutex
	rng    *rand.Rand
	rules  []Rule
	counts map[string]int
}

// NewSupervisor returns a supervisor whose random choices follow from a seed.
func NewSupervisor(seed uint64, folder, listen string) *Supervisor {
	return &Supervisor{Folder: folder, Listen: listen, rng: rand.New(rand.NewPCG(seed, 1)), counts: map[string]int{}}
}

// Set replaces the rules; without rules, all system calls continue.
func (s *Supervisor) Set(rules ...Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = rules
}

// Counts returns the number of system calls that have failed so far, by call and error.
func (s *Supervisor) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for name, n := range s.counts {
		out[name] = n
	}
	return out
}

// Attach prepares a command and returns the function to call once the command has started. That function starts the
// handling of its system calls, which ends when the program exits.
func (s *Supervisor) Attach(cmd *exec.Cmd) (started func() error, err error) {
	socket, err := prepare(cmd)
	if err != nil {
		return nil, err
	}
	return func() error {
		defer socket.Close()
		for _, f := range cmd.ExtraFiles {
			_ = f.Close() // the program has its own descriptors
		}
		listener, err := receiveListener(socket)
		if err != nil {
			return err
		}
		pidfd, err := unix.PidfdOpen(cmd.Process.Pid, 0)
		if err != nil {
			return fmt.Errorf("sysfault: %w", err)
		}
		p := &process{supervisor: s, pid: cmd.Process.Pid, pidfd: pidfd, listener: listener}
		p.serve()
		return nil
	}, nil
}

// process is one process of the program, from its start to its exit.
type process struct {
	supervisor *Supervisor
	pid        int
	pidfd      int
	listener   int
	receiveMu  sync.Mutex
}

// notification is the kernel's struct seccomp_notif.
type notification struct {
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
	ioctlReceiveNotification = 0xC0502100 // SECCOMP_IOCTL_NOTIF_RECV
	ioctlSendResponse        = 0xC0182101 // SECCOMP_IOCTL_NOTIF_SEND
	responderCount           = 4          // number of goroutines that answer notifications
	pollTimeoutMillis        = 100        // bounds one wait for a notification
)

// serve answers notifications until the process has exited.
func (p *process) serve() {
	var group sync.WaitGroup
	for range responderCount {
		group.Go(func() {
			for {
				r, exited := p.next()
				if exited {
					return
				}
				if r != nil {
					p.respond(r)
				}
			}
		})
	}
	go func() {
		group.Wait()
		_ = unix.Close(p.listener)
		_ = unix.Close(p.pidfd)
	}()
}

// next waits up to the poll timeout for a notification; exited reports that no more will come.
func (p *process) next() (r *notification, exited bool) {
	p.receiveMu.Lock()
	defer p.receiveMu.Unlock()
	poll := []unix.PollFd{{Fd: int32(p.listener), Events: unix.POLLIN}}
	if n, err := unix.Poll(poll, pollTimeoutMillis); err != nil || n == 0 {
		return nil, false
	}
	if poll[0].Revents&unix.POLLIN == 0 {
		return nil, poll[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	}
	r = &notification{}
	if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(p.listener), ioctlReceiveNotification, uintptr(unsafe.Pointer(r))); errno != 0 {
		return nil, false // the system call was interrupted in the meantime
	}
	return r, false
}

// respond answers a notification: the system call fails, writes a part of its bytes, or continues.
func (p *process) respond(r *notification) {
	resp := response{id: r.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if rule, errno, fails := p.supervisor.decide(Call(r.nr), func() Place { return p.place(r) }); fails {
		resp.flags = 0
		written := 0
		if rule.Part {
			written = p.writePart(r)
		}
		switch {
		case errno != 0:
			resp.errno = -int32(errno)
		case written > 0:
			resp.value = int64(written)
		default: // nothing was written: the call continues unchanged
			resp.flags = unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE
		}
	}
	_, _, _ = unix.Syscall(unix.SYS_IOCTL, uintptr(p.listener), ioctlSendResponse, uintptr(unsafe.Pointer(&resp)))
}

// decide picks the rule and the error for a system call; fails is false if the call is to continue.
func (s *Supervisor) decide(call Call, place func() Place) (rule Rule, errno unix.Errno, fails bool) {
	s.mu.Lock()
	candidates := slices.DeleteFunc(slices.Clone(s.rules), func(r Rule) bool {
		return !slices.Contains(r.Calls, call) || s.rng.Float64() >= r.Chance
	})
	s.mu.Unlock()
	if len(candidates) == 0 {
		return Rule{}, 0, false
	}
	at := place() // outside the lock, since it makes system calls
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

// place classifies the file or socket that a system call operates on.
func (p *process) place(r *notification) Place {
	switch Call(r.nr) {
	case Socket:
		return Outgoing
	case Open:
		return p.pathPlace(r.args[1])
	case Rename:
		return p.pathPlace(r.args[1])
	case Unlink:
		return p.pathPlace(r.args[1])
	case EpollAdd:
		return p.descriptorPlace(int(r.args[2]))
	}
	return p.descriptorPlace(int(r.args[0]))
}

// pathPlace classifies the file whose path is at an address in the memory of the process.
func (p *process) pathPlace(address uint64) Place {
	path := make([]byte, unix.PathMax)
	local := []unix.Iovec{{Base: &path[0], Len: uint64(len(path))}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: len(path)}}
	n, err := unix.ProcessVMReadv(p.pid, local, remote, 0)
	if err != nil && n <= 0 {
		remote[0].Len = 256 // the path may end close to a page that is not mapped
		if n, err = unix.ProcessVMReadv(p.pid, local, remote, 0); err != nil {
			return Elsewhere
		}
	}
	text, _, _ := bytes.Cut(path[:n], []byte{0})
	if strings.HasPrefix(string(text), p.supervisor.Folder+"/") {
		return StateFile
	}
	return Elsewhere
}

// descriptorPlace classifies the file or socket behind a descriptor of the process.
func (p *process) descriptorPlace(fd int) Place {
	link, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", p.pid, fd))
	switch {
	case err != nil:
		return Elsewhere
	case strings.HasPrefix(link, p.supervisor.Folder+"/"):
		return StateFile
	case !strings.HasPrefix(link, "socket:"):
		return Elsewhere
	}
	duplicate, err := unix.PidfdGetfd(p.pidfd, fd, 0)
	if err != nil {
		return Elsewhere
	}
	defer unix.Close(duplicate)
	if listening, err := unix.GetsockoptInt(duplicate, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err == nil && listening == 1 {
		return Listener
	}
	local, err := unix.Getsockname(duplicate)
	if in, ok := local.(*unix.SockaddrInet4); err == nil && ok {
		if netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String() == p.supervisor.Listen {
			return Client
		}
	}
	return Outgoing
}

// writePart performs the first half of a write of the program, and returns the number of bytes written.
func (p *process) writePart(r *notification) int {
	if Call(r.nr) != Write || r.args[2] < 2 {
		return 0
	}
	part := make([]byte, r.args[2]/2)
	local := []unix.Iovec{{Base: &part[0], Len: uint64(len(part))}}
	remote := []unix.RemoteIovec{{Base: uintptr(r.args[1]), Len: len(part)}}
	n, err := unix.ProcessVMReadv(p.pid, local, remote, 0)
	if err != nil || n <= 0 {
		return 0
	}
	duplicate, err := unix.PidfdGetfd(p.pidfd, int(r.args[0]), 0)
	if err != nil {
		return 0
	}
	defer unix.Close(duplicate)
	written, err := unix.Write(duplicate, part[:n])
	if err != nil {
		return 0
	}
	return written
}
