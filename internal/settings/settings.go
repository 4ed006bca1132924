// Package settings reads the program's own settings, a TOML file used in addition to the platform's configuration.
// Every key is validated, and errors name the file, line and key. The package has no side effects: it opens no sockets
// and starts nothing.
package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is the content of a settings file. The feature of a missing table is disabled.
type File struct {
	Bodies  *Bodies  `toml:"bodies"`
	Journal *Journal `toml:"journal"`
	Learned *Learned `toml:"learned"`
	Cluster *Cluster `toml:"cluster"`
	Place   *Place   `toml:"place"`
}

// Place enables fleet-wide traffic planning and describes the links between zones.
type Place struct {
	Regions    map[string]string `toml:"regions"` // region by zone; an unlisted zone is a region of its own
	Within     Crossing          `toml:"within"`  // link between two zones of a region
	Across     Crossing          `toml:"across"`  // link between two regions
	Crossings  []OneWay          `toml:"crossing"`
	Hold       Duration          `toml:"hold"`    // how long a forwarder follows a plan without receiving a newer one
	Window     Duration          `toml:"window"`  // sampling window of the observations, and interval between plans
	Reserve    float64           `toml:"reserve"` // share of each zone's capacity for forwarders without a plan
	RecordFile string            `toml:"record"`  // file of planner inputs for larklab plan; "" disables it
	MaxMembers int               `toml:"members"` // maximum number of forwarders, among which the reserve is divided
}

// Crossing describes the link from one zone to another.
type Crossing struct {
	Delay    Duration `toml:"delay"`
	Price    float64  `toml:"price"`    // per call
	Capacity float64  `toml:"capacity"` // calls per second; 0 is unlimited
}

// OneWay overrides the link from one zone to another, in this direction only.
type OneWay struct {
	From string `toml:"from"`
	To   string `toml:"to"`
	Crossing
}

var placeDefaults = Place{
	Within: Crossing{Delay: Duration(2 * time.Millisecond)}, Across: Crossing{Delay: Duration(30 * time.Millisecond)},
	Hold: Duration(6 * time.Second), Window: Duration(time.Second), Reserve: 0.04, MaxMembers: 300,
}

func (c Crossing) invalid() bool {
	valid := func(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }
	return c.Delay < 0 || !valid(c.Price) || !valid(c.Capacity)
}

// validate returns the first invalid key and what is wrong with it, or empty strings.
func (p Place) validate(cluster *Cluster) (key, problem string) {
	const invalidAmount = "a delay, price or capacity is below 0, or no number"
	for _, override := range p.Crossings {
		if override.From == "" || override.To == "" || override.From == override.To || override.invalid() {
			return "place.crossing", fmt.Sprintf("from %q to %q: must name two different zones, with no delay, price or capacity below 0", override.From, override.To)
		}
	}
	switch {
	case cluster == nil:
		return "place", "it needs [cluster]: plans are committed by the control plane"
	case cluster.Zone == "":
		return "place", "it needs [cluster] zone"
	case p.Within.invalid():
		return "place.within", invalidAmount
	case p.Across.invalid():
		return "place.across", invalidAmount
	case time.Duration(p.Window) < minPlanWindow || time.Duration(p.Window) > time.Minute:
		return "place.window", fmt.Sprintf("%v; must be from %v to 1m", time.Duration(p.Window), minPlanWindow)
	case p.Hold < 3*p.Window || time.Duration(p.Hold) > time.Hour:
		return "place.hold", fmt.Sprintf("%v; must be from three windows to 1h", time.Duration(p.Hold))
	case !(p.Reserve >= 0 && p.Reserve <= 0.5):
		return "place.reserve", "must be from 0 to 0.5"
	case p.MaxMembers < 1 || p.MaxMembers > maxMembers:
		return "place.members", fmt.Sprintf("%d; must be from 1 to %d", p.MaxMembers, maxMembers)
	}
	return "", ""
}

// Cluster makes this forwarder a member of a fleet whose members replicate each other's journals.
type Cluster struct {
	Listen              string            `toml:"listen"` // host:port to listen on and to advertise
	Zone                string            `toml:"zone"`
	Region              string            `toml:"region"`
	Voters              []string          `toml:"founders"` // 1, 3, 5 or 7 voters, each name@host:port
	Copies              int               `toml:"copies"`   // copies of each message, including the owner's own
	AllowUnreplicated   []string          `toml:"alone"`    // classes accepted without an available replica
	ReplicaSpace        Bytes             `toml:"space"`    // for replicas of other members' journals
	Lease               Duration          `toml:"lease"`    // validity from sending the renewal request
	Margin              Duration          `toml:"margin"`   // extra wait of the control plane after expiry
	Tick                Duration          `toml:"tick"`     // consensus clock; elections start after 10 to 20 ticks
	ReplicaTimeout      Duration          `toml:"patience"` // time before an unreachable replica is replaced
	CheckInterval       Duration          `toml:"check"`    // time between two replica comparisons; 0 disables them
	CatchUpRate         Bytes             `toml:"catch-up"` // bytes per second to a replica while others are in sync
	GossipInterval      Duration          `toml:"beat"`     // time between two gossip rounds; 0 disables gossip
	ObservationHalfLife Duration          `toml:"believe"`  // of a single member's observation of a destination
	DialAddresses       map[string]string `toml:"via"`      // addresses to dial instead of the advertised ones
	Relays              []string          `toml:"relays"`   // each zone@host:port; if empty, voters are called directly
}

var clusterDefaults = Cluster{
	Copies: 2, ReplicaSpace: 64 << 20, Lease: Duration(time.Second), Margin: Duration(200 * time.Millisecond), Tick: Duration(100 * time.Millisecond),
	ReplicaTimeout: Duration(500 * time.Millisecond), CheckInterval: Duration(10 * time.Second),
	CatchUpRate: 2 << 20, GossipInterval: Duration(100 * time.Millisecond), ObservationHalfLife: Duration(10 * time.Second), Relays: []string{},
}

// Bounds of the values in [cluster] and [place].
const (
	maxCopies                = 5
	maxVoters                = 7
	minReplicaBytes          = 1 << 20
	minLease                 = 100 * time.Millisecond
	maxLease                 = time.Minute
	minReplicaTimeout        = 50 * time.Millisecond
	minCatchUpBytesPerSecond = 64 << 10
	minPlanWindow            = 100 * time.Millisecond
	maxMembers               = 100_000
	minGossipInterval        = 10 * time.Millisecond
	minObservationHalfLife   = time.Second
	maxObservationHalfLife   = 10 * time.Minute
)

// Voter is a voter of the control plane.
type Voter struct{ Name, Address string }

// VoterList parses the voters.
func (c Cluster) VoterList() (voters []Voter, err error) {
	for _, text := range c.Voters {
		name, address, ok := strings.Cut(text, "@")
		if _, port, splitErr := net.SplitHostPort(address); !ok || name == "" || splitErr != nil || port == "" {
			return nil, fmt.Errorf("%q is not a name@host:port address", text)
		}
		for _, other := range voters {
			if other.Name == name || other.Address == address {
				return nil, fmt.Errorf("%q has a duplicate name or address", text)
			}
		}
		voters = append(voters, Voter{name, address})
	}
	return voters, nil
}

// Relay is a process that carries members' requests to the voters.
type Relay struct{ Zone, Address string }

// maxRelays bounds the relays of one member.
const maxRelays = 64

// RelayList parses the relays.
func (c Cluster) RelayList() (relays []Relay, err error) {
	if len(c.Relays) > maxRelays {
		return nil, fmt.Errorf("%d relays; must be at most %d", len(c.Relays), maxRelays)
	}
	for _, text := range c.Relays {
		zone, address, ok := strings.Cut(text, "@")
		if _, port, splitErr := net.SplitHostPort(address); !ok || splitErr != nil || port == "" {
			return nil, fmt.Errorf("%q is not a zone@host:port address", text)
		}
		if slices.ContainsFunc(relays, func(r Relay) bool { return r.Address == address }) {
			return nil, fmt.Errorf("%q has a duplicate address", text)
		}
		relays = append(relays, Relay{zone, address})
	}
	return relays, nil
}

// validate returns the first invalid key and what is wrong with it, or empty strings.
func (c Cluster) validate() (key, problem string) {
	if _, err := c.RelayList(); err != nil {
		return "cluster.relays", err.Error()
	}
	voters, err := c.VoterList()
	switch _, port, splitErr := net.SplitHostPort(c.Listen); {
	case splitErr != nil || port == "":
		return "cluster.listen", fmt.Sprintf("%q is not a host:port address", c.Listen)
	case err != nil:
		return "cluster.founders", err.Error()
	case len(voters) == 0 || len(voters) > maxVoters || len(voters)%2 == 0:
		return "cluster.founders", fmt.Sprintf("%d voters; must be 1, 3, 5 or 7", len(voters))
	case c.Copies < 1 || c.Copies > maxCopies:
		return "cluster.copies", fmt.Sprintf("%d; must be from 1 to %d", c.Copies, maxCopies)
	case c.ReplicaSpace < minReplicaBytes:
		return "cluster.space", fmt.Sprintf("%d bytes; must be at least %d", c.ReplicaSpace, minReplicaBytes)
	case time.Duration(c.Lease) < minLease || time.Duration(c.Lease) > maxLease:
		return "cluster.lease", fmt.Sprintf("%v; must be from %v to %v", time.Duration(c.Lease), minLease, maxLease)
	case c.Margin < c.Lease/20 || c.Margin > c.Lease:
		return "cluster.margin", fmt.Sprintf("%v; must be from a twentieth of the lease to the whole lease", time.Duration(c.Margin))
	case c.Tick < Duration(10*time.Millisecond) || c.Tick > c.Lease:
		return "cluster.tick", fmt.Sprintf("%v; must be from 10ms to the lease", time.Duration(c.Tick))
	case time.Duration(c.ReplicaTimeout) < minReplicaTimeout || c.ReplicaTimeout > Duration(time.Minute):
		return "cluster.patience", fmt.Sprintf("%v; must be from %v to 1m", time.Duration(c.ReplicaTimeout), minReplicaTimeout)
	case c.CheckInterval < 0:
		return "cluster.check", "must not be below 0"
	case c.CatchUpRate < minCatchUpBytesPerSecond:
		return "cluster.catch-up", fmt.Sprintf("%d bytes; must be at least %d", c.CatchUpRate, minCatchUpBytesPerSecond)
	case c.GossipInterval != 0 && (time.Duration(c.GossipInterval) < minGossipInterval || c.GossipInterval > c.ObservationHalfLife):
		return "cluster.beat", fmt.Sprintf("%v; must be 0s or from %v to believe", time.Duration(c.GossipInterval), minGossipInterval)
	case time.Duration(c.ObservationHalfLife) < minObservationHalfLife || time.Duration(c.ObservationHalfLife) > maxObservationHalfLife:
		return "cluster.believe", fmt.Sprintf("%v; must be from %v to %v", time.Duration(c.ObservationHalfLife), minObservationHalfLife, maxObservationHalfLife)
	}
	return "", ""
}

// Learned configures how the state learned about destinations is kept across restarts.
type Learned struct {
	Interval Duration `toml:"interval"` // time between two saves
	Size     Bytes    `toml:"size"`     // maximum size of the file; while it is replaced, two files exist
	MaxIDs   int      `toml:"ids"`      // maximum number of ids of ended messages
}

var learnedDefaults = Learned{Interval: Duration(2 * time.Second), Size: 256 << 10, MaxIDs: 4096}

// Journal configures how accepted messages are stored.
type Journal struct {
	Durability Durability `toml:"durability"`
	Disk       Bytes      `toml:"disk"`    // size limit of the state folder; 0 uses the platform's disk_mb
	Segment    Bytes      `toml:"segment"` // size of one segment file; 0 derives it from the disk size
	Memory     Bytes      `toml:"memory"`  // maximum size of the bodies that are cached in memory
}

// Durability names the failures that an accepted message survives.
type Durability string

// Durability levels.
const (
	DurabilityNone  Durability = "none"  // survives a process crash
	DurabilityBatch Durability = "batch" // survives a machine crash: one sync for all records of a few milliseconds
	DurabilityEach  Durability = "each"  // survives a machine crash: one sync per record
)

var journalDefaults = Journal{Durability: DurabilityNone, Memory: 16 << 20}

// Bodies configures how bodies too long for the journal are streamed.
type Bodies struct {
	MaxBodyBytes     Bytes    `toml:"most"`    // maximum size of one body, in either direction
	WindowBytes      Bytes    `toml:"window"`  // buffered bytes of one body, in either direction
	TotalWindowBytes Bytes    `toml:"total"`   // total size of all windows
	Slots            int      `toml:"slots"`   // concurrent calls with long bodies
	IdleTimeout      Duration `toml:"idle"`    // ends a call when no byte moved in either direction for this long
	MaxTimeLeft      Duration `toml:"longest"` // maximum time to the deadline of a long message
}

// bodiesDefaults are the values of keys missing from the table.
var bodiesDefaults = Bodies{
	MaxBodyBytes: 16 << 30, WindowBytes: 256 << 10, TotalWindowBytes: 24 << 20, Slots: 4, IdleTimeout: Duration(20 * time.Second),
	MaxTimeLeft: Duration(30 * time.Minute),
}

// Bounds of the values in the other tables.
const (
	minWindowBytes  = 128 << 10
	maxWindowBytes  = 64 << 20
	maxSizeBytes    = 1 << 50
	maxSlots        = 4096
	minDiskBytes    = 288 << 10
	minSegmentBytes = 64 << 10
	maxSegmentBytes = 1 << 30
	minSegments     = 8 // number of segments that must fit on the disk
	minLearnedBytes = 4 << 10
	maxLearnedBytes = 64 << 20
	maxIDs          = 1 << 20
	minSaveInterval = 200 * time.Millisecond
	maxSaveInterval = 10 * time.Minute
	minIdleTimeout  = 100 * time.Millisecond
	maxDuration     = 24 * time.Hour
)

// MaxConcurrent returns how many long messages fit into TotalWindowBytes, each with one window per direction.
func (b Bodies) MaxConcurrent() int { return int(b.TotalWindowBytes / (2 * b.WindowBytes)) }

// Bytes is a size in bytes, written as a whole number with one of the units B, KiB, MiB, GiB, TiB, KB, MB, GB, TB.
type Bytes int64

var units = []struct {
	name string
	size int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12},
	{"B", 1},
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := string(text)
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > maxSizeBytes/u.size {
			break
		}
		*b = Bytes(n * u.size)
		return nil
	}
	return fmt.Errorf("%q is not a size: a whole number and a unit, such as 256KiB", s)
}

// Duration is a duration, written as in 20s or 30m.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration: a number and a unit, such as 20s", text)
	}
	*d = Duration(v)
	return nil
}

// Error reports an invalid setting.
type Error struct {
	Path    string
	Line    int    // 0 if the error has no single line
	Key     string // "" if the error has no key
	Problem string
}

func (e *Error) Error() string {
	location := e.Path
	if e.Line > 0 {
		location += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		location += ": " + e.Key
	}
	return "settings: " + location + ": " + e.Problem
}

// Load reads and validates a settings file. It returns an *Error if the content is invalid.
func Load(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, raw)
}

// Parse validates the content of a settings file; path appears in errors only.
func Parse(path string, raw []byte) (File, error) {
	var file File
	lines := keyLines(raw)
	if _, ok := lines["bodies"]; ok {
		b := bodiesDefaults
		file.Bodies = &b
	}
	if _, ok := lines["journal"]; ok {
		j := journalDefaults
		file.Journal = &j
	}
	if _, ok := lines["learned"]; ok {
		l := learnedDefaults
		file.Learned = &l
	}
	if _, ok := lines["cluster"]; ok {
		c := clusterDefaults
		file.Cluster = &c
	}
	if _, ok := lines["place"]; ok {
		p := placeDefaults
		file.Place = &p
	}
	dec := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return File{}, decodeError(path, err)
	}
	invalid := func(key, format string, args ...any) (File, error) {
		return File{}, &Error{Path: path, Line: lineOf(lines, key), Key: key, Problem: fmt.Sprintf(format, args...)}
	}
	if b := file.Bodies; b != nil {
		switch {
		case b.WindowBytes < minWindowBytes || b.WindowBytes > maxWindowBytes:
			return invalid("bodies.window", "%d bytes; must be from %d to %d", b.WindowBytes, minWindowBytes, maxWindowBytes)
		case b.TotalWindowBytes < 2*b.WindowBytes:
			return invalid("bodies.total", "%d bytes; must hold the two windows of one message, %d bytes", b.TotalWindowBytes, 2*b.WindowBytes)
		case b.MaxBodyBytes < minWindowBytes:
			return invalid("bodies.most", "%d bytes; must be at least %d", b.MaxBodyBytes, minWindowBytes)
		case b.Slots < 1 || b.Slots > maxSlots:
			return invalid("bodies.slots", "%d; must be from 1 to %d", b.Slots, maxSlots)
		case b.Slots > b.MaxConcurrent():
			return invalid("bodies.slots", "%d concurrent calls; total has windows for %d", b.Slots, b.MaxConcurrent())
		case time.Duration(b.IdleTimeout) < minIdleTimeout || time.Duration(b.IdleTimeout) > maxDuration:
			return invalid("bodies.idle", "%v; must be from %v to %v", time.Duration(b.IdleTimeout), minIdleTimeout, maxDuration)
		case b.MaxTimeLeft < b.IdleTimeout || time.Duration(b.MaxTimeLeft) > maxDuration:
			return invalid("bodies.longest", "%v; must be from idle, %v, to %v", time.Duration(b.MaxTimeLeft),
				time.Duration(b.IdleTimeout), maxDuration)
		}
	}
	if l := file.Learned; l != nil {
		switch {
		case time.Duration(l.Interval) < minSaveInterval || time.Duration(l.Interval) > maxSaveInterval:
			return invalid("learned.interval", "%v; must be from %v to %v", time.Duration(l.Interval), minSaveInterval, maxSaveInterval)
		case l.Size < minLearnedBytes || l.Size > maxLearnedBytes:
			return invalid("learned.size", "%d bytes; must be from %d to %d", l.Size, minLearnedBytes, maxLearnedBytes)
		case l.MaxIDs < 0 || l.MaxIDs > maxIDs:
			return invalid("learned.ids", "%d; must be from 0 to %d", l.MaxIDs, maxIDs)
		}
	}
	if c := file.Cluster; c != nil {
		if key, problem := c.validate(); key != "" {
			return invalid(key, "%s", problem)
		}
	}
	if p := file.Place; p != nil {
		if key, problem := p.validate(file.Cluster); key != "" {
			return invalid(key, "%s", problem)
		}
	}
	if j := file.Journal; j != nil {
		switch {
		case j.Durability != DurabilityNone && j.Durability != DurabilityBatch && j.Durability != DurabilityEach:
			return invalid("journal.durability", "%q; must be none, batch or each", j.Durability)
		case j.Disk != 0 && j.Disk < minDiskBytes:
			return invalid("journal.disk", "%d bytes; must be at least %d", j.Disk, minDiskBytes)
		case j.Segment != 0 && (j.Segment < minSegmentBytes || j.Segment > maxSegmentBytes):
			return invalid("journal.segment", "%d bytes; must be from %d to %d", j.Segment, minSegmentBytes, maxSegmentBytes)
		case j.Segment != 0 && j.Disk != 0 && j.Segment > j.Disk/minSegments:
			return invalid("journal.segment", "%d bytes; with disk = %d bytes, must be at most %d", j.Segment, j.Disk, j.Disk/minSegments)
		}
	}
	return file, nil
}

// decodeError converts an error of the TOML decoder to an *Error.
func decodeError(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		line, _ := first.Position()
		return &Error{Path: path, Line: line, Key: strings.Join(first.Key(), "."), Problem: "no such key"}
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		return &Error{
			Path: path, Line: line, Key: strings.Join(malformed.Key(), "."), Problem: strings.TrimPrefix(malformed.Error(), "toml: "),
		}
	}
	return &Error{Path: path, Problem: err.Error()}
}

// lineOf returns the line of a key, or the line of its table if the key is missing.
func lineOf(lines map[string]int, key string) int {
	if line, ok := lines[key]; ok {
		return line
	}
	table, _, _ := strings.Cut(key, ".")
	return lines[table]
}

// arrayTableKey returns the key of keyLines for one table of an array of tables; number counts from 1.
func arrayTableKey(table string, number int) string {
	if number == 1 {
		return table
	}
	return fmt.Sprintf("%s#%d", table, number)
}

// keyLines returns the line of each table and key. The second and later tables of an array of tables are numbered, as
// in a.b#2. It stops at the first syntax error, which the decoder reports.
func keyLines(raw []byte) map[string]int {
	lines, tables := map[string]int{}, map[string]int{}
	var parser unstable.Parser
	parser.Reset(raw)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		var parts []string
		line := 0
		for it := expression.Key(); it.Next(); {
			if line == 0 {
				line = parser.Shape(it.Node().Raw).Start.Line
			}
			parts = append(parts, string(it.Node().Data))
		}
		key := strings.Join(parts, ".")
		switch expression.Kind {
		case unstable.ArrayTable:
			if tables[key]++; tables[key] > 1 {
				key = arrayTableKey(key, tables[key])
			}
			table = key
		case unstable.Table:
			table = key
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			if first, _, dotted := strings.Cut(key, "."); dotted && lines[first] == 0 {
				lines[first] = line
			}
		default:
			continue
		}
		if lines[key] == 0 {
			lines[key] = line
		}
	}
	return lines
}
