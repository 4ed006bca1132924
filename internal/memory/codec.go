package memory

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	mb "mulleinbeam"
	"mulleinbeam/internal/bootclock"
)

// The file: a magic, a version, fields, and a checksum over all before it. A field is a tag, a length and that many bytes;
// some hold fields of their own. Who reads skips tags that it does not know and leaves out what is not there, so that a file
// of an older or a newer version is read for what both know. A version changes only when a known field's meaning does.
const version = 1

var magic = []byte("larkmem\n")

// The errors of a file that can't be used.
var (
	ErrDamaged = errors.New("memory: damaged")
	ErrVersion = errors.New("memory: of a later version whose fields mean something else")
)

// The tags of the file's fields.
const (
	tagName = iota + 1
	tagSaved
	tagLane
	tagClass
	tagLost
	tagEnded
	tagSavedBoot
	tagSavedSinceBoot
)

// The tags of a lane's fields.
const (
	laneDestination = iota + 1
	laneEndpoint
	laneListed
	laneSeen
	laneBreaker
	laneOpenFor
	laneOpenLeft
	laneWait
	laneRate
	laneLimit
	lanePace
	laneCap
	laneGuard
	laneWeak
	laneGuardSince
	laneGuardFrom
	laneLastBad
	laneLastOK
	laneTrust
	laneCold
)

// The tags of a class's fields, and of the losses'.
const (
	className = iota + 1
	classMean
	classTrust
)

const (
	lostPaused = iota + 1
	lostOthers
	lostKept
	lostFresh
	lostStrayBad
	lostStrayFull
	lostIdleBound
	lostTells
)

// content is what a file holds.
type content struct {
	name    string
	saved   time.Time
	stamp   bootclock.Stamp // of saved
	learned mb.LearnedState
	ended   []ended
}

// ended is the id of a message that has ended, as its hash.
type ended struct {
	id        xxh3.Uint128
	delivered bool
	until     time.Time // nobody means it any more then
}

const endedSize = 16 + 8 + 1

// fields is an encoder.
type fields struct{ b []byte }

func (f *fields) put(tag uint64, v []byte) {
	f.b = binary.AppendUvarint(binary.AppendUvarint(f.b, tag), uint64(len(v)))
	f.b = append(f.b, v...)
}

func (f *fields) text(tag uint64, s string) { f.put(tag, []byte(s)) }

func (f *fields) number(tag uint64, n int64) { f.put(tag, binary.AppendVarint(nil, n)) }

func (f *fields) float(tag uint64, v float64) {
	f.put(tag, binary.LittleEndian.AppendUint64(nil, math.Float64bits(v)))
}

func (f *fields) flag(tag uint64, v bool) {
	if v {
		f.put(tag, nil)
	}
}

func (f *fields) pair(tag uint64, v [2]float64) {
	b := binary.LittleEndian.AppendUint64(nil, math.Float64bits(v[0]))
	f.put(tag, binary.LittleEndian.AppendUint64(b, math.Float64bits(v[1])))
}

// encode writes a file's content.
func encode(c content) []byte {
	f := fields{append([]byte(nil), magic...)}
	f.b = binary.LittleEndian.AppendUint32(f.b, version)
	f.text(tagName, c.name)
	f.number(tagSaved, c.saved.UnixNano())
	if c.stamp.Boot != 0 {
		f.number(tagSavedBoot, int64(c.stamp.Boot))
		f.number(tagSavedSinceBoot, int64(c.stamp.At))
	}
	for _, l := range c.learned.Circuits {
		f.put(tagLane, encodeLane(l))
	}
	for _, k := range c.learned.Classes {
		var g fields
		g.text(className, k.Name)
		g.float(classMean, k.MeanSeconds)
		g.float(classTrust, k.Trust)
		f.put(tagClass, g.b)
	}
	f.put(tagLost, encodeLost(c.learned.Losses))
	if len(c.ended) > 0 {
		b := make([]byte, 0, len(c.ended)*endedSize)
		for _, e := range c.ended {
			b = binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(b, e.id.Hi), e.id.Lo)
			b = binary.LittleEndian.AppendUint64(b, uint64(e.until.UnixNano()))
			if e.delivered {
				b = append(b, 1)
			} else {
				b = append(b, 0)
			}
		}
		f.put(tagEnded, b)
	}
	return binary.LittleEndian.AppendUint64(f.b, xxh3.Hash(f.b))
}

// laneDurations and laneFloats say which of a lane's fields have which tags, for both directions.
func laneDurations(l *mb.LearnedCircuit) map[uint64]*time.Duration {
	return map[uint64]*time.Duration{
		laneSeen: &l.Seen, laneOpenFor: &l.OpenFor, laneOpenLeft: &l.OpenLeft, laneWait: &l.Wait, laneGuardSince: &l.GuardSince,
		laneGuardFrom: &l.GuardFrom, laneLastBad: &l.LastBad, laneLastOK: &l.LastOK,
	}
}

func laneFloats(l *mb.LearnedCircuit) map[uint64]*float64 {
	return map[uint64]*float64{
		laneRate: &l.Rate, laneLimit: &l.Limit, lanePace: &l.Pace, laneCap: &l.Cap, laneTrust: &l.Trust,
	}
}

// lostPairs does so for the tallies of losses.
func lostPairs(l *mb.LossCounts) map[uint64]*[2]float64 {
	return map[uint64]*[2]float64{
		lostPaused: &l.AfterIdle, lostOthers: &l.Others, lostKept: &l.ReusedConnection, lostFresh: &l.NewConnection, lostStrayBad: &l.StrayFailures,
		lostStrayFull: &l.StrayRefusals,
	}
}

func encodeLane(l mb.LearnedCircuit) []byte {
	var f fields
	f.number(laneDestination, int64(l.Destination))
	if l.Endpoint != "" {
		f.text(laneEndpoint, string(l.Endpoint))
	}
	for _, id := range l.Endpoints {
		f.text(laneListed, string(id))
	}
	for tag, d := range laneDurations(&l) { // each once: their order in the file means nothing
		f.number(tag, int64(*d))
	}
	for tag, v := range laneFloats(&l) {
		f.float(tag, *v)
	}
	f.number(laneBreaker, int64(l.Breaker))
	f.flag(laneGuard, l.Guard)
	f.flag(laneWeak, l.Weak)
	f.flag(laneCold, l.Cold)
	return f.b
}

func encodeLost(l mb.LossCounts) []byte {
	var f fields
	for tag, t := range lostPairs(&l) {
		f.pair(tag, *t)
	}
	f.number(lostIdleBound, int64(l.IdleLimit))
	f.flag(lostTells, l.RetryAfterSeen)
	return f.b
}

// field is one that is read. Its value is taken for what the tag says; what can't be is as if the field were not there.
type field struct {
	tag uint64
	v   []byte
}

func (f field) number(to *int64) {
	if n, size := binary.Varint(f.v); size > 0 {
		*to = n
	}
}

func (f field) duration(to *time.Duration) { f.number((*int64)(to)) }

func (f field) float(to *float64) {
	if len(f.v) != 8 {
		return
	}
	if v := math.Float64frombits(binary.LittleEndian.Uint64(f.v)); !math.IsNaN(v) && !math.IsInf(v, 0) {
		*to = v
	}
}

// positive is a float that can't be below zero.
func (f field) positive(to *float64) {
	v := *to
	if f.float(&v); v >= 0 {
		*to = v
	}
}

func (f field) pair(to *[2]float64) {
	if len(f.v) != 16 {
		return
	}
	v := *to
	field{v: f.v[:8]}.positive(&v[0])
	field{v: f.v[8:]}.positive(&v[1])
	if v[1] <= v[0] {
		*to = v
	}
}

// each goes through fields; an error is one that is cut short.
func each(b []byte, f func(field)) error {
	for len(b) > 0 {
		tag, n := binary.Uvarint(b)
		if n <= 0 {
			return ErrDamaged
		}
		size, m := binary.Uvarint(b[n:])
		if m <= 0 || size > uint64(len(b)-n-m) {
			return ErrDamaged
		}
		f(field{tag, b[n+m : n+m+int(size)]})
		b = b[n+m+int(size):]
	}
	return nil
}

// decode reads a file's content.
func decode(b []byte) (content, error) {
	var c content
	head := len(magic) + 4
	if len(b) < head+8 || string(b[:len(magic)]) != string(magic) {
		return c, fmt.Errorf("%w: no such file", ErrDamaged)
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v > version {
		return c, fmt.Errorf("%w: version %d, this program knows %d", ErrVersion, v, version)
	}
	end := len(b) - 8
	if xxh3.Hash(b[:end]) != binary.LittleEndian.Uint64(b[end:]) {
		return c, fmt.Errorf("%w: its checksum differs", ErrDamaged)
	}
	var inner error
	err := each(b[head:end], func(f field) {
		var err error
		switch f.tag {
		case tagName:
			c.name = string(f.v)
		case tagSaved:
			var n int64
			f.number(&n)
			c.saved = time.Unix(0, n)
		case tagSavedBoot:
			var n int64
			f.number(&n)
			c.stamp.Boot = uint64(n)
		case tagSavedSinceBoot:
			f.duration(&c.stamp.At)
		case tagLane:
			var l mb.LearnedCircuit
			l, err = decodeLane(f.v)
			c.learned.Circuits = append(c.learned.Circuits, l)
		case tagClass:
			var k mb.LearnedClass
			k, err = decodeClass(f.v)
			c.learned.Classes = append(c.learned.Classes, k)
		case tagLost:
			c.learned.Losses, err = decodeLost(f.v)
		case tagEnded:
			c.ended = decodeEnded(f.v)
		}
		if err != nil {
			inner = err
		}
	})
	return c, errors.Join(err, inner)
}

func decodeLane(b []byte) (mb.LearnedCircuit, error) {
	l := mb.LearnedCircuit{GuardFrom: -1, LastBad: -1, LastOK: -1, Trust: 1, Pace: 1, Cap: 1}
	var n int64
	durations, floats := laneDurations(&l), laneFloats(&l)
	err := each(b, func(f field) {
		if d := durations[f.tag]; d != nil {
			f.duration(d)
			return
		}
		if v := floats[f.tag]; v != nil {
			f.positive(v)
			return
		}
		switch f.tag {
		case laneDestination:
			f.number(&n)
			l.Destination = mb.DestinationID(n)
		case laneEndpoint:
			l.Endpoint = mb.EndpointID(f.v)
		case laneListed:
			l.Endpoints = append(l.Endpoints, mb.EndpointID(f.v))
		case laneBreaker:
			var state int64
			if f.number(&state); state != int64(mb.BreakerClosed) { // one that this version does not know is careful, too
				l.Breaker = mb.BreakerOpen
			}
		case laneGuard:
			l.Guard = true
		case laneWeak:
			l.Weak = true
		case laneCold:
			l.Cold = true
		}
	})
	l.Trust = min(1, l.Trust)
	l.Seen, l.OpenLeft, l.Wait, l.GuardSince = max(0, l.Seen), max(0, l.OpenLeft), max(0, l.Wait), max(0, l.GuardSince)
	return l, err
}

func decodeClass(b []byte) (mb.LearnedClass, error) {
	k := mb.LearnedClass{Trust: 1}
	err := each(b, func(f field) {
		switch f.tag {
		case className:
			k.Name = string(f.v)
		case classMean:
			f.positive(&k.MeanSeconds)
		case classTrust:
			f.positive(&k.Trust)
		}
	})
	k.Trust = min(1, k.Trust)
	return k, err
}

func decodeLost(b []byte) (mb.LossCounts, error) {
	var l mb.LossCounts
	pairs := lostPairs(&l)
	err := each(b, func(f field) {
		if p := pairs[f.tag]; p != nil {
			f.pair(p)
			return
		}
		switch f.tag {
		case lostIdleBound:
			f.duration(&l.IdleLimit)
		case lostTells:
			l.RetryAfterSeen = true
		}
	})
	l.IdleLimit = max(0, l.IdleLimit)
	return l, err
}

func decodeEnded(b []byte) (list []ended) {
	for ; len(b) >= endedSize; b = b[endedSize:] {
		list = append(list, ended{
			id:    xxh3.Uint128{Hi: binary.LittleEndian.Uint64(b), Lo: binary.LittleEndian.Uint64(b[8:])},
			until: time.Unix(0, int64(binary.LittleEndian.Uint64(b[16:]))), delivered: b[24] == 1,
		})
	}
	return list
}
