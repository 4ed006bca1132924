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
	logTimeFormat = "2006-01-02T15:04:05.000000Z07:00"
	// logFlushTimeout bounds how long the exiting program waits for the reader of its log. It starts when drainTimeout
	// has passed and has to end before the platform's kill.
	logFlushTimeout = 200 * time.Millisecond
)

// setUpLogging sets the time format and the clock of all loggers.
func setUpLogging() {
	zerolog.TimeFieldFormat = logTimeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// logOutput writes the process's log. Logging never blocks on a slow reader.
type logOutput struct{ lines *asynclog.Writer }

// openLog returns a log that writes one JSON object a line, or human-readable lines if form is "text" or if it is
// "auto" and out is a terminal.
func openLog(out io.Writer, form string) *logOutput {
	file, isFile := out.(*os.File)
	if isFile {
		if logFile, err := separateCrashOutput(file); err == nil {
			out = logFile
		}
	}
	if form == "text" || form == "auto" && isFile && isatty.IsTerminal(file.Fd()) {
		out = zerolog.ConsoleWriter{Out: out, TimeFormat: logTimeFormat, NoColor: form == "text"}
	}
	return &logOutput{lines: asynclog.New(out, droppedLinesRecord(""))}
}

// logger returns a logger for the forwarder with that name. Later records of dropped lines have the name as well.
func (l *logOutput) logger(name string) zerolog.Logger {
	l.lines.SetNotice(droppedLinesRecord(name))
	return namedLogger(l.lines, name)
}

// close flushes the remaining lines for up to logFlushTimeout.
func (l *logOutput) close() { _ = l.lines.Close(logFlushTimeout) }

func namedLogger(out io.Writer, name string) zerolog.Logger {
	return zerolog.New(out).With().Str("name", name).Timestamp().Logger()
}

// droppedLinesRecord returns a function that formats the log line which reports how many lines were dropped before it.
func droppedLinesRecord(name string) func(lines int64) []byte {
	return func(lines int64) []byte {
		var line bytes.Buffer
		logger := namedLogger(&line, name)
		logger.Warn().Str("part", "log").Int64("lines", lines).Msg("log lines dropped")
		return line.Bytes()
	}
}

// droppedLines is the "log" group of the counters: the number of dropped log lines.
type droppedLines int64

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (d droppedLines) MarshalZerologObject(e *zerolog.Event) { e.Int64("dropped", int64(d)) }

// logLastLine writes the error that ends the program, waiting at most logFlushTimeout for a reader.
func logLastLine(out io.Writer, line string) {
	w := asynclog.New(out, func(int64) []byte { return nil })
	_, _ = io.WriteString(w, line)
	_ = w.Close(logFlushTimeout)
}

// separateCrashOutput returns a separate file for the log if file is a pipe, and makes writes to file's own descriptor
// non-blocking: the runtime prints the reason of a crash there, and with a full pipe that nobody reads the crashing
// process would never exit. The pipe is reopened for this, since O_NONBLOCK on the existing open file description would
// apply to all processes that share it.
func separateCrashOutput(file *os.File) (log *os.File, err error) {
	fd := int(file.Fd())
	var stat unix.Stat_t
	if err := unix.Fstat(fd, &stat); err != nil || stat.Mode&unix.S_IFMT != unix.S_IFIFO {
		return file, err
	}
	logFD, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	reopenedFD, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", fd), unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		_ = unix.Close(logFD)
		return nil, err
	}
	defer unix.Close(reopenedFD)
	if err := unix.Dup3(reopenedFD, fd, 0); err != nil {
		_ = unix.Close(logFD)
		return nil, err
	}
	return os.NewFile(uintptr(logFD), file.Name()), nil
}
