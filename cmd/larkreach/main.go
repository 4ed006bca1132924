// Command larkreach is the forwarder: clients submit messages over HTTP, the decision module chooses when and where
// each is sent, and accepted messages survive the process in a journal.
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
	acceptGrace              = 600 * time.Millisecond  // after a stop signal requests are still answered; clients keep sending for 0.4 s
	clientGrace              = 700 * time.Millisecond  // after a stop signal the router runs at least this long
	drainTimeout             = 3300 * time.Millisecond // after a stop signal calls may take this long; the platform kills the process after 3.7 s
	programDescriptors       = 16                      // standard streams, poller, listener, discovery, delivery reports, a reload
	minConnectionDescriptors = 16                      // fewest descriptors for connections with which the program starts
	// descriptorsPerLongCall covers the connection of a long call and a pipe in each direction.
	descriptorsPerLongCall = 5
	// pipelinedDivisor is the total of all windows over what may be held of requests that were read behind long bodies.
	pipelinedDivisor = 4
)

func main() {
	setUpLogging()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // never reset: from here to the exit SIGHUP does not end the process
	signal.Ignore(syscall.SIGXFSZ)     // exceeding the file size limit is an error of the write instead
	signal.Ignore(syscall.SIGPIPE)     // so is writing to a log whose reader has gone
	if err := runCommand(os.Args[1:], streams{os.Stdout, os.Stderr, hup}); err != nil {
		logLastLine(os.Stderr, fmt.Sprintln("larkreach:", err))
		os.Exit(1)
	}
}

// run starts the forwarder and serves until a signal ends it.
func run(getenv func(string) string, log *logOutput, settingsFile settings.File, hup <-chan os.Signal) error {
	cfg, err := retryTransient(log.logger(getenv("ROUTER_NAME")), "configuration", func() (config, error) { return loadConfig(getenv) })
	if err != nil {
		return err
	}
	long, streamConfig, descriptors, err := longBodies(settingsFile.Bodies, cfg.Limits)
	if err != nil {
		return err
	}
	cfg.Settings.LongSlots = long.Slots
	connections, err := allocateDescriptors(&cfg, descriptors)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(cfg.Limits.heapBytes())
	logger := log.logger(cfg.Name)
	if cfg.FleetSizeUnknown {
		logger.Warn().Str("part", "config").Msg("fleet size is not configured, assuming a single forwarder")
	}

	journal, err := retryTransient(logger, "journal", func() (*wal.Log, error) {
		return wal.Open(cfg.StateDir, journalOptions(settingsFile.Journal, settingsFile.Learned, cfg.Limits), func(line string) {
			logger.Warn().Str("part", "journal").Msg(strings.TrimPrefix(line, "journal: "))
		})
	})
	if err != nil {
		return err
	}
	defer journal.Close()

	learnedState := openLearnedState(settingsFile, cfg, logger)
	// The listener accepts no connection before the messages of earlier processes are resumed.
	listener, err := retryTransient(logger, "listener", func() (net.Listener, error) {
		return net.Listen("tcp", cfg.Listen)
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()

	samples := oplog.NewSampler(logger.With().Str("part", "requests").Logger())
	defer samples.Close()
	endpoints := transport.NewEndpoints(cfg.Settings.KeepAlive, cfg.Settings.ConnectTimeout, connections/4)
	endpoints.Samples = samples
	defer endpoints.Close()
	discovery := transport.NewAddress(cfg.Discovery)
	reporter := transport.NewReporter(discovery, logger)
	maxClients := connections * 3 / 4
	windows := windowMemory(settingsFile.Bodies)
	shares := divideMemory(cfg.Limits, maxClients, cfg.Settings.Slots, windows)
	routerConfig := routing.Config{
		Settings: cfg.Settings, Seed: cfg.Seed, InitialList: endpointList(cfg.Known, true), Log: journal,
		Caller: caller{endpoints}, Notifier: notifier{reporter}, Logger: logger, Sampler: samples, DrainTimeout: drainTimeout, ClientGrace: clientGrace,
		Long: long, EndedIDBytes: shares.endedIDs,
	}
	if learnedState != nil {
		learned := learnedState.Learned()
		routerConfig.Learned, routerConfig.EndedBefore = &learned, learnedState.Ended
	}
	var fleetMember fleet
	if settingsFile.Cluster != nil {
		fleetMember, err = retryTransient(logger, "cluster", func() (fleet, error) { return openFleet(settingsFile, cfg, logger) })
		if err != nil {
			return err
		}
		defer fleetMember.Close()
		journal.Tap(fleetMember.Tap)
		routerConfig.Replication, routerConfig.Steering, routerConfig.Limiter = fleetMember, fleetMember.Steering(), fleetMember.Limiter()
	}
	router, err := routing.New(routerConfig)
	if err != nil {
		return err
	}
	clients := &transport.Clients{
		Handler: handler{router}, MaxConnections: maxClients, Streams: streamConfig, Samples: samples, RequestMemory: &transport.RequestMemory{},
	}
	clients.RequestMemory.SetLimit(shares.requests)
	limitsInForce := cfg.Limits
	applyLimits := func(l limits) {
		if l == limitsInForce {
			return
		}
		limitsInForce = l
		debug.SetMemoryLimit(l.heapBytes())
		now := divideMemory(l, maxClients, cfg.Settings.Slots, windows)
		clients.RequestMemory.SetLimit(now.requests)
		router.LimitEndedIDs(now.endedIDs)
		logger.Info().Str("part", "reload").Int64("memory_mb", l.MemoryMB).Int64("request_bytes", now.requests).
			Int64("ended_id_bytes", now.endedIDs).Msg("limits applied")
	}
	logCounters := func(when string) {
		routerCounters, line := router.Counters(), logger.Info()
		if streamConfig != nil {
			line.Object("long calls", streamConfig)
		}
		line.Object("clients", clients.Counters()).Object("endpoints", endpoints.Counters())
		routerCounters.Log(line, streamConfig != nil)
		if learnedState != nil {
			line.Object("learned", saveCounters(learnedState.Saves()))
		}
		if dropped := log.lines.Dropped(); dropped > 0 {
			line.Object("log", droppedLines(dropped))
		}
		line.Msg(when)
	}
	reload := reloader{
		getenv: getenv, stateDir: cfg.StateDir, startAddress: cfg.ConfiguredDiscovery, address: discovery, applyLimits: applyLimits,
		logger: logger.With().Str("part", "reload").Logger(),
	}
	runFleet := func(ctx context.Context) error {
		if fleetMember != nil {
			return fleetMember.Run(ctx, router)
		}
		return nil
	}
	saveLearned := func(ctx context.Context) {
		if learnedState != nil {
			learnedState.Run(ctx, time.Duration(settingsFile.Learned.Interval), func() memory.Snapshot { return learnedSnapshot(router) })
		}
	}
	err = serve(cfg, logger, router, reporter, reload, hup, clients, listener, logCounters, saveLearned, runFleet, journal.Broken())
	logCounters("counters at exit")
	return err
}

// fleet is this forwarder's membership in a fleet whose members replicate each other's messages; fleet_on.go opens it.
type fleet interface {
	routing.Replication
	Steering() routing.Steering
	Limiter() routing.Limiter
	Tap(payload []byte)
	Run(ctx context.Context, router *routing.Router) error
	Close() error
}

// allocateDescriptors returns the number of descriptors for connections of clients and for idle connections to
// endpoints. All other descriptors are reserved, so that a flood of connections cannot take those that are needed
// later: for the program's own files, the journal, connections over the limit that are refused, calls in flight, and
// long messages. Calls in flight get at most half of the rest.
func allocateDescriptors(cfg *config, longDescriptors int) (connections int, err error) {
	reserved := programDescriptors + wal.MaxDescriptors + transport.OverflowConnections + longDescriptors
	available := cfg.Limits.Sockets - reserved
	if available < minConnectionDescriptors {
		return 0, fmt.Errorf("config: limits: %d descriptors are too few, %d of them are reserved for other uses than connections", cfg.Limits.Sockets, reserved)
	}
	cfg.Settings.Slots = min(cfg.Settings.Slots, available/2)
	return available - cfg.Settings.Slots, nil
}

// journalOptions converts the journal settings. Without settings the platform's disk limit applies.
func journalOptions(j *settings.Journal, learned *settings.Learned, l limits) wal.Options {
	o := wal.Options{MaxBytes: int64(l.DiskMB * 1e6)}
	if learned != nil {
		o.OtherBytes = 2 * (int64(learned.Size) + 512) // the old file and its replacement
	}
	if j != nil {
		o.Durability, o.SegmentBytes, o.BodyMemory = durabilities[j.Durability], int64(j.Segment), int64(j.Memory)
		if j.Disk > 0 {
			o.MaxBytes = int64(j.Disk)
		}
	}
	return o
}

// openLearnedState reads the state that earlier processes learned; without [learned] settings it returns nil. It must
// run after the journal has locked the folder.
func openLearnedState(settingsFile settings.File, cfg config, logger zerolog.Logger) *memory.Memory {
	if settingsFile.Learned == nil {
		return nil
	}
	report := func(line string) { logger.Warn().Str("part", "learned").Msg(line) }
	clock, err := bootclock.System()
	if err != nil {
		report(fmt.Sprintf("times go by the wall clock: %v", err))
	}
	o := memory.Options{
		FS: fsys.Dir(cfg.StateDir), Name: cfg.Name, MaxBytes: int64(settingsFile.Learned.Size), MaxIDs: settingsFile.Learned.MaxIDs,
		Sync: settingsFile.Journal != nil && settingsFile.Journal.Durability != settings.DurabilityNone, Decay: memory.DefaultDecay,
		Clock: clock, Report: report,
	}
	for _, c := range cfg.Settings.Classes {
		o.IDRetention = max(o.IDRetention, c.DeliveryTimeout)
	}
	if settingsFile.Bodies != nil {
		o.IDRetention = max(o.IDRetention, time.Duration(settingsFile.Bodies.MaxTimeLeft))
	}
	m := memory.Open(o)
	if l := m.Learned(); len(l.Circuits) > 0 || m.EndedCount() > 0 {
		logger.Info().Str("part", "learned").Int("partners", len(l.Circuits)).Int("ids", m.EndedCount()).Msg("state restored from an earlier process")
	}
	return m
}

// learnedSnapshot returns the learned state to save now.
func learnedSnapshot(router *routing.Router) memory.Snapshot {
	l, ids := router.Learned()
	s := memory.Snapshot{Learned: l}
	for _, id := range ids {
		s.Ended = append(s.Ended, memory.Ended{ID: id.ID, Delivered: id.Delivered, Age: id.Age})
	}
	return s
}

// saveCounters is the "learned" group of the counters: the saves of learned state.
type saveCounters memory.Saves

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s saveCounters) MarshalZerologObject(e *zerolog.Event) {
	e.Int64("files", s.Files).Int64("bytes", s.Bytes).Int64("last", s.LastBytes).Int64("failed", s.Failed)
}

var durabilities = map[settings.Durability]store.Durability{
	settings.DurabilityNone: store.SyncNever, settings.DurabilityBatch: store.SyncBatch, settings.DurabilityEach: store.SyncEach,
}

// longBodies converts the settings of long bodies and returns the number of descriptors that they need. Without
// settings long bodies are off.
func longBodies(b *settings.Bodies, l limits) (routing.LongLimits, *transport.Streams, int, error) {
	if b == nil {
		return routing.LongLimits{}, nil, 0, nil
	}
	limits := routing.LongLimits{MaxMessages: b.MaxConcurrent(), Slots: b.Slots, MaxTimeLeft: time.Duration(b.MaxTimeLeft)}
	descriptors := limits.MaxMessages + descriptorsPerLongCall*limits.Slots
	if descriptors > l.Sockets/2 {
		return limits, nil, 0, fmt.Errorf("settings: bodies.total: %d long messages at once and %d calls take more than half of"+
			" the %d descriptors", limits.MaxMessages, limits.Slots, l.Sockets)
	}
	if heapBytes := l.heapBytes(); int64(b.TotalWindowBytes) > heapBytes {
		return limits, nil, 0, fmt.Errorf("settings: bodies.total: %d bytes of at most %d", b.TotalWindowBytes, heapBytes)
	}
	return limits, &transport.Streams{
		MaxBodyBytes: int64(b.MaxBodyBytes), IdleTimeout: time.Duration(b.IdleTimeout), WindowBytes: int(b.WindowBytes),
		MaxPipelinedBytes: int64(b.TotalWindowBytes) / pipelinedDivisor,
	}, descriptors, nil
}

// errSyncFailed ends the process after a failed sync: only a restart by its supervisor can recover.
var errSyncFailed = errors.New("journal: a sync has failed; a restart is required")

// serve runs all components and stops them in order: the client listener, the router, then the components that the
// router needs until its end.
func serve(cfg config, logger zerolog.Logger, router *routing.Router, reporter *transport.Reporter,
	reload reloader, hup <-chan os.Signal, clients *transport.Clients, listener net.Listener, logCounters func(string),
	saveLearned func(context.Context), runFleet func(context.Context) error, broken <-chan struct{}) error {
	stop, cancelStop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	usr := make(chan os.Signal, 1)
	signal.Notify(usr, syscall.SIGUSR1)
	defer signal.Stop(usr)
	group, ctx := errgroup.WithContext(stop) // done on a signal, or when the first component fails
	after, routerEnded := context.WithCancel(context.WithoutCancel(ctx))
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	ready := make(chan struct{})

	group.Go(func() error {
		defer routerEnded()
		defer stopServing()
		return router.Run(ctx, func() { close(ready) })
	})
	group.Go(func() error { return reporter.Run(after) })
	group.Go(func() error { saveLearned(after); return nil })
	group.Go(func() error { return runFleet(after) })
	group.Go(func() error { return reload.run(after, hup) })
	group.Go(func() error {
		watch := transport.Discovery{
			Address: reload.address, KnownVersion: cfg.initialVersion(), Logger: logger, Schedule: cfg.pollSchedule(),
			OnList: func(d protocol.List) { router.Learn(endpointList(d, false)) },
		}
		return watch.Watch(after)
	})
	group.Go(func() error {
		select {
		case <-broken:
			logger.Error().Str("part", "journal").Msg("a sync has failed: this process ends, and the next goes on with what lasts")
			return errSyncFailed
		case <-after.Done():
			return nil
		}
	})
	group.Go(func() error {
		for {
			select {
			case <-usr:
				logCounters("counters")
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
		defer context.AfterFunc(ctx, func() { time.AfterFunc(acceptGrace, stopServing) })()
		return clients.Serve(serving, ctx, listener)
	})
	return group.Wait()
}
