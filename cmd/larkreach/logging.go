package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"mulleinbeam/internal/asynclog"
)

const (
	logTime = "2006-01-02T15:04:05.000000Z07:00"
	// lastLinesFor is how long the program's end waits for who reads its log. It comes behind drainFor and before the kill.
	lastLinesFor = 200 * time.Millisecond
)

// setUpLogging sets what all loggers of the program share.
func setUpLogging() {
	zerolog.TimeFieldFormat = logTime
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// logOutput is where a process's log goes. Who logs never waits for who reads it.
type logOutput struct{ lines *asynclog.Writer }

// openLog begins a log of one JSON object a line or, on a terminal or where it is asked for, of lines for people.
func openLog(out io.Writer, form string) *logOutput {
	file, isFile := out.(*os.File)
	if isFile {
		if own, err := separateCrashOutput(file); err == nil {
			out = own
		}
	}
	if form == "text" || form == "auto" && isFile && isatty.IsTerminal(file.Fd()) {
		out = zerolog.ConsoleWriter{Out: out, TimeFormat: logTime, NoColor: form == "text"}
	}
	return &logOutput{lines: asynclog.New(out, droppedNotice(""))}
}

// logger gives a logger for a forwarder's name, which the notice of dropped lines bears from now on too.
func (l *logOutput) logger(name string) zerolog.Logger {
	l.lines.SetNotice(droppedNotice(name))
	return namedLogger(l.lines, name)
}

// close writes what is left, if it is read.
func (l *logOutput) close() { _ = l.lines.Close(lastLinesFor) }

func namedLogger(out io.Writer, name string) zerolog.Logger {
	return zerolog.New(out).With().Str("name", name).Timestamp().Logger()
}

// droppedNotice makes the line that tells how many lines of the log were dropped before it.
func droppedNotice(name string) func(lines int64) []byte {
	return func(lines int64) []byte {
		var line bytes.Buffer
		logger := namedLogger(&line, name)
		logger.Warn().Str("part", "log").Int64("lines", lines).Msg("log lines dropped")
		return line.Bytes()
	}
}

// droppedLines is the counters' group of the log.
type droppedLines int64

// MarshalZerologObject writes the group.
func (d droppedLines) MarshalZerologObject(e *zerolog.Event) { e.Int64("dropped", int64(d)) }

// logLastLine writes why the program ends, for as long as its end may take.
func logLastLine(out io.Writer, line string) {
	w := asynclog.New(out, func(int64) []byte { return nil })
	_, _ = io.WriteString(w, line)
	_ = w.Close(lastLinesFor)
}

// separateCrashOutput gives a file of its own for the log where file is a pipe, and has writes to file's descriptor never block: the
// runtime prints there why it ends the process, and a pipe that nobody reads would keep it from ending. The pipe is opened anew for
// this, since its other writers share how it is open now.
func separateCrashOutput(file *os.File) (log *os.File, err error) {
	fd := int(file.Fd())
	var stat unix.Stat_t
	if err := unix.Fstat(fd, &stat); err != nil || stat.Mode&unix.S_IFMT != unix.S_IFIFO {
		return file, err
	}
	kept, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	anew, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", fd), unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		_ = unix.Close(kept)
		return nil, err
	}
	defer unix.Close(anew)
	if err := unix.Dup3(anew, fd, 0); err != nil {
		_ = unix.Close(kept)
		return nil, err
	}
	return os.NewFile(uintptr(kept), file.Name()), nil
}
