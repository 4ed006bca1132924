package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"mulleinbeam/internal/asynclog"
	"mulleinbeam/internal/lab/demo"
	"mulleinbeam/internal/settings"
)

// version is the program's version; CHANGELOG.md lists the changes of each.
const version = "0.2.0"

// cli is the command line. Without arguments the program serves: the platform starts it that way.
type cli struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Forward messages until a signal ends the program (the default)."`
	Config  configCmd        `cmd:"" help:"Check settings files, and show or change the configuration that a fleet shares."`
	Journal journalCmd       `cmd:"" help:"Inspect a journal's folder, also while the program runs."`
	Cluster clusterCmd       `cmd:"" help:"Inspect a fleet that replicates messages, and change its membership."`
	Relay   relayCmd         `cmd:"" help:"Forward requests from the members of a large fleet to the voters of its control plane, and decisions back."`
	Plan    planCmd          `cmd:"" help:"Show where a fleet's traffic goes, and change it."`
	Demo    demoCmd          `cmd:"" help:"Show the forwarder at work on loopback, with destinations that are slow, rate limited or down for a while."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check a settings file and print what it turns on."`
	fleetConfigCmds
}

type serveCmd struct {
	Config string `name:"config" env:"LARKREACH_CONFIG" placeholder:"FILE" help:"TOML file with the program's own settings; ROUTER_CONFIG is the platform's configuration. Without this file all features in it are off."`
	Log    string `name:"log" env:"LARKREACH_LOG" enum:"auto,json,text" default:"auto" help:"Log format: json, text, or auto for text on a terminal and json elsewhere."`
}

// Run forwards messages until a signal ends the program.
func (c serveCmd) Run(io streams) error {
	var settingsFile settings.File
	if c.Config != "" {
		var err error
		if settingsFile, err = settings.Load(c.Config); err != nil {
			return err
		}
	}
	if settingsFile.Cluster != nil && !clusterBuild {
		return execClusterProgram(os.Args[1:])
	}
	log := openLog(io.err, c.Log)
	defer log.close()
	return run(os.Getenv, log, settingsFile, io.hup)
}

type checkCmd struct {
	File string `arg:"" help:"The settings file."`
}

// Run checks a settings file and prints a summary.
func (c checkCmd) Run(io streams) error {
	f, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	if b := f.Bodies; b != nil {
		fmt.Fprintf(io.out, "%s: long bodies on: %d at once, %d of them out, %d bytes buffered in each direction\n",
			c.File, b.MaxConcurrent(), b.Slots, b.WindowBytes)
	} else {
		fmt.Fprintf(io.out, "%s: long bodies off\n", c.File)
	}
	if j := f.Journal; j != nil {
		fmt.Fprintf(io.out, "%s: journal: durability %s, %s of disk, %s a segment, %d bytes of bodies in memory\n", c.File, j.Durability,
			bytesOr(j.Disk, "the platform's limit"), bytesOr(j.Segment, "a fraction of that"), j.Memory)
	} else {
		fmt.Fprintf(io.out, "%s: journal with the platform's limits: durability none, all bodies in memory\n", c.File)
	}
	return nil
}

// bytesOr formats b, or returns none if b is 0.
func bytesOr(b settings.Bytes, none string) string {
	if b == 0 {
		return none
	}
	return fmt.Sprint(int64(b), " bytes")
}

// demoFlushTimeout bounds how long the end of a demonstration waits for the reader of its output.
const demoFlushTimeout = 10 * time.Second

type demoCmd struct {
	Fleet bool `help:"Run three processes in two zones that replicate each other's messages; one is killed under load and not restarted."`
}

// Run runs the demonstration with this executable.
func (d demoCmd) Run(io streams) error {
	if d.Fleet && !clusterBuild {
		return execClusterProgram(os.Args[1:])
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := asynclog.New(io.out, func(lines int64) []byte { return fmt.Appendf(nil, "(%d lines dropped)\n", lines) })
	defer out.Close(demoFlushTimeout) // the simulated destinations must not block on a slow reader
	if d.Fleet {
		return demoFleet(ctx, []string{program, "serve"}, out)
	}
	return demo.Run(ctx, []string{program, "serve"}, out)
}

// streams are a command's outputs and the channel of SIGHUP signals, which must not be lost.
type streams struct {
	out, err io.Writer
	hup      <-chan os.Signal
}

// errAnswered stops the parser after an option that is a whole command of its own, such as --help.
var errAnswered = errors.New("answered")

// runCommand parses the command line and runs the selected command.
func runCommand(args []string, io streams) error {
	var c cli
	parser, err := kong.New(&c, kong.Name("larkreach"),
		kong.Description("Accepts messages from clients and delivers them by calls to endpoints of destinations."),
		kong.Vars{"version": "larkreach " + version}, kong.Writers(io.out, io.err), kong.UsageOnError(),
		kong.Exit(func(int) { panic(errAnswered) }))
	if err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	ctx, answered, err := parse(parser, args)
	if err != nil || answered {
		return err
	}
	return ctx.Run(io)
}

// parse parses the command line. For options such as --help kong would exit the process; parse recovers from the panic
// raised by the exit hook instead and returns answered.
func parse(parser *kong.Kong, args []string) (ctx *kong.Context, answered bool, err error) {
	defer func() {
		if r := recover(); r != nil {
			if r != errAnswered {
				panic(r)
			}
			answered = true
		}
	}()
	ctx, err = parser.Parse(args)
	return ctx, false, err
}
