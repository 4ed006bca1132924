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

// version is the program's own; CHANGELOG.md says what came with it.
const version = "0.2.0"

// cli is the command line. Without arguments the program serves, as the platform starts it.
type cli struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Forward messages until a signal ends the program (the default)."`
	Config  configCmd        `cmd:"" help:"Look at settings, and at the configuration that a fleet decides in common."`
	Journal journalCmd       `cmd:"" help:"Look at a journal's folder, also beside a running program."`
	Cluster clusterCmd       `cmd:"" help:"Look at a fleet that keeps copies, and change who belongs to it."`
	Relay   relayCmd         `cmd:"" help:"Carry the requests of a large fleet's members to the voters of its control plane, and what is decided back."`
	Plan    planCmd          `cmd:"" help:"Look at where a fleet's traffic goes, and order it."`
	Demo    demoCmd          `cmd:"" help:"Show the forwarder at work on loopback, with partners that are slow, limited or down for a while."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check a settings file and say what it turns on."`
	fleetConfigCmds
}

type serveCmd struct {
	Config string `name:"config" env:"LARKREACH_CONFIG" placeholder:"FILE" help:"The program's own settings, as TOML; ROUTER_CONFIG stays the platform's. Without it everything in them is off."`
	Log    string `name:"log" env:"LARKREACH_LOG" enum:"auto,json,text" default:"auto" help:"The log's form: json, text, or auto for text on a terminal and json elsewhere."`
}

// Run serves.
func (c serveCmd) Run(io streams) error {
	var own settings.File
	if c.Config != "" {
		var err error
		if own, err = settings.Load(c.Config); err != nil {
			return err
		}
	}
	if own.Cluster != nil && !clustered {
		return handOver(os.Args[1:])
	}
	log := openLog(io.err, c.Log)
	defer log.close()
	return run(os.Getenv, log, own, io.hup)
}

type checkCmd struct {
	File string `arg:"" help:"The settings file."`
}

// Run checks a file.
func (c checkCmd) Run(io streams) error {
	f, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	if b := f.Bodies; b != nil {
		fmt.Fprintf(io.out, "%s: long bodies on: %d at once, %d of them out, %d bytes held of each direction\n",
			c.File, b.MaxConcurrent(), b.Slots, b.WindowBytes)
	} else {
		fmt.Fprintf(io.out, "%s: long bodies off\n", c.File)
	}
	if j := f.Journal; j != nil {
		fmt.Fprintf(io.out, "%s: journal: durability %s, %s of disk, %s a segment, %d bytes of bodies in memory\n", c.File, j.Durability,
			orElse(j.Disk, "what the platform tells"), orElse(j.Segment, "a share of that"), j.Memory)
	} else {
		fmt.Fprintf(io.out, "%s: journal as the platform tells: durability none, all bodies in memory\n", c.File)
	}
	return nil
}

func orElse(b settings.Bytes, none string) string {
	if b == 0 {
		return none
	}
	return fmt.Sprint(int64(b), " bytes")
}

// printsFor is how long the end of a demonstration waits for who reads it.
const printsFor = 10 * time.Second

type demoCmd struct {
	Fleet bool `help:"Three processes in two zones that keep copies for each other; one is killed for good under load."`
}

// Run plays the demonstration with this very program.
func (d demoCmd) Run(io streams) error {
	if d.Fleet && !clustered {
		return handOver(os.Args[1:])
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := asynclog.New(io.out, func(lines int64) []byte { return fmt.Appendf(nil, "(%d lines left out)\n", lines) })
	defer out.Close(printsFor) // partners must not wait for who reads this
	if d.Fleet {
		return demoFleet(ctx, []string{program, "serve"}, out)
	}
	return demo.Run(ctx, []string{program, "serve"}, out)
}

// streams are what a command writes to, and the signals that it must not lose.
type streams struct {
	out, err io.Writer
	hup      <-chan os.Signal
}

// errDone ends a command line that has been answered in full, such as --help.
var errDone = errors.New("answered")

// command reads the command line and carries it out.
func command(args []string, io streams) error {
	var c cli
	parser, err := kong.New(&c, kong.Name("larkreach"),
		kong.Description("Takes messages from clients and delivers them by calls to partner systems."),
		kong.Vars{"version": "larkreach " + version}, kong.Writers(io.out, io.err), kong.UsageOnError(),
		kong.Exit(func(int) { panic(errDone) }))
	if err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	ctx, answered, err := parse(parser, args)
	if err != nil || answered {
		return err
	}
	return ctx.Run(io)
}

// parse is Parse but for what answers by itself: kong ends the program there, and is stopped short of it.
func parse(parser *kong.Kong, args []string) (ctx *kong.Context, answered bool, err error) {
	defer func() {
		if r := recover(); r != nil {
			if r != errDone {
				panic(r)
			}
			answered = true
		}
	}()
	ctx, err = parser.Parse(args)
	return ctx, false, err
}
