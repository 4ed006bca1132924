// Package scenario parses and checks the laboratory's scenario files. A scenario describes a fleet of forwarders,
// destinations, traffic, scheduled faults and the settings under test in one TOML file.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration that is written as text such as 20s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Scenario is the content of a scenario file.
type Scenario struct {
	Name               string             `toml:"name"`
	Length             Duration           `toml:"length"` // of the traffic; messages held at its end still end
	Fleet              Fleet              `toml:"fleet"`
	Destinations       []DestinationGroup `toml:"partners"`
	Classes            []Class            `toml:"classes"`
	Traffic            Traffic            `toml:"traffic"`
	Faults             []Fault            `toml:"faults"`
	Rules              Rules              `toml:"rules"`
	Learned            Learned            `toml:"learned"`
	Copies             Copies             `toml:"copies"`
	DisabledSafeguards []Safeguard        `toml:"without"` // safeguards that are switched off
}

// Safeguard names a check of the forwarder that a run can switch off, to show that its rule is violated without it.
type Safeguard string

// The safeguards. The first two are checked once a call's connection is up, before its first byte is written.
const (
	SafeguardKeyTTL     Safeguard = "window"      // a repeated call starts only before its idempotency key expires
	SafeguardRetryAfter Safeguard = "wait"        // no call starts within a retry-after received while it connects
	SafeguardOutAtKill  Safeguard = "out-at-kill" // a call in progress at a kill may have run, for all later incarnations
)

// Fleet describes the forwarders.
type Fleet struct {
	Forwarders           int `toml:"forwarders"`
	ConfiguredForwarders int `toml:"told"` // fleet size in the forwarders' settings; 0 means Forwarders
	Slots                int `toml:"slots"`
	MostHeld             int `toml:"most-held"`
}

// DestinationGroup describes a number of identical destinations.
type DestinationGroup struct {
	Count         int          `toml:"count"`
	Endpoints     int          `toml:"endpoints"` // per destination
	Capacity      float64      `toml:"capacity"`  // calls per second of one destination
	CapacityHint  float64      `toml:"hint"`      // hint in discovery, as a share of Capacity; 0 means no hint
	ServiceTime   Distribution `toml:"service"`   // service time of a call, in milliseconds
	Limit         float64      `toml:"limit"`     // rate limit in calls per second; 0 means no limit
	RefusalsCount bool         `toml:"counts"`    // whether refused calls count towards the limit
	RetryAfter    Duration     `toml:"tells"`     // retry-after sent with a refusal; 0 sends none
	ResetShare    float64      `toml:"resets"`    // share of calls whose connection is reset before the answer
}

// Distribution selects a probability distribution by its kind, mean and spread.
type Distribution struct {
	Kind   string  `toml:"kind"`   // constant, exponential, lognormal, gamma, uniform
	Mean   float64 `toml:"mean"`   // must be positive
	Spread float64 `toml:"spread"` // standard deviation divided by the mean; ignored for constant and exponential
}

// Class describes a message class.
type Class struct {
	Name            string   `toml:"name"`
	Effect          string   `toml:"effect"` // safe, keyed, unsafe
	Share           float64  `toml:"share"`
	Worth           float64  `toml:"worth"`
	Target          Duration `toml:"target"`
	DeliveryTimeout Duration `toml:"give-up"`
	KeyTTL          Duration `toml:"key-ttl"`
}

// LateWorth is the share of its worth that a message keeps at its deadline.
const LateWorth = 0.4

// WorthAt returns the worth of a delivery at an age, and whether it is within the target latency. After the target the
// worth decreases linearly and reaches the share LateWorth at the deadline.
func (c Class) WorthAt(age time.Duration) (worth float64, inTime bool) {
	if age <= c.Target.D() {
		return c.Worth, true
	}
	late := (age - c.Target.D()).Seconds() / max(1e-3, (c.DeliveryTimeout-c.Target).D().Seconds())
	return c.Worth * (1 - (1-LateWorth)*min(1, late)), false
}

// Traffic describes the messages that clients submit.
type Traffic struct {
	Rate            float64 `toml:"rate"`    // messages per second over all forwarders
	DestinationSkew float64 `toml:"skew"`    // the nth destination has the weight n^-skew
	ForwarderSkew   float64 `toml:"uneven"`  // the nth forwarder has the weight n^-uneven
	MaxRetries      int     `toml:"returns"` // how often a client submits again after a refusal
}

// Fault is a fault that is injected at a time of the run.
type Fault struct {
	At              Duration `toml:"at"`
	Duration        Duration `toml:"for"`
	Kind            string   `toml:"kind"`
	Share           float64  `toml:"share"` // share of the destinations or forwarders that are affected
	Factor          float64  `toml:"by"`    // factor on load, limits or service times
	MinDowntime     Duration `toml:"back"`  // killed forwarders restart after MinDowntime
	MaxDowntime     Duration `toml:"until"` // to MaxDowntime
	FolderLossShare float64  `toml:"lose"`  // probability that a killed forwarder loses its folder
	ConnectTime     Duration `toml:"takes"` // time to set up a connection
}

// The kinds of faults.
const (
	Outage  = "outage"  // destinations refuse connections and are cold on recovery
	Silence = "silence" // destinations accept calls without answering and are cold on recovery
	Shut    = "shut"    // destinations refuse all calls and are cold on recovery
	Errors  = "errors"  // destinations answer all calls with an error and are cold on recovery
	Slow    = "slow"    // service times are multiplied by Factor
	Limit   = "limit"   // rate limits are multiplied by Factor
	Load    = "load"    // traffic is multiplied by Factor
	Kill    = "kill"    // forwarders are killed
	Connect = "connect" // setting up a connection to a destination takes ConnectTime
	Drain   = "drain"   // one endpoint of each destination is drained and replaced by another
)

// Rules describes how destinations recover from an outage and when a cold destination is overloaded.
type Rules struct {
	ColdFrom   float64  `toml:"cold-from"`   // share of the capacity that a destination has on recovery
	WarmWithin Duration `toml:"warm-within"` // time from recovery to full capacity
	// OverloadFactor is the number of calls within OverloadWindow, over the current capacity in that time, above which a
	// cold destination is overloaded and goes down.
	OverloadFactor   float64  `toml:"overload"`
	OverloadWindow   Duration `toml:"tip-after"`
	OverloadDowntime Duration `toml:"tip-for"` // how long an overloaded destination is down
	// ChanceFactor allows for random bursts: ChanceFactor * (sqrt(n) + 1) calls above the tolerated number n do not
	// count as an overload. 0 allows one call.
	ChanceFactor float64 `toml:"chance"`
}

// Learned configures whether learned state survives a kill.
type Learned struct {
	Enabled      bool     `toml:"keep"`
	SaveInterval Duration `toml:"interval"` // time between two saves
}

// Copies configures whether other forwarders hold copies of a forwarder's messages and take them over.
type Copies struct {
	Enabled bool `toml:"keep"`
	// TakeoverDelay is the time from a kill until another forwarder takes over, unless the forwarder has restarted with
	// its folder by then.
	TakeoverDelay    Duration `toml:"takeover"`
	ReplicationDelay Duration `toml:"ahead"` // delay until a message is replicated and accepted
}

// defaults returns the values of keys that a file omits.
func defaults() Scenario {
	return Scenario{
		Length: Duration(time.Minute), Fleet: Fleet{Forwarders: 4, Slots: 24, MostHeld: 400},
		Rules: Rules{
			ColdFrom: 0.3, WarmWithin: Duration(14 * time.Second), OverloadFactor: 1.5, OverloadWindow: Duration(1500 * time.Millisecond), OverloadDowntime: Duration(4 * time.Second),
		},
		Traffic: Traffic{MaxRetries: 2}, Learned: Learned{SaveInterval: Duration(2 * time.Second)}, Copies: Copies{TakeoverDelay: Duration(2 * time.Second), ReplicationDelay: Duration(time.Millisecond)},
	}
}

// Read parses the scenario file at path.
func Read(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, raw)
}

// Parse parses the content of a scenario file; path appears in errors, with the line.
func Parse(path string, raw []byte) (Scenario, error) {
	s := defaults()
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case errors.As(err, &unknown) && len(unknown.Errors) > 0:
			line, _ := unknown.Errors[0].Position()
			return s, fmt.Errorf("scenario: %s:%d: %s: no such key", path, line, strings.Join(unknown.Errors[0].Key(), "."))
		case errors.As(err, &wrong):
			line, _ := wrong.Position()
			return s, fmt.Errorf("scenario: %s:%d: %w", path, line, err)
		}
		return s, fmt.Errorf("scenario: %s: %w", path, err)
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("scenario: %s: %w", path, err)
	}
	return s, nil
}

// Check returns an error if the scenario is incomplete or a value is out of range.
func (s Scenario) Check() error {
	bad := func(format string, args ...any) error { return fmt.Errorf(format, args...) }
	if s.Length <= 0 || s.Length.D() > 24*time.Hour {
		return bad("length: %v is not between 0 and 24h", s.Length.D())
	}
	if s.Fleet.Forwarders < 1 || s.Fleet.Slots < 1 || s.Fleet.MostHeld < 1 || s.Fleet.ConfiguredForwarders < 0 {
		return bad("fleet: forwarders, slots and most-held must be at least 1, told must not be negative")
	}
	if len(s.Destinations) == 0 || len(s.Classes) == 0 {
		return bad("partners and classes are required")
	}
	for i, p := range s.Destinations {
		if p.Count < 1 || p.Endpoints < 1 || p.Capacity <= 0 {
			return bad("partners %d: count, endpoints and capacity are required", i+1)
		}
		if _, err := p.ServiceTime.Sampler(nil); err != nil {
			return bad("partners %d: service: %w", i+1, err)
		}
		if p.ResetShare < 0 || p.ResetShare >= 1 || p.Limit < 0 || p.CapacityHint < 0 {
			return bad("partners %d: resets must be from 0 to below 1, limit and hint must not be negative", i+1)
		}
	}
	total := 0.0
	for _, c := range s.Classes {
		if c.Effect != "safe" && c.Effect != "keyed" && c.Effect != "unsafe" {
			return bad("class %s: effect %q is not safe, keyed or unsafe", c.Name, c.Effect)
		}
		if c.Target <= 0 || c.DeliveryTimeout < c.Target || c.Share < 0 || c.Effect == "keyed" && c.KeyTTL <= 0 {
			return bad("class %s: target, a give-up not below target, a share and, if keyed, key-ttl are required", c.Name)
		}
		total += c.Share
	}
	if total <= 0 || s.Traffic.Rate <= 0 || s.Traffic.ForwarderSkew < 0 {
		return bad("traffic: no class has a share, rate is not positive, or uneven is negative")
	}
	for i, f := range s.Faults {
		switch f.Kind {
		case Outage, Silence, Shut, Errors, Kill, Drain:
		case Connect:
			if f.ConnectTime <= 0 {
				return bad("fault %d: %s needs takes", i+1, f.Kind)
			}
		case Slow, Load, Limit:
			if f.Factor <= 0 {
				return bad("fault %d: %s needs by", i+1, f.Kind)
			}
		default:
			return bad("fault %d: no kind %q", i+1, f.Kind)
		}
		if f.Share < 0 || f.Share > 1 || f.FolderLossShare < 0 || f.FolderLossShare > 1 || f.At < 0 || f.Duration < 0 || f.MinDowntime < 0 || f.MaxDowntime < f.MinDowntime {
			return bad("fault %d: share and lose must be from 0 to 1, times must not be negative, until must not be below back", i+1)
		}
	}
	for _, m := range s.DisabledSafeguards {
		if m != SafeguardKeyTTL && m != SafeguardRetryAfter && m != SafeguardOutAtKill {
			return bad("without: no safeguard %q", m)
		}
	}
	if r := s.Rules; r.ColdFrom <= 0 || r.ColdFrom > 1 || r.OverloadFactor <= 0 || r.OverloadWindow <= 0 || r.WarmWithin < 0 || r.ChanceFactor < 0 {
		return bad("rules: cold-from must be above 0 and at most 1, overload and tip-after are required, others must not be negative")
	}
	if s.Copies.TakeoverDelay < 0 || s.Copies.ReplicationDelay < 0 {
		return bad("copies: times must not be negative")
	}
	if s.Learned.Enabled && s.Learned.SaveInterval <= 0 {
		return bad("learned: interval is required")
	}
	return nil
}
