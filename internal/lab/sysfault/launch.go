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

// launchMark names the environment variable that tells a process to be launched under a filter; its value is the descriptor of
// the socket that the listener goes over.
const launchMark = "LARKREACH_SYSFAULT_SOCKET"

// Marked says whether this process is to call Launch.
func Marked() bool { return os.Getenv(launchMark) != "" }

// Launch installs the filter, hands its listener over and becomes the same program again, without the mark. It returns only with
// an error.
func Launch() error {
	socket, err := strconv.Atoi(os.Getenv(launchMark))
	if err != nil {
		return fmt.Errorf("sysfault: %s: %w", launchMark, err)
	}
	if err := os.Unsetenv(launchMark); err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	executable, err := os.Executable()
	if err != nil {
		return fmt.Errorf("sysfault: %w", err)
	}
	environment := os.Environ()
	runtime.LockOSThread() // the filter is this thread's, and exec hands it to the program
	listener, err := install()
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sysfault: hand over: %w", err)
	}
	unix.CloseOnExec(socket)
	unix.CloseOnExec(listener)
	return fmt.Errorf("sysfault: exec: %w", unix.Exec(executable, os.Args, environment))
}

// install sets a filter that reports the calls on this thread, and gives its listener.
func install() (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("sysfault: no new privileges: %w", err)
	}
	const numberOffset = 0 // of seccomp_data.nr
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: numberOffset}}
	for i, call := range reported {
		toReport := uint8(len(reported) - i)
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: toReport, K: uint32(call)})
	}
	program = append(program,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF},
	)
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER,
		uintptr(unsafe.Pointer(&filter)))
	if errno != 0 {
		return 0, fmt.Errorf("sysfault: filter: %w", errno)
	}
	return int(fd), nil
}

// mark prepares a command to be launched under a filter, and gives the socket over which its listener will come.
func mark(cmd *exec.Cmd) (socket *os.File, err error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("sysfault: %w", err)
	}
	const firstExtraFile = 3
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", launchMark, firstExtraFile+len(cmd.ExtraFiles)))
	cmd.ExtraFiles = append(cmd.ExtraFiles, os.NewFile(uintptr(pair[1]), "sysfault program"))
	return os.NewFile(uintptr(pair[0]), "sysfault test"), nil
}

// receive takes the listener from the socket.
func receive(socket *os.File) (listener int, err error) {
	oob := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(int(socket.Fd()), make([]byte, 1), oob, 0)
	if err != nil {
		return 0, fmt.Errorf("sysfault: receive: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(oob[:n])
	if err != nil || len(messages) != 1 {
		return 0, fmt.Errorf("sysfault: the program handed no listener over: %v", err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, fmt.Errorf("sysfault: the program handed no listener over: %v", err)
	}
	return fds[0], nil
}
