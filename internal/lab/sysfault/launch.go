//go:build linux

package sysfault

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"unsafe"

	"golang.org/x/sys/unix"
)

// launchVariable is the environment variable that makes a process start under a filter; its value is the descriptor of
// the socket over which the filter's listener is sent.
const launchVariable = "LARKREACH_SYSFAULT_SOCKET"

// Marked reports whether this process was started by a Supervisor and has to call Launch.
func Marked() bool { return os.Getenv(launchVariable) != "" }

// Launch installs the filter, sends its listener to the supervisor and executes the same program again without the
// environment variable. It returns only on error.
func Launch() error {
	socket, err := strconv.Atoi(os.Getenv(launchVariable))
	if err != nil {
		return fmt.Errorf("sysfault: %s: %w", launchVariable, err)
	}
	if err := os.Unsetenv(launchVariable); err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	executable, err := os.Executable()
	if err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	environment := os.Environ()
	runtime.LockOSThread() // the filter applies to this thread and is inherited across exec
	listener, err := installFilter()
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sysfault: sending the seccomp listener: %w", err)
	}
	unix.CloseOnExec(socket)
	unix.CloseOnExec(listener)
	return fmt.Errorf("sysfault: exec: %w", unix.Exec(executable, os.Args, environment))
}

// installFilter installs a filter on this thread that reports the system calls, and returns its listener.
func installFilter() (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("sysfault: setting no_new_privs: %w", err)
	}
	const numberOffset = 0 // offset of seccomp_data.nr in bytes
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: numberOffset}}
	for i, call := range reportedCalls {
		jumpToNotify := uint8(len(reportedCalls) - i)
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: jumpToNotify, K: uint32(call)})
	}
	program = append(program,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF},
	)
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER,
		uintptr(unsafe.Pointer(&filter)))
	if errno != 0 {
		return 0, fmt.Errorf("sysfault: installing the seccomp filter: %w", errno)
	}
	return int(fd), nil
}

// prepare sets a command up to start under a filter, and returns the socket on which the filter's listener arrives.
func prepare(cmd *exec.Cmd) (socket *os.File, err error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("sysfault: %w", err)
	}
	const firstExtraFile = 3
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", launchVariable, firstExtraFile+len(cmd.ExtraFiles)))
	cmd.ExtraFiles = append(cmd.ExtraFiles, os.NewFile(uintptr(pair[1]), "sysfault program"))
	return os.NewFile(uintptr(pair[0]), "sysfault test"), nil
}

// receiveListener receives the filter's listener from the socket.
func receiveListener(socket *os.File) (listener int, err error) {
	oob := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(int(socket.Fd()), make([]byte, 1), oob, 0)
	if err != nil {
		return 0, fmt.Errorf("sysfault: receiving the seccomp listener: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(oob[:n])
	if err != nil || len(messages) != 1 {
		return 0, fmt.Errorf("sysfault: the program sent no seccomp listener: %v", err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, fmt.Errorf("sysfault: the program sent no seccomp listener: %v", err)
	}
	return fds[0], nil
}
