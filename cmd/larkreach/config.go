package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"

	mb "mulleinbeam"
	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/transport"
	"mulleinbeam/internal/wire"
)

// config is what the forwarder is told.
type config struct {
	Name      string
	Listen    string
	Discovery string // where it is at a start
	Told      string // what the environment says of that, or else the file
	Filed     string // what the file says
	State     string
	Seed      uint64
	Limits    limits
	Known     protocol.List
	Settings  mb.Settings
	Alone     bool // no usable size of the fleet was told
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// defaults stand for limits that are not told: those of a scored day.
var defaults = limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}

const (
	leastSockets = 32
	worthless    = 1e-3 // of the least worth that a class has: that of one which has none
	askingStream = 1    // of random numbers, beside the module's
)

// loadConfig reads the environment and the file that it names.
func loadConfig(getenv func(string) string) (config, error) {
	var c config
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return c, errors.New("config: ROUTER_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	file := struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}{Limits: defaults}
	if err := json.Unmarshal(raw, &file); err != nil {
		return c, fmt.Errorf("config: %s: %w", path, err)
	}
	c = config{
		Name: told(getenv("ROUTER_NAME"), file.Name), Listen: told(getenv("ROUTER_LISTEN"), file.Listen),
		Filed: file.Discovery, State: getenv("ROUTER_STATE"), Limits: file.Limits, Known: protocol.List{Index: -1},
	}
	c.Told = told(getenv("ROUTER_DISCOVERY"), c.Filed)
	if c.Discovery, err = atStart(c.State, c.Told, c.Filed); err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	for _, need := range []struct{ name, value string }{
		{"ROUTER_LISTEN", c.Listen}, {"ROUTER_DISCOVERY", c.Discovery}, {"ROUTER_STATE", c.State},
	} {
		if need.value == "" {
			return c, fmt.Errorf("config: %s is not set", need.name)
		}
	}
	if l := (syscall.Rlimit{}); syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil { // none can be had beyond these
		c.Limits.Sockets = int(min(uint64(max(0, c.Limits.Sockets)), l.Cur))
	}
	if c.Limits.MemoryMB <= 0 || c.Limits.Sockets < leastSockets || c.Limits.DiskMB <= 0 || c.Limits.Cores <= 0 {
		return c, fmt.Errorf("config: limits %+v can't be kept", c.Limits)
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("config: seed: %w", err)
	}
	if len(file.Known) > 0 {
		if c.Known, err = protocol.ParseList(file.Known); err != nil {
			return c, fmt.Errorf("config: known: %w", err)
		}
	}
	if c.Settings, err = wire.ParseSettings(file.Settings); err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	if c.Settings.Forwarders < 1 { // one that does not know of others decides as if it were alone
		c.Settings.Forwarders, c.Alone = 1, true
	}
	clear(c.Settings.BatchByKind) // each message is a call of its own here, and takes a slot
	weighClasses(c.Settings.Classes)
	if err := c.Settings.Validate(); err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

// weighClasses gives classes without a worth one: the module sends nothing that is worth nothing, and what was taken on is owed
// to its client whatever it is worth. It comes behind all others; where none has a worth, all have the same.
func weighClasses(classes []mb.Class) {
	least := 0.0
	for _, c := range classes {
		if c.Worth > 0 && (least == 0 || c.Worth < least) {
			least = c.Worth
		}
	}
	for i := range classes {
		if classes[i].Worth == 0 {
			classes[i].Worth = least * worthless
			if least == 0 {
				classes[i].Worth = 1
			}
		}
	}
}

// asking says when discovery is asked, by the size of the fleet that asks it.
func (c config) asking() transport.PollSchedule {
	within := c.Settings.SubscribeWithin
	if !c.Settings.MustSubscribe {
		within = 0
	}
	return transport.NewPollSchedule(c.Settings.Forwarders, within, rand.New(rand.NewPCG(c.Seed, askingStream)).Float64)
}

// since is the version from which discovery is asked for changes. Where each line of a list costs it something, that is the
// known list's, as long as discovery has not moved; else none, since the known list's version may be another address's.
func (c config) since() int64 {
	if c.Settings.MustSubscribe && c.Discovery == c.Told {
		return c.Known.Index
	}
	return -1
}

func told(first, second string) string {
	if first != "" {
		return first
	}
	return second
}
