package capacity

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Assumptions are the size to plan for and its budgets. Fields tagged `given` are requirements of the users; the others
// are assumed. A file or a flag can override each. Every field is a positive number.
type Assumptions struct {
	Forwarders            float64 `toml:"forwarders" given:"yes" what:"forwarders"`
	EventsPerForwarder    float64 `toml:"events-per-forwarder" given:"yes" what:"events a second at one forwarder"`
	Destinations          float64 `toml:"destinations" given:"yes" what:"destinations"`
	DownShare             float64 `toml:"down-share" given:"yes" what:"share of the destinations that is down"`
	Backlog               float64 `toml:"backlog" given:"yes" what:"messages held by one forwarder"`
	Zones                 float64 `toml:"zones" given:"yes" what:"zones"`
	ChangesPerDay         float64 `toml:"changes-per-day" given:"yes" what:"changes of configuration a day"`
	RestartsPerDay        float64 `toml:"restarts-per-day" given:"yes" what:"forwarders restarted or replaced a day"`
	ControlMachines       float64 `toml:"control-machines" given:"yes" what:"machines set aside for control"`
	ControlCores          float64 `toml:"control-cores" given:"yes" what:"processor time a forwarder may spend on control, in cores"`
	ControlMemory         float64 `toml:"control-memory" given:"yes" what:"memory a forwarder may spend on control, in bytes"`
	ControlBytes          float64 `toml:"control-bytes" given:"yes" what:"bytes a second a forwarder may move for control"`
	ForceWithin           float64 `toml:"force-within" given:"yes" what:"seconds within which a change is in force"`
	DecisionsPerRestart   float64 `toml:"decisions-per-restart" what:"committed changes for one restart: new incarnation, fencing, replicas, takeover"`
	BusiestHourRestarts   float64 `toml:"busiest-hour-restarts" what:"restarts in the busiest hour"`
	BusiestSecondChanges  float64 `toml:"busiest-second-changes" what:"changes of configuration in the busiest second"`
	EntryBytes            float64 `toml:"entry-bytes" what:"bytes of one configuration entry"`
	EndpointsPerTarget    float64 `toml:"endpoints-per-destination" what:"endpoints of a destination"`
	RenewalsPerSecond     float64 `toml:"renewals-per-second" what:"lease renewals a second of one forwarder"`
	Voters                float64 `toml:"voters" what:"voters of the control plane, each of which serves snapshots"`
	Relays                float64 `toml:"relays" what:"relays between forwarders and voters, a control machine each"`
	BatchesPerSecond      float64 `toml:"batches-per-second" what:"batches of renewals that a relay sends a second"`
	ServerCores           float64 `toml:"server-cores" what:"cores of a control machine"`
	LinkBytes             float64 `toml:"link-bytes" what:"bytes a second of a control machine's link"`
	DiskBytes             float64 `toml:"disk-bytes" what:"bytes of a forwarder's disk for its journal"`
	ReconnectWithin       float64 `toml:"reconnect-within" what:"seconds within which all forwarders hold a lease again"`
	StartWithin           float64 `toml:"start-within" what:"seconds within which a forwarder with a full journal is ready"`
	RouterStall           float64 `toml:"router-stall" what:"seconds for which the router's goroutine may be held"`
	PlanWindow            float64 `toml:"plan-window" what:"seconds of the planner's window"`
	PlanBytes             float64 `toml:"plan-bytes" what:"bytes that one plan may have"`
	MembersPerAggregation float64 `toml:"members-per-aggregation" what:"reports that the merge probe combines"`
}

// Defaults returns the assumptions on which docs/CAPACITY.md is based.
func Defaults() Assumptions {
	return Assumptions{
		Forwarders: 19_000, EventsPerForwarder: 842, Destinations: 1e6, DownShare: 0.017, Backlog: 15.8e6, Zones: 22, ChangesPerDay: 20_000,
		RestartsPerDay: 7_100, ControlMachines: 25, ControlCores: 0.036, ControlMemory: 128e6, ControlBytes: 6_000, ForceWithin: 4,
		DecisionsPerRestart: 4, BusiestHourRestarts: 3_550, BusiestSecondChanges: 10, EntryBytes: 400, EndpointsPerTarget: 2,
		RenewalsPerSecond: 4, Voters: 5, Relays: 20, BatchesPerSecond: 50, ServerCores: 8, LinkBytes: 1.25e9, DiskBytes: 64e9, ReconnectWithin: 10, StartWithin: 10, RouterStall: 0.005,
		PlanWindow: 1, PlanBytes: 4 << 20, MembersPerAggregation: 50,
	}
}

// With overrides assumptions from TOML text. It fails on an unknown key or a value that is not a positive number.
func (a Assumptions) With(text string) (Assumptions, error) {
	if err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&a); err != nil {
		return a, fmt.Errorf("capacity: assumptions: %w", err)
	}
	for _, f := range a.fields() {
		if !(f.value > 0) {
			return a, fmt.Errorf("capacity: assumptions: %s is %v; must be a number above 0", f.key, f.value)
		}
	}
	return a, nil
}

// WithFile overrides assumptions from a TOML file.
func (a Assumptions) WithFile(path string) (Assumptions, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return a, fmt.Errorf("capacity: %w", err)
	}
	return a.With(string(raw))
}

// field is one assumption as the page shows it.
type field struct {
	key, what string
	given     bool
	value     float64
}

func (a Assumptions) fields() (out []field) {
	v := reflect.ValueOf(a)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		out = append(out, field{f.Tag.Get("toml"), f.Tag.Get("what"), f.Tag.Get("given") != "", v.Field(i).Float()})
	}
	return out
}

// doubled returns the assumptions with the one at index i of fields doubled.
func (a Assumptions) doubled(i int) Assumptions {
	v := reflect.ValueOf(&a).Elem().Field(i)
	v.SetFloat(2 * v.Float())
	return a
}

// perRelay returns the number of members of one relay and of incarnations whose renewals share one of its batches.
func (a Assumptions) perRelay() (members, incarnationsInBatch float64) {
	members = a.Forwarders / a.Relays
	return members, members * a.RenewalsPerSecond / a.BatchesPerSecond
}

// changeRates returns the committed changes per second on an ordinary day and in the busiest hour.
func (a Assumptions) changeRates() (mean, busiest float64) {
	const day, hour = 24 * 3600, 3600
	return a.RestartsPerDay * a.DecisionsPerRestart / day, a.BusiestHourRestarts * a.DecisionsPerRestart / hour
}
