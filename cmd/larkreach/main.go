// Command larkreach is the forwarder on sockets: clients hand messages in over HTTP, the decision module says when
// and where each goes, and what was taken on outlasts the process.
package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/bootclock"
	"mulleinbeam/internal/memory"
	"mulleinbeam/internal/oplog"
	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/routing"
	"mulleinbeam/internal/routing/wal"
	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
	"mulleinbeam/internal/settings"
	"mulleinbeam/internal/transport"
)

const (
	stillComing = 600 * time.Millisecond  // after the stop: clients come for 0.4 s, and are answered
	settleFor   = 700 * time.Millisecond  // after the stop: the router ends no earlier
	drainFor    = 3300 * time.Millisecond // after the stop: calls may be out; the kill comes after 3.7 s
	heapShare   = 0.6                     // of the memory limit: stacks, files and sockets take some too
	ownFiles    = 16                      // descriptors of the program's own: streams, poller, listener, discovery, notices, a reload
	leastRoom   = 16                      // those beside what is set aside, at the least
	// filesPerLong are the descriptors of a long call: its connection, and a pipe for each direction.
	filesPerLong = 5
)

func main() {
	setUpLogging()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // and never given back: from here to the exit it ends nothing
	signal.Ignore(syscall.SIGXFSZ)     // a file that may not grow is an error of its write, and no reason to end;
	signal.Ignore(syscall.SIGPIPE)     // nor is a log that nobody reads
	if err := command(os.Args[1:], streams{os.Stdout, os.Stderr, hup}); err != nil {
		logLastLine(os.Stderr, fmt.Sprintln("larkreach:", err))
		os.Exit(1)
	}
}

// run serves until a signal ends it.
func run(getenv func(string) string, log *logOutput, own settings.File, hup <-chan os.Signal) error {
	cfg, err := insist(log.logger(getenv("ROUTER_NAME")), "configuration", func() (config, error) { return loadConfig(getenv) })
	if err != nil {
		return err
	}
	long, passages, files, err := longBodies(own.Bodies, cfg.Limits)
	if err != nil {
		return err
	}
	cfg.Settings.LongSlots = long.Slots
	room, err := shareDescriptors(&cfg, files)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(cfg.Limits.MemoryMB<<20)))
	logger := log.logger(cfg.Name)
	if cfg.Alone {
		logger.Warn().Str("part", "config").Msg("no size of the fleet is told, this forwarder takes itself for the only one")
	}

	journal, err := insist(logger, "journal", func() (*wal.Log, error) {
		return wal.Open(cfg.State, journalOptions(own.Journal, own.Learned, cfg.Limits), func(line string) {
			logger.Warn().Str("part", "journal").Msg(strings.TrimPrefix(line, "journal: "))
		})
	})
	if err != nil {
		return err
	}
	defer journal.Close()

	remembered := openMemory(own, cfg, logger)
	listener, err := insist(logger, "listener", func() (net.Listener, error) { // nobody is answered before what an earlier life left is resumed
		return net.Listen("tcp", cfg.Listen)
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()

	samples := oplog.NewSampler(logger.With().Str("part", "requests").Logger())
	defer samples.Close()
	endpoints := transport.NewEndpoints(cfg.Settings.KeepAlive, cfg.Settings.ConnectTimeout, room/4)
	endpoints.Samples = samples
	defer endpoints.Close()
	discovery := transport.NewAddress(cfg.Discovery)
	reporter := transport.NewReporter(discovery, logger)
	setup := routing.Config{
		Settings: cfg.Settings, Seed: cfg.Seed, InitialList: listOf(cfg.Known, true), Log: journal,
		Caller: caller{endpoints}, Notifier: notifier{reporter}, Logger: logger, Sampler: samples, DrainTimeout: drainFor, ClientGrace: settleFor,
		Long: long,
	}
	if remembered != nil {
		learned := remembered.Learned()
		setup.Learned, setup.EndedBefore = &learned, remembered.Ended
	}
	var part fleet
	if own.Cluster != nil {
		part, err = insist(logger, "cluster", func() (fleet, error) { return openFleet(own, cfg, logger) })
		if err != nil {
			return err
		}
		defer part.Close()
		journal.Tap(part.Tap)
		setup.Replication, setup.Steering, setup.Limiter = part, part.Steering(), part.Limiter()
	}
	router, err := routing.New(setup)
	if err != nil {
		return err
	}
	clients := &transport.Clients{Handler: handler{router}, MaxConnections: room * 3 / 4, Streams: passages, Samples: samples}
	counters := func(when string) {
		now, line := router.Counters(), logger.Info()
		if passages != nil {
			line.Object("long calls", passages)
		}
		line.Object("clients", clients.Counters()).Object("endpoints", endpoints.Counters())
		now.Log(line, passages != nil)
		if remembered != nil {
			line.Object("learned", saves(remembered.Saves()))
		}
		if dropped := log.lines.Dropped(); dropped > 0 {
			line.Object("log", droppedLines(dropped))
		}
		line.Msg(when)
	}
	reload := reloader{
		getenv: getenv, state: cfg.State, started: cfg.Told, address: discovery,
		logger: logger.With().Str("part", "reload").Logger(),
	}
	keep := func(ctx context.Context) error {
		if part != nil {
			return part.Run(ctx, router)
		}
		return nil
	}
	save := func(ctx context.Context) {
		if remembered != nil {
			remembered.Run(ctx, time.Duration(own.Learned.Interval), func() memory.Snapshot { return snapshot(router) })
		}
	}
	err = serve(cfg, logger, router, reporter, reload, hup, clients, listener, counters, save, keep, journal.Broken())
	counters("counters at exit")
	return err
}

// fleet is this forwarder's part in a fleet that keeps copies of what each owes; see fleet_on.go.
type fleet interface {
	routing.Replication
	Steering() routing.Steering
	Limiter() routing.Limiter
	Tap(payload []byte)
	Run(ctx context.Context, router *routing.Router) error
	Close() error
}

// shareDescriptors gives the descriptors for connections, those of clients and those to endpoints that are idle. All others are set
// aside, so that whoever fills the table with connections takes none that is needed later: for the program's own files, the
// journal's, connections that are turned away, calls that are out, and long messages. Calls get half of what is left at the most.
func shareDescriptors(cfg *config, long int) (room int, err error) {
	kept := ownFiles + wal.MaxDescriptors + transport.OverflowConnections + long
	left := cfg.Limits.Sockets - kept
	if left < leastRoom {
		return 0, fmt.Errorf("config: limits: %d descriptors are too few, %d of them are not for connections", cfg.Limits.Sockets, kept)
	}
	cfg.Settings.Slots = min(cfg.Settings.Slots, left/2)
	return left - cfg.Settings.Slots, nil
}

// journalOptions puts the settings of the journal in its terms. Without settings it is as the platform tells.
func journalOptions(j *settings.Journal, learned *settings.Learned, l limits) wal.Options {
	o := wal.Options{MaxBytes: int64(l.DiskMB * 1e6)}
	if learned != nil {
		o.OtherBytes = 2 * (int64(learned.Size) + 512) // the old file and the new one
	}
	if j != nil {
		o.Durability, o.SegmentBytes, o.BodyMemory = durabilities[j.Durability], int64(j.Segment), int64(j.Memory)
		if j.Disk > 0 {
			o.MaxBytes = int64(j.Disk)
		}
	}
	return o
}

// openMemory reads what an earlier life has learned; without settings there is no such thing. It comes behind the journal's
// lock of the folder.
func openMemory(own settings.File, cfg config, logger zerolog.Logger) *memory.Memory {
	if own.Learned == nil {
		return nil
	}
	report := func(line string) { logger.Warn().Str("part", "learned").Msg(line) }
	clock, err := bootclock.System()
	if err != nil {
		report(fmt.Sprintf("times go by the wall clock: %v", err))
	}
	o := memory.Options{
		FS: fsys.Dir(cfg.State), Name: cfg.Name, MaxBytes: int64(own.Learned.Size), MaxIDs: own.Learned.MaxIDs,
		Sync: own.Journal != nil && own.Journal.Durability != settings.DurabilityNone, Decay: memory.DefaultDecay,
		Clock: clock, Report: report,
	}
	for _, c := range cfg.Settings.Classes {
		o.IDRetention = max(o.IDRetention, c.DeliveryTimeout)
	}
	if own.Bodies != nil {
		o.IDRetention = max(o.IDRetention, time.Duration(own.Bodies.MaxTimeLeft))
	}
	m := memory.Open(o)
	if l := m.Learned(); len(l.Circuits) > 0 || m.EndedCount() > 0 {
		logger.Info().Str("part", "learned").Int("partners", len(l.Circuits)).Int("ids", m.EndedCount()).Msg("recalled from an earlier life")
	}
	return m
}

// snapshot is what there is to keep now.
func snapshot(router *routing.Router) memory.Snapshot {
	l, ids := router.Learned()
	s := memory.Snapshot{Learned: l}
	for _, id := range ids {
		s.Ended = append(s.Ended, memory.Ended{ID: id.ID, Delivered: id.Delivered, Age: id.Age})
	}
	return s
}

// saves is the counters' group of what was written.
type saves memory.Saves

// MarshalZerologObject writes the group.
func (s saves) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("files", s.Files).Int64("bytes", s.Bytes).Int64("last", s.LastBytes).Int64("failed", s.Failed)
}

var durabilities = map[settings.Durability]store.Durability{
	settings.DurabilityNone: store.SyncNever, settings.DurabilityBatch: store.SyncBatch, settings.DurabilityEach: store.SyncEach,
}

// longBodies puts the settings of long bodies in the parts' terms, and tells how many descriptors they take. Without
// settings there are none.
func longBodies(b *settings.Bodies, l limits) (routing.LongLimits, *transport.Streams, int, error) {
	if b == nil {
		return routing.LongLimits{}, nil, 0, nil
	}
	limits := routing.LongLimits{MaxMessages: b.MaxConcurrent(), Slots: b.Slots, MaxTimeLeft: time.Duration(b.MaxTimeLeft)}
	files := limits.MaxMessages + filesPerLong*limits.Slots
	if files > l.Sockets/2 {
		return limits, nil, 0, fmt.Errorf("settings: bodies.total: %d long messages at once and %d calls take more than half of"+
			" the %d descriptors", limits.MaxMessages, limits.Slots, l.Sockets)
	}
	if share := int64(heapShare * float64(l.MemoryMB<<20)); int64(b.TotalWindowBytes) > share {
		return limits, nil, 0, fmt.Errorf("settings: bodies.total: %d bytes of %d that may be held in all", b.TotalWindowBytes, share)
	}
	return limits, &transport.Streams{MaxBodyBytes: int64(b.MaxBodyBytes), IdleTimeout: time.Duration(b.IdleTimeout), WindowBytes: int(b.WindowBytes)}, files, nil
}

// errBroken ends the process where its supervisor's next start is the way out.
var errBroken = errors.New("journal: a sync has failed")

// serve runs the parts and ends them in order: the clients, the router, then what it still needs.
func serve(cfg config, logger zerolog.Logger, router *routing.Router, reporter *transport.Reporter,
	reload reloader, hup <-chan os.Signal, clients *transport.Clients, listener net.Listener, counters func(string),
	save func(context.Context), keep func(context.Context) error, broken <-chan struct{}) error {
	stop, cancelStop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	usr := make(chan os.Signal, 1)
	signal.Notify(usr, syscall.SIGUSR1)
	defer signal.Stop(usr)
	group, ctx := errgroup.WithContext(stop) // ends with a signal, or with the first part that fails
	after, routerEnded := context.WithCancel(context.WithoutCancel(ctx))
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	ready := make(chan struct{})

	group.Go(func() error {
		defer routerEnded()
		defer stopServing()
		return router.Run(ctx, func() { close(ready) })
	})
	group.Go(func() error { return reporter.Run(after) })
	group.Go(func() error { save(after); return nil })
	group.Go(func() error { return keep(after) })
	group.Go(func() error { return reload.run(after, hup) })
	group.Go(func() error {
		watch := transport.Discovery{
			Address: reload.address, KnownVersion: cfg.since(), Logger: logger, Schedule: cfg.asking(),
			OnList: func(d protocol.List) { router.Learn(listOf(d, false)) },
		}
		return watch.Watch(after)
	})
	group.Go(func() error {
		select {
		case <-broken:
			logger.Error().Str("part", "journal").Msg("a sync has failed: this process ends, and the next goes on with what lasts")
			return errBroken
		case <-after.Done():
			return nil
		}
	})
	group.Go(func() error {
		for {
			select {
			case <-usr:
				counters("counters")
			case <-after.Done():
				return nil
			}
		}
	})
	group.Go(func() error {
		select {
		case <-ready:
		case <-after.Done():
			return nil
		}
		logger.Info().Str("listen", cfg.Listen).Msg("ready")
		defer context.AfterFunc(ctx, func() { time.AfterFunc(stillComing, stopServing) })()
		return clients.Serve(serving, ctx, listener)
	})
	return group.Wait()
}
