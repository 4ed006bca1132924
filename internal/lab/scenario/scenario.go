// Package scenario reads what the laboratory plays: a fleet of forwarders, partners, traffic, faults on a timeline and the
// settings under trial, as one TOML file. It starts nothing.
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

// Duration is a time such as 20s.
type Duration time.Duration

// UnmarshalText reads a time.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes a time.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D is the time.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Scenario is one.
type Scenario struct {
	Name               string             `toml:"name"`
	Length             Duration           `toml:"length"` // of the traffic; what is held then still ends
	Fleet              Fleet              `toml:"fleet"`
	Destinations       []DestinationGroup `toml:"partners"`
	Classes            []Class            `toml:"classes"`
	Traffic            Traffic            `toml:"traffic"`
	Faults             []Fault            `toml:"faults"`
	Rules              Rules              `toml:"rules"`
	Learned            Learned            `toml:"learned"`
	Copies             Copies             `toml:"copies"`
	DisabledSafeguards []Safeguard        `toml:"without"` // safeguards that are taken out, to see that their rule then breaks
}

// Safeguard is a safeguard of the forwarder that a run can go without.
type Safeguard string

// The safeguards. The first two are asked when a call's connection is up, just before its first byte.
const (
	SafeguardKeyTTL     Safeguard = "window"      // a repeat begins only inside its key's time
	SafeguardRetryAfter Safeguard = "wait"        // no call begins in a wait that was told while its connection came up
	SafeguardOutAtKill  Safeguard = "out-at-kill" // a call that was out at a kill counts as one that may have run for all later lives
)

// Fleet is the forwarders.
type Fleet struct {
	Forwarders           int `toml:"forwarders"`
	ConfiguredForwarders int `toml:"told"` // how many they are told to be; 0 is the truth
	Slots                int `toml:"slots"`
	MostHeld             int `toml:"most-held"`
}

// DestinationGroup is a number of partners that are alike.
type DestinationGroup struct {
	Count         int          `toml:"count"`
	Endpoints     int          `toml:"endpoints"` // of each
	Capacity      float64      `toml:"capacity"`  // calls a second, of one partner
	CapacityHint  float64      `toml:"hint"`      // what the list says of that, as a share of it; 0 says nothing
	ServiceTime   Distribution `toml:"service"`   // of a call's time, in milliseconds
	Limit         float64      `toml:"limit"`     // calls a second that are taken; 0 is none
	RefusalsCount bool         `toml:"counts"`    // refused calls count for the limit
	RetryAfter    Duration     `toml:"tells"`     // the wait told with a refusal; 0 tells none
	ResetShare    float64      `toml:"resets"`    // share of calls whose answer is lost
}

// Distribution names one of gonum's, by its mean and its spread.
type Distribution struct {
	Kind   string  `toml:"kind"`   // constant, exponential, lognormal, gamma, uniform
	Mean   float64 `toml:"mean"`   //
	Spread float64 `toml:"spread"` // standard deviation over mean; exponential has none of its own
}

// Class is one of messages.
type Class struct {
	Name            string   `toml:"name"`
	Effect          string   `toml:"effect"` // safe, keyed, unsafe
	Share           float64  `toml:"share"`
	Worth           float64  `toml:"worth"`
	Target          Duration `toml:"target"`
	DeliveryTimeout Duration `toml:"give-up"`
	KeyTTL          Duration `toml:"key-ttl"`
}

// LateWorth is the share of its worth that a message still has at its deadline.
const LateWorth = 0.4

// WorthAt is what a delivery at an age is worth: all of it within the target, then evenly less down to LateWorth.
func (c Class) WorthAt(age time.Duration) (worth float64, inTime bool) {
	if age <= c.Target.D() {
		return c.Worth, true
	}
	late := (age - c.Target.D()).Seconds() / max(1e-3, (c.DeliveryTimeout-c.Target).D().Seconds())
	return c.Worth * (1 - (1-LateWorth)*min(1, late)), false
}

// Traffic is what clients hand in.
type Traffic struct {
	Rate            float64 `toml:"rate"`    // messages a second, at all forwarders together
	DestinationSkew float64 `toml:"skew"`    // of the partners: the nth gets n^-skew
	ForwarderSkew   float64 `toml:"uneven"`  // of the forwarders: the same
	MaxRetries      int     `toml:"returns"` // how often a client comes again after a refusal
}

// Fault is something that goes wrong, from a moment on and for a time.
type Fault struct {
	At              Duration `toml:"at"`
	Duration        Duration `toml:"for"`
	Kind            string   `toml:"kind"`
	Share           float64  `toml:"share"` // of the partners, or of the forwarders
	Factor          float64  `toml:"by"`    // a factor: of load, or of service times
	MinDowntime     Duration `toml:"back"`  // killed forwarders are back between Back
	MaxDowntime     Duration `toml:"until"` // and Until after
	FolderLossShare float64  `toml:"lose"`  // share of killed forwarders whose folder is lost
	ConnectTime     Duration `toml:"takes"` // how long a connection needs to come up
}

// The kinds of faults.
const (
	Outage  = "outage"  // partners refuse connections; cold when they are back
	Silence = "silence" // partners take calls and never answer; cold when they are back
	Slow    = "slow"    // partners take By times as long
	Limit   = "limit"   // partners take By times their limit
	Load    = "load"    // By times the traffic
	Kill    = "kill"    // forwarders are killed
	Connect = "connect" // connections to partners need Takes to come up
	Drain   = "drain"   // an endpoint of each leaves the list and is replaced by one of another name
)

// Rules are the users' figures of outages and of partners that come back cold.
type Rules struct {
	ColdFrom         float64  `toml:"cold-from"`   // share of the capacity that a partner has as it comes back
	WarmWithin       Duration `toml:"warm-within"` // until it has all of it
	OverloadFactor   float64  `toml:"overload"`    // calls over the present share, in TipAfter, at which it falls over
	OverloadWindow   Duration `toml:"tip-after"`
	OverloadDowntime Duration `toml:"tip-for"` // how long it is down then
	// ChanceFactor is how many calls beyond these are put down to chance: so many times the root of what it bears, and as many again.
	// 0 is one call.
	ChanceFactor float64 `toml:"chance"`
}

// Learned says whether what was learned outlasts a kill.
type Learned struct {
	Enabled      bool     `toml:"keep"`
	SaveInterval Duration `toml:"interval"` // between two saves
}

// Copies says whether others hold copies of what a forwarder owes, and take it over.
type Copies struct {
	Enabled          bool     `toml:"keep"`
	TakeoverDelay    Duration `toml:"takeover"` // from a kill until another goes on with it, where it is not back with its folder by then
	ReplicationDelay Duration `toml:"ahead"`    // by which each message is taken later, until its copy is there
}

// defaults stand where a file says nothing.
func defaults() Scenario {
	return Scenario{
		Length: Duration(time.Minute), Fleet: Fleet{Forwarders: 4, Slots: 24, MostHeld: 400},
		Rules: Rules{
			ColdFrom: 0.3, WarmWithin: Duration(14 * time.Second), OverloadFactor: 1.5, OverloadWindow: Duration(1500 * time.Millisecond), OverloadDowntime: Duration(4 * time.Second),
		},
		Traffic: Traffic{MaxRetries: 2}, Learned: Learned{SaveInterval: Duration(2 * time.Second)}, Copies: Copies{TakeoverDelay: Duration(2 * time.Second), ReplicationDelay: Duration(time.Millisecond)},
	}
}

// Read reads a file.
func Read(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, raw)
}

// Parse reads a file's content; path is for its errors, which name the line.
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

// Check says what can't be played.
func (s Scenario) Check() error {
	bad := func(format string, args ...any) error { return fmt.Errorf(format, args...) }
	if s.Length <= 0 || s.Length.D() > 24*time.Hour {
		return bad("length: %v", s.Length.D())
	}
	if s.Fleet.Forwarders < 1 || s.Fleet.Slots < 1 || s.Fleet.MostHeld < 1 || s.Fleet.ConfiguredForwarders < 0 {
		return bad("fleet: forwarders, slots and most-held are 1 at least, told is not below 0")
	}
	if len(s.Destinations) == 0 || len(s.Classes) == 0 {
		return bad("partners and classes are needed")
	}
	for i, p := range s.Destinations {
		if p.Count < 1 || p.Endpoints < 1 || p.Capacity <= 0 {
			return bad("partners %d: count, endpoints and capacity are needed", i+1)
		}
		if _, err := p.ServiceTime.Sampler(nil); err != nil {
			return bad("partners %d: service: %w", i+1, err)
		}
		if p.ResetShare < 0 || p.ResetShare >= 1 || p.Limit < 0 || p.CapacityHint < 0 {
			return bad("partners %d: resets is a share, limit and hint are not below 0", i+1)
		}
	}
	total := 0.0
	for _, c := range s.Classes {
		if c.Effect != "safe" && c.Effect != "keyed" && c.Effect != "unsafe" {
			return bad("class %s: effect %q is not safe, keyed or unsafe", c.Name, c.Effect)
		}
		if c.Target <= 0 || c.DeliveryTimeout < c.Target || c.Share < 0 || c.Effect == "keyed" && c.KeyTTL <= 0 {
			return bad("class %s: target, give-up from target on, share and, if keyed, key-ttl are needed", c.Name)
		}
		total += c.Share
	}
	if total <= 0 || s.Traffic.Rate <= 0 || s.Traffic.ForwarderSkew < 0 {
		return bad("traffic: no class has a share, or no rate is said")
	}
	for i, f := range s.Faults {
		switch f.Kind {
		case Outage, Silence, Kill, Drain:
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
			return bad("fault %d: share and lose are from 0 to 1, times are not below 0, until is not before back", i+1)
		}
	}
	for _, m := range s.DisabledSafeguards {
		if m != SafeguardKeyTTL && m != SafeguardRetryAfter && m != SafeguardOutAtKill {
			return bad("without: no safeguard %q", m)
		}
	}
	if r := s.Rules; r.ColdFrom <= 0 || r.ColdFrom > 1 || r.OverloadFactor <= 0 || r.OverloadWindow <= 0 || r.WarmWithin < 0 || r.ChanceFactor < 0 {
		return bad("rules: cold-from is a share, overload and tip-after are needed")
	}
	if s.Copies.TakeoverDelay < 0 || s.Copies.ReplicationDelay < 0 {
		return bad("copies: times are not below 0")
	}
	if s.Learned.Enabled && s.Learned.SaveInterval <= 0 {
		return bad("learned: interval is needed")
	}
	return nil
}
