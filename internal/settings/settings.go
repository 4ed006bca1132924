// Package settings reads the program's own settings: a TOML file beside the platform's configuration. Every key is
// checked against one schema, and an error names file, line and key. Nothing here opens a socket or starts anything.
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

// File is all that can be set. What a file does not name is off.
type File struct {
	Bodies  *Bodies  `toml:"bodies"`
	Journal *Journal `toml:"journal"`
	Learned *Learned `toml:"learned"`
	Cluster *Cluster `toml:"cluster"`
	Place   *Place   `toml:"place"`
}

// Place says how this fleet's places lie to each other, and that where traffic goes is decided in common.
type Place struct {
	Regions   map[string]string `toml:"regions"` // of zones; one that is not named is a region of its own
	Within    Crossing          `toml:"within"`  // between two zones of a region
	Across    Crossing          `toml:"across"`  // between two regions
	Crossings []OneWay          `toml:"crossing"`
	Hold      Duration          `toml:"hold"`    // how long a plan holds for one that hears of no other
	Window    Duration          `toml:"window"`  // in which evidence is gathered, and from plan to plan
	Reserve   float64           `toml:"reserve"` // share of each place's capacity for those without a plan
	RecordFile    string            `toml:"record"`  // a file of the planner's evidence, for larklab plan; "" is none
	MaxMembers   int               `toml:"members"` // forwarders that there may be at the most: their parts of the reserve
}

// Crossing is what it costs to go from one place to another.
type Crossing struct {
	Delay    Duration `toml:"delay"`
	Price    float64  `toml:"price"`    // of a call
	Capacity float64  `toml:"capacity"` // calls a second; 0 is no bound
}

// OneWay is one that differs from the others.
type OneWay struct {
	From string `toml:"from"`
	To   string `toml:"to"`
	Crossing
}

var placeDefaults = Place{
	Within: Crossing{Delay: Duration(2 * time.Millisecond)}, Across: Crossing{Delay: Duration(30 * time.Millisecond)},
	Hold: Duration(6 * time.Second), Window: Duration(time.Second), Reserve: 0.04, MaxMembers: 300,
}

func (c Crossing) absurd() bool {
	amount := func(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }
	return c.Delay < 0 || !amount(c.Price) || !amount(c.Capacity)
}

// check gives the key that can't be used, and why.
func (p Place) check(c *Cluster) (key, what string) {
	const amounts = "a delay, price or capacity is below 0, or no number"
	for _, o := range p.Crossings {
		if o.From == "" || o.To == "" || o.From == o.To || o.absurd() {
			return "place.crossing", fmt.Sprintf("from %q to %q: two zones are needed, and no delay, price or capacity below 0", o.From, o.To)
		}
	}
	switch {
	case c == nil:
		return "place", "it needs [cluster]: plans are decided by the council"
	case c.Zone == "":
		return "place", "it needs [cluster] zone"
	case p.Within.absurd():
		return "place.within", amounts
	case p.Across.absurd():
		return "place.across", amounts
	case time.Duration(p.Window) < leastWindowOf || time.Duration(p.Window) > time.Minute:
		return "place.window", fmt.Sprintf("%v; from %v to 1m are possible", time.Duration(p.Window), leastWindowOf)
	case p.Hold < 3*p.Window || time.Duration(p.Hold) > time.Hour:
		return "place.hold", fmt.Sprintf("%v; from three windows to 1h are possible", time.Duration(p.Hold))
	case !(p.Reserve >= 0 && p.Reserve <= 0.5):
		return "place.reserve", "it is from 0 to 0.5"
	case p.MaxMembers < 1 || p.MaxMembers > mostMembers:
		return "place.members", fmt.Sprintf("%d; from 1 to %d are possible", p.MaxMembers, mostMembers)
	}
	return "", ""
}

// Cluster says how this forwarder belongs to a fleet that keeps copies of what each owes.
type Cluster struct {
	Listen   string            `toml:"listen"`   // host:port of the links between members; also what others dial
	Zone     string            `toml:"zone"`     //
	Region   string            `toml:"region"`   //
	Voters []string          `toml:"founders"` // of the council, name@host:port each; 1, 3, 5 or 7
	Copies   int               `toml:"copies"`   // of each message, its owner's own included
	AllowUnreplicated    []string          `toml:"alone"`    // classes that go on without a copy when nobody can keep one
	ReplicaSpace    Bytes             `toml:"space"`    // of the state folder, for copies that are kept for others
	Lease    Duration          `toml:"lease"`    // how long a member may act after it has asked
	Margin   Duration          `toml:"margin"`   // by which the council waits longer
	Tick     Duration          `toml:"tick"`     // of the council's clock; a lost leader is missed after 10 to 20
	ReplicaTimeout Duration          `toml:"patience"` // how long a keeper may be out of reach before another is chosen
	CheckInterval    Duration          `toml:"check"`    // between two comparisons of copies; 0 is never
	CatchUpRate  Bytes             `toml:"catch-up"` // a second, to a keeper that is brought up to date while others count
	GossipInterval     Duration          `toml:"beat"`     // between two tellings of what was seen of partners; 0 is none
	ObservationHalfLife  Duration          `toml:"believe"`  // how long one member's word of a partner counts by itself
	DialAddresses      map[string]string `toml:"via"`      // what is dialled for an address, where that differs
	Relays   []string          `toml:"relays"`   // that carry requests to the voters, zone@host:port each; none: voters are asked
}

var clusterDefaults = Cluster{
	Copies: 2, ReplicaSpace: 64 << 20, Lease: Duration(time.Second), Margin: Duration(200 * time.Millisecond), Tick: Duration(100 * time.Millisecond),
	ReplicaTimeout: Duration(500 * time.Millisecond), CheckInterval: Duration(10 * time.Second),
	CatchUpRate: 2 << 20, GossipInterval: Duration(100 * time.Millisecond), ObservationHalfLife: Duration(10 * time.Second), Relays: []string{},
}

// Bounds of what a fleet can be told.
const (
	mostCopies    = 5
	mostFounders  = 7
	leastSpace    = 1 << 20
	leastLease    = 100 * time.Millisecond
	mostLease     = time.Minute
	leastPatience = 50 * time.Millisecond
	leastCatchUp  = 64 << 10
	leastWindowOf = 100 * time.Millisecond
	mostMembers   = 100_000
	leastBeat     = 10 * time.Millisecond
	leastBelieve  = time.Second
	mostBelieve   = 10 * time.Minute
)

// Voter is one of the council's.
type Voter struct{ Name, Address string }

// VoterList reads the founders.
func (c Cluster) VoterList() (out []Voter, err error) {
	for _, f := range c.Voters {
		name, address, ok := strings.Cut(f, "@")
		if _, port, bad := net.SplitHostPort(address); !ok || name == "" || bad != nil || port == "" {
			return nil, fmt.Errorf("%q is no founder: name@host:port", f)
		}
		for _, other := range out {
			if other.Name == name || other.Address == address {
				return nil, fmt.Errorf("%q is named twice", f)
			}
		}
		out = append(out, Voter{name, address})
	}
	return out, nil
}

// Relay is a process that carries members' requests to the voters.
type Relay struct{ Zone, Address string }

// mostRelays bounds those that a member is told of.
const mostRelays = 64

// RelayList reads the relays.
func (c Cluster) RelayList() (out []Relay, err error) {
	if len(c.Relays) > mostRelays {
		return nil, fmt.Errorf("%d of them; %d at the most are possible", len(c.Relays), mostRelays)
	}
	for _, text := range c.Relays {
		zone, address, ok := strings.Cut(text, "@")
		if _, port, bad := net.SplitHostPort(address); !ok || bad != nil || port == "" {
			return nil, fmt.Errorf("%q is no relay: zone@host:port", text)
		}
		if slices.ContainsFunc(out, func(r Relay) bool { return r.Address == address }) {
			return nil, fmt.Errorf("%q is named twice", text)
		}
		out = append(out, Relay{zone, address})
	}
	return out, nil
}

// check gives the key that can't be used, and why.
func (c Cluster) check() (key, what string) {
	if _, err := c.RelayList(); err != nil {
		return "cluster.relays", err.Error()
	}
	founders, err := c.VoterList()
	switch _, port, bad := net.SplitHostPort(c.Listen); {
	case bad != nil || port == "":
		return "cluster.listen", fmt.Sprintf("%q is no host:port", c.Listen)
	case err != nil:
		return "cluster.founders", err.Error()
	case len(founders) == 0 || len(founders) > mostFounders || len(founders)%2 == 0:
		return "cluster.founders", fmt.Sprintf("%d of them; 1, 3, 5 or 7 are possible", len(founders))
	case c.Copies < 1 || c.Copies > mostCopies:
		return "cluster.copies", fmt.Sprintf("%d; from 1 to %d are possible", c.Copies, mostCopies)
	case c.ReplicaSpace < leastSpace:
		return "cluster.space", fmt.Sprintf("%d bytes; at least %d are needed", c.ReplicaSpace, leastSpace)
	case time.Duration(c.Lease) < leastLease || time.Duration(c.Lease) > mostLease:
		return "cluster.lease", fmt.Sprintf("%v; from %v to %v are possible", time.Duration(c.Lease), leastLease, mostLease)
	case c.Margin < c.Lease/20 || c.Margin > c.Lease:
		return "cluster.margin", fmt.Sprintf("%v; from a twentieth of the lease to all of it is possible", time.Duration(c.Margin))
	case c.Tick < Duration(10*time.Millisecond) || c.Tick > c.Lease:
		return "cluster.tick", fmt.Sprintf("%v; from 10ms to the lease is possible", time.Duration(c.Tick))
	case time.Duration(c.ReplicaTimeout) < leastPatience || c.ReplicaTimeout > Duration(time.Minute):
		return "cluster.patience", fmt.Sprintf("%v; from %v to 1m are possible", time.Duration(c.ReplicaTimeout), leastPatience)
	case c.CheckInterval < 0:
		return "cluster.check", "it is below 0"
	case c.CatchUpRate < leastCatchUp:
		return "cluster.catch-up", fmt.Sprintf("%d bytes; at least %d are needed", c.CatchUpRate, leastCatchUp)
	case c.GossipInterval != 0 && (time.Duration(c.GossipInterval) < leastBeat || c.GossipInterval > c.ObservationHalfLife):
		return "cluster.beat", fmt.Sprintf("%v; 0s, or from %v to believe is possible", time.Duration(c.GossipInterval), leastBeat)
	case time.Duration(c.ObservationHalfLife) < leastBelieve || time.Duration(c.ObservationHalfLife) > mostBelieve:
		return "cluster.believe", fmt.Sprintf("%v; from %v to %v are possible", time.Duration(c.ObservationHalfLife), leastBelieve, mostBelieve)
	}
	return "", ""
}

// Learned says how what was learned of partners is kept over restarts.
type Learned struct {
	Interval Duration `toml:"interval"` // between two saves
	Size     Bytes    `toml:"size"`     // of the file; for a moment two of them are there
	MaxIDs      int      `toml:"ids"`      // of ended messages, at the most
}

var learnedDefaults = Learned{Interval: Duration(2 * time.Second), Size: 256 << 10, MaxIDs: 4096}

// Journal says how what was taken on is kept.
type Journal struct {
	Durability Durability `toml:"durability"`
	Disk       Bytes      `toml:"disk"`    // of all files in the state folder; 0 is the platform's disk_mb
	Segment    Bytes      `toml:"segment"` // of one file; 0 is a share of the disk
	Memory     Bytes      `toml:"memory"`  // of bodies that are kept in memory as well as on the disk
}

// Durability says what a message that was taken on outlasts.
type Durability string

// The durabilities.
const (
	DurabilityNone  Durability = "none"  // the process's end
	DurabilityBatch Durability = "batch" // the machine's end: one sync for all that came within a few milliseconds
	DurabilityEach  Durability = "each"  // the machine's end: a sync for each record
)

var journalDefaults = Journal{Durability: DurabilityNone, Memory: 16 << 20}

// Bodies says how bodies longer than the journalled kind are passed on.
type Bodies struct {
	MaxBodyBytes    Bytes    `toml:"most"`    // of one body, in either direction
	WindowBytes  Bytes    `toml:"window"`  // held of one body, in either direction
	TotalWindowBytes   Bytes    `toml:"total"`   // of all windows
	Slots   int      `toml:"slots"`   // calls with long bodies out at once
	IdleTimeout    Duration `toml:"idle"`    // no byte moved in either direction for so long ends a call
	MaxTimeLeft Duration `toml:"longest"` // how long a long message may live
}

// Defaults for the keys that a table leaves out.
var bodiesDefaults = Bodies{
	MaxBodyBytes: 16 << 30, WindowBytes: 256 << 10, TotalWindowBytes: 24 << 20, Slots: 4, IdleTimeout: Duration(20 * time.Second),
	MaxTimeLeft: Duration(30 * time.Minute),
}

// Bounds of what can be meant.
const (
	leastWindow  = 128 << 10
	mostWindow   = 64 << 20
	mostBody     = 1 << 50
	mostSlots    = 4096
	leastDisk    = 288 << 10
	leastSegment = 64 << 10
	mostSegment  = 1 << 30
	leastShares  = 8 // segments that a disk must have room for
	leastLearned = 4 << 10
	mostLearned  = 64 << 20
	mostIDs      = 1 << 20
	leastSave    = 200 * time.Millisecond
	mostSave     = 10 * time.Minute
	leastIdle    = 100 * time.Millisecond
	mostDuration = 24 * time.Hour
)

// MaxConcurrent is how many long messages the total has room for, each with a window for either direction.
func (b Bodies) MaxConcurrent() int { return int(b.TotalWindowBytes / (2 * b.WindowBytes)) }

// Bytes is an amount: a whole number with one of the units B, KiB, MiB, GiB, TiB, KB, MB, GB, TB.
type Bytes int64

var units = []struct {
	name string
	size int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12},
	{"B", 1},
}

// UnmarshalText reads an amount; its errors say what is wrong with it.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := string(text)
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > mostBody/u.size {
			break
		}
		*b = Bytes(n * u.size)
		return nil
	}
	return fmt.Errorf("%q is no size: a whole number and a unit, such as 256KiB", s)
}

// Duration is a time such as 20s or 30m.
type Duration time.Duration

// UnmarshalText reads a time.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time: a number and a unit, such as 20s", text)
	}
	*d = Duration(v)
	return nil
}

// Error is a setting that can't be used.
type Error struct {
	Path string
	Line int    // 0: it is in no one line
	Key  string // "" where there is none
	Problem string
}

func (e *Error) Error() string {
	at := e.Path
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		at += ": " + e.Key
	}
	return "settings: " + at + ": " + e.Problem
}

// Load reads and checks a file. Its errors are *Error, or say that the file can't be read.
func Load(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, raw)
}

// Parse checks a file's content; path is for its errors.
func Parse(path string, raw []byte) (File, error) {
	var f File
	lines := keyLines(raw)
	if _, ok := lines["bodies"]; ok {
		b := bodiesDefaults
		f.Bodies = &b
	}
	if _, ok := lines["journal"]; ok {
		j := journalDefaults
		f.Journal = &j
	}
	if _, ok := lines["learned"]; ok {
		l := learnedDefaults
		f.Learned = &l
	}
	if _, ok := lines["cluster"]; ok {
		c := clusterDefaults
		f.Cluster = &c
	}
	if _, ok := lines["place"]; ok {
		p := placeDefaults
		f.Place = &p
	}
	dec := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return File{}, located(path, err)
	}
	bad := func(key, format string, args ...any) (File, error) {
		return File{}, &Error{Path: path, Line: lineOf(lines, key), Key: key, Problem: fmt.Sprintf(format, args...)}
	}
	if b := f.Bodies; b != nil {
		switch {
		case b.WindowBytes < leastWindow || b.WindowBytes > mostWindow:
			return bad("bodies.window", "%d bytes; from %d to %d are possible", b.WindowBytes, leastWindow, mostWindow)
		case b.TotalWindowBytes < 2*b.WindowBytes:
			return bad("bodies.total", "%d bytes have no room for the two windows of one message, %d bytes", b.TotalWindowBytes, 2*b.WindowBytes)
		case b.MaxBodyBytes < leastWindow:
			return bad("bodies.most", "%d bytes; at least %d are needed", b.MaxBodyBytes, leastWindow)
		case b.Slots < 1 || b.Slots > mostSlots:
			return bad("bodies.slots", "%d; from 1 to %d are possible", b.Slots, mostSlots)
		case b.Slots > b.MaxConcurrent():
			return bad("bodies.slots", "%d calls at once; the windows of total have room for %d", b.Slots, b.MaxConcurrent())
		case time.Duration(b.IdleTimeout) < leastIdle || time.Duration(b.IdleTimeout) > mostDuration:
			return bad("bodies.idle", "%v; from %v to %v are possible", time.Duration(b.IdleTimeout), leastIdle, mostDuration)
		case b.MaxTimeLeft < b.IdleTimeout || time.Duration(b.MaxTimeLeft) > mostDuration:
			return bad("bodies.longest", "%v; from idle, %v, to %v are possible", time.Duration(b.MaxTimeLeft),
				time.Duration(b.IdleTimeout), mostDuration)
		}
	}
	if l := f.Learned; l != nil {
		switch {
		case time.Duration(l.Interval) < leastSave || time.Duration(l.Interval) > mostSave:
			return bad("learned.interval", "%v; from %v to %v are possible", time.Duration(l.Interval), leastSave, mostSave)
		case l.Size < leastLearned || l.Size > mostLearned:
			return bad("learned.size", "%d bytes; from %d to %d are possible", l.Size, leastLearned, mostLearned)
		case l.MaxIDs < 0 || l.MaxIDs > mostIDs:
			return bad("learned.ids", "%d; from 0 to %d are possible", l.MaxIDs, mostIDs)
		}
	}
	if c := f.Cluster; c != nil {
		if key, what := c.check(); key != "" {
			return bad(key, "%s", what)
		}
	}
	if p := f.Place; p != nil {
		if key, what := p.check(f.Cluster); key != "" {
			return bad(key, "%s", what)
		}
	}
	if j := f.Journal; j != nil {
		switch {
		case j.Durability != DurabilityNone && j.Durability != DurabilityBatch && j.Durability != DurabilityEach:
			return bad("journal.durability", "%q is no durability: none, batch or each", j.Durability)
		case j.Disk != 0 && j.Disk < leastDisk:
			return bad("journal.disk", "%d bytes; at least %d are needed", j.Disk, leastDisk)
		case j.Segment != 0 && (j.Segment < leastSegment || j.Segment > mostSegment):
			return bad("journal.segment", "%d bytes; from %d to %d are possible", j.Segment, leastSegment, mostSegment)
		case j.Segment != 0 && j.Disk != 0 && j.Segment > j.Disk/leastShares:
			return bad("journal.segment", "%d bytes; a disk of %d has room for segments of %d", j.Segment, j.Disk, j.Disk/leastShares)
		}
	}
	return f, nil
}

// located puts a decoder's error in this package's form.
func located(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		line, _ := first.Position()
		return &Error{Path: path, Line: line, Key: strings.Join(first.Key(), "."), Problem: "no such key"}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return &Error{
			Path: path, Line: line, Key: strings.Join(wrong.Key(), "."), Problem: strings.TrimPrefix(wrong.Error(), "toml: "),
		}
	}
	return &Error{Path: path, Problem: err.Error()}
}

// lineOf is the line of a key, or else of the table it belongs in.
func lineOf(lines map[string]int, key string) int {
	if line, ok := lines[key]; ok {
		return line
	}
	table, _, _ := strings.Cut(key, ".")
	return lines[table]
}

// numbered is the key of a table of an array, counted from 1.
func numbered(table string, number int) string {
	if number == 1 {
		return table
	}
	return fmt.Sprintf("%s#%d", table, number)
}

// keyLines finds the line of each table and key. The second table of an array and those behind it are numbered: a.b#2. What can't be parsed
// ends it; the decoder tells of that.
func keyLines(raw []byte) map[string]int {
	lines, tables := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(raw)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
			parts = append(parts, string(it.Node().Data))
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			if tables[key]++; tables[key] > 1 {
				key = numbered(key, tables[key])
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
