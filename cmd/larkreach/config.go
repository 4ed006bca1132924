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

// config is the platform's configuration of this forwarder: the file at ROUTER_CONFIG and the environment.
type config struct {
	Name                string
	Listen              string
	Discovery           string // address to use at the start
	ConfiguredDiscovery string // ROUTER_DISCOVERY, or else the address in the file
	FileDiscovery       string // address in the file
	StateDir            string
	Seed                uint64
	Limits              limits
	Known               protocol.List
	Settings            mb.Settings
	FleetSizeUnknown    bool // the configuration has no usable fleet size
}

// limits are the resources that the process may use.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// defaultLimits apply where the file has none; they are the limits of the platform's scored runs.
var defaultLimits = limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}

const (
	minSockets         = 32
	missingWorthFactor = 1e-3 // worth of a class without one, as a fraction of the lowest worth
	pollRandomStream   = 1    // stream of the random number generator; the decision module uses another
)

// loadConfig reads the environment and the file that ROUTER_CONFIG names.
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
	}{Limits: defaultLimits}
	if err := json.Unmarshal(raw, &file); err != nil {
		return c, fmt.Errorf("config: %s: %w", path, err)
	}
	c = config{
		Name: firstNonEmpty(getenv("ROUTER_NAME"), file.Name), Listen: firstNonEmpty(getenv("ROUTER_LISTEN"), file.Listen),
		FileDiscovery: file.Discovery, StateDir: getenv("ROUTER_STATE"), Limits: file.Limits, Known: protocol.List{Index: -1},
	}
	c.ConfiguredDiscovery = firstNonEmpty(getenv("ROUTER_DISCOVERY"), c.FileDiscovery)
	if c.Discovery, err = addressAtStart(c.StateDir, c.ConfiguredDiscovery, c.FileDiscovery); err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	for _, required := range []struct{ name, value string }{
		{"ROUTER_LISTEN", c.Listen}, {"ROUTER_DISCOVERY", c.Discovery}, {"ROUTER_STATE", c.StateDir},
	} {
		if required.value == "" {
			return c, fmt.Errorf("config: %s is not set", required.name)
		}
	}
	// No more descriptors can be opened than the limit of the process.
	if l := (syscall.Rlimit{}); syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil {
		c.Limits.Sockets = int(min(uint64(max(0, c.Limits.Sockets)), l.Cur))
	}
	if c.Limits.MemoryMB <= 0 || c.Limits.Sockets < minSockets || c.Limits.DiskMB <= 0 || c.Limits.Cores <= 0 {
		return c, fmt.Errorf("config: limits %+v are out of range", c.Limits)
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
	if c.Settings.Forwarders < 1 { // without a fleet size, decide as a single forwarder
		c.Settings.Forwarders, c.FleetSizeUnknown = 1, true
	}
	clear(c.Settings.BatchByKind) // here each message is a separate call and takes a slot
	setMissingWorth(c.Settings.Classes)
	if err := c.Settings.Validate(); err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

// setMissingWorth gives a worth to classes without one: the decision module never sends messages of worth 0, but each
// accepted message has to be delivered whatever its worth. Such classes rank below all others; if no class has a worth,
// all get the same.
func setMissingWorth(classes []mb.Class) {
	minWorth := 0.0
	for _, c := range classes {
		if c.Worth > 0 && (minWorth == 0 || c.Worth < minWorth) {
			minWorth = c.Worth
		}
	}
	for i := range classes {
		if classes[i].Worth == 0 {
			classes[i].Worth = minWorth * missingWorthFactor
			if minWorth == 0 {
				classes[i].Worth = 1
			}
		}
	}
}

// pollSchedule returns the schedule of discovery requests, which depends on the size of the fleet.
func (c config) pollSchedule() transport.PollSchedule {
	within := c.Settings.SubscribeWithin
	if !c.Settings.MustSubscribe {
		within = 0
	}
	return transport.NewPollSchedule(c.Settings.Forwarders, within, rand.New(rand.NewPCG(c.Seed, pollRandomStream)).Float64)
}

// initialVersion returns the list version after which changes are first requested from discovery. With mandatory
// subscription, where each transferred list entry has a cost, it is the known list's version, unless the discovery
// address has moved. Otherwise it is -1 for the whole list, since the known list's version may belong to another
// address.
func (c config) initialVersion() int64 {
	if c.Settings.MustSubscribe && c.Discovery == c.ConfiguredDiscovery {
		return c.Known.Index
	}
	return -1
}

// firstNonEmpty returns first, or second if first is empty.
func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}
