package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/transport"
)

// movedAddressFile is the file in the state folder that records a reload for the next process. It is small, and the
// journal's disk reserve covers it.
const movedAddressFile = "discovery.json"

// discoveryMove records that a reload replaced the discovery address with which this process started. The environment
// of the next start may still contain the old address, although nothing answers there any more.
type discoveryMove struct {
	From string `json:"from"` // the address configured at the start
	To   string `json:"to"`
}

// addressAtStart returns the discovery address to use at a start. The configured address (ROUTER_DISCOVERY, or else the
// configuration file's) applies unless a reload has replaced exactly that address: then the configuration file's
// address applies, or the one recorded by the reload if the file has none. Only transient errors are returned.
func addressAtStart(stateDir, configured, inFile string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(stateDir, movedAddressFile))
	if err != nil && isTransient(err) {
		return "", err
	}
	var m discoveryMove
	if err != nil || json.Unmarshal(raw, &m) != nil || m.From != configured {
		return configured, nil
	}
	if inFile != "" {
		return inFile, nil
	}
	return m.To, nil
}

// recordMove stores a reload's address change for the next process.
func recordMove(stateDir string, m discoveryMove) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return err
	}
	name := filepath.Join(stateDir, movedAddressFile)
	if err := os.WriteFile(name+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// reloader re-reads the configuration on each SIGHUP and switches to the discovery address that it names.
type reloader struct {
	getenv       func(string) string
	stateDir     string
	startAddress string // discovery address at the start: ROUTER_DISCOVERY, or else the configuration file's
	address      *transport.Address
	applyLimits  func(limits) // applies those of the limits that can change while the program runs
	logger       zerolog.Logger
}

const (
	connectRetryInterval = time.Second            // between attempts to connect to the new address, or to record the change
	fileRetryInterval    = 100 * time.Millisecond // between attempts to read a file that fails with a transient error
)

// pendingReload holds the steps that remain of a reload, or of several reloads in succession.
type pendingReload struct {
	readFile, recordMove, connect bool
	target                        string // discovery address in the configuration file, set once the file is read
	logged                        bool   // the failure has been logged, so retries log nothing
}

// run handles reloads until ctx ends. An unusable file is logged, and the previous configuration stays in force. It
// also stays while the new address accepts no connection: connecting is retried without further log lines, since
// discovery may come up only after its new address is announced. Transient errors are retried as well.
func (r reloader) run(ctx context.Context, hup <-chan os.Signal) error {
	var pending pendingReload
	var retry <-chan time.Time
	for {
		select {
		case <-hup:
			pending.readFile, pending.logged = true, pending.logged && pending.connect
		case <-retry:
		case <-ctx.Done():
			return nil
		}
		retry = nil
		if pause := r.advance(ctx, &pending); pause > 0 {
			retry = time.After(pause)
		}
	}
}

// advance runs the pending steps of a reload and returns the pause before the next attempt; 0 means that nothing is
// left.
func (r reloader) advance(ctx context.Context, pending *pendingReload) (pause time.Duration) {
	if pending.readFile {
		to, newLimits, err := r.readConfig()
		if err != nil && isTransient(err) {
			r.logNotApplied(pending, err)
			return fileRetryInterval
		}
		if pending.readFile = false; err != nil {
			r.logger.Warn().Err(err).Msg("new configuration not used, keeping the previous one")
		} else {
			pending.target, pending.recordMove, pending.connect = to, true, true
			r.applyLimits(newLimits)
		}
	}
	if pending.recordMove {
		if err := recordMove(r.stateDir, discoveryMove{From: r.startAddress, To: pending.target}); err != nil {
			r.logger.Warn().Str("address", r.startAddress).Err(err).Msg("recording the discovery address failed: a restart may use the old one")
			pause = connectRetryInterval
		} else {
			pending.recordMove = false
		}
	}
	if pending.connect && !r.connect(ctx, pending) {
		pause = connectRetryInterval
	}
	return pause
}

// connect switches to the target address. It returns false if the address accepts no connection.
func (r reloader) connect(ctx context.Context, pending *pendingReload) bool {
	switched, err := r.address.MoveIfReachable(ctx, pending.target)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			r.logNotApplied(pending, err)
		}
		return false
	case switched:
		r.logger.Info().Str("address", pending.target).Msg("discovery has moved")
	default:
		r.logger.Info().Str("address", pending.target).Msg("discovery address unchanged")
	}
	pending.connect = false
	return true
}

// logNotApplied logs, once for each reload, that the new configuration is not in force yet.
func (r reloader) logNotApplied(pending *pendingReload, err error) {
	if !pending.logged {
		pending.logged = true
		r.logger.Warn().Err(err).Msg("new configuration not used, keeping the previous one")
	}
}

// readConfig returns the discovery address and the limits in the configuration file.
func (r reloader) readConfig() (address string, newLimits limits, err error) {
	cfg, err := loadConfig(r.getenv)
	if err != nil {
		return "", limits{}, err
	}
	if _, port, err := net.SplitHostPort(cfg.FileDiscovery); err != nil || port == "" {
		return "", limits{}, fmt.Errorf("config: discovery %q is not a HOST:PORT address", cfg.FileDiscovery)
	}
	return cfg.FileDiscovery, cfg.Limits, nil
}
