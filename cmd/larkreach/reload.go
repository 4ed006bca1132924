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

// movedName is the file in the state folder that tells the next life of a reload. It is small and counted in the
// journal's slack.
const movedName = "discovery.json"

// moved says that a reload has replaced the address which this program was started with. The environment of the next
// start may still name that one, though it is gone.
type moved struct {
	From string `json:"from"` // what the start had told
	To   string `json:"to"`
}

// atStart gives discovery's address at a start. The environment's comes first, unless a reload has replaced just that
// one: then the file's does, and without one the address that the reload had found. Its error is one that may pass.
func atStart(state, told, filed string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(state, movedName))
	if err != nil && passes(err) {
		return "", err
	}
	var m moved
	if err != nil || json.Unmarshal(raw, &m) != nil || m.From != told {
		return told, nil
	}
	if filed != "" {
		return filed, nil
	}
	return m.To, nil
}

// remember leaves word of a reload for the next life.
func remember(state string, m moved) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return err
	}
	name := filepath.Join(state, movedName)
	if err := os.WriteFile(name+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// reloader reads the configuration again at each SIGHUP.
type reloader struct {
	getenv  func(string) string
	state   string
	started string // discovery's address as the environment, or else the file, told it at the start
	address *transport.Address
	logger  zerolog.Logger
}

const (
	reachAgain = time.Second            // the pause between two tries of an address that takes no connection
	fileAgain  = 100 * time.Millisecond // and between two of a file that cannot be read or written for a moment
)

// reload is what is left to do of one, or of several that came one behind the other.
type reload struct {
	read, remember, reach bool
	wanted                string // the address that the file names, once it is read
	told                  bool   // a line tells that it is tried again
}

// run serves until ctx ends. A file that can't be used is logged, and what was told before stands. So it does while the address
// that a file names takes no connection: that is tried again without a further line, since discovery may come up there
// behind its announcement. What fails only for a moment is tried again as well.
func (r reloader) run(ctx context.Context, hup <-chan os.Signal) error {
	var left reload
	var again <-chan time.Time
	for {
		select {
		case <-hup:
			left.read, left.told = true, left.told && left.reach
		case <-again:
		case <-ctx.Done():
			return nil
		}
		again = nil
		if pause := r.proceed(ctx, &left); pause > 0 {
			again = time.After(pause)
		}
	}
}

// proceed does what can be done of a reload, and gives the pause before the next try; 0 is that nothing is left.
func (r reloader) proceed(ctx context.Context, left *reload) (pause time.Duration) {
	if left.read {
		to, err := r.read()
		if err != nil && passes(err) {
			r.unused(left, err)
			return fileAgain
		}
		if left.read = false; err != nil {
			r.logger.Warn().Err(err).Msg("not used, the old configuration stands")
		} else {
			left.wanted, left.remember, left.reach = to, true, true
		}
	}
	if left.remember {
		if err := remember(r.state, moved{From: r.started, To: left.wanted}); err != nil {
			r.logger.Warn().Str("address", r.started).Err(err).Msg("a restart may go back")
			pause = reachAgain
		} else {
			left.remember = false
		}
	}
	if left.reach && !r.reach(ctx, left) {
		pause = reachAgain
	}
	return pause
}

// reach turns to the address that is wanted; false says that it takes no connection.
func (r reloader) reach(ctx context.Context, left *reload) bool {
	moved, err := r.address.MoveIfReachable(ctx, left.wanted)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			r.unused(left, err)
		}
		return false
	case moved:
		r.logger.Info().Str("address", left.wanted).Msg("discovery has moved")
	default:
		r.logger.Info().Str("address", left.wanted).Msg("discovery stays")
	}
	left.reach = false
	return true
}

// unused logs, once for a reload, that it is not in force yet.
func (r reloader) unused(left *reload, err error) {
	if !left.told {
		left.told = true
		r.logger.Warn().Err(err).Msg("not used, the old configuration stands")
	}
}

// read gives the address that the file names.
func (r reloader) read() (string, error) {
	cfg, err := loadConfig(r.getenv)
	if err != nil {
		return "", err
	}
	if _, port, err := net.SplitHostPort(cfg.Filed); err != nil || port == "" {
		return "", fmt.Errorf("config: discovery %q is no address", cfg.Filed)
	}
	return cfg.Filed, nil
}
