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

// A file consists of a magic, a version, fields, and a checksum over everything before it. A field is a tag, a length
// and that many bytes; the value of some fields is a list of fields. The decoder skips unknown tags and accepts missing
// fields, so that files of older and newer programs are read for the fields both know. The version changes only if the
// meaning of a field does.
const version = 1

var magic = []byte("larkmem\n")

// Errors of a file that cannot be used.
var (
	ErrDamaged = errors.New("memory: file is damaged")
	ErrVersion = errors.New("memory: unsupported file version")
)

// Tags of the file's fields.
const (
	tagName = iota + 1
	tagSaved
	tagCircuit
	tagClass
	tagLosses
	tagEnded
	tagSavedBoot
	tagSavedSinceBoot
)

// Tags of a circuit's fields.
const (
	circuitDestination = iota + 1
	circuitEndpoint
	circuitEndpoints
	circuitSeen
	circuitBreaker
	circuitOpenFor
	circuitOpenLeft
	circuitWait
	circuitRate
	circuitLimit
	circuitPace
	circuitCap
	circuitSlowStart
	circuitWeak
	circuitSlowStartSince
	circuitSlowStartFrom
	circuitLastBad
	circuitLastOK
	circuitTrust
	circuitCold
)

// Tags of a class's fields.
const (
	className = iota + 1
	classMean
	classTrust
)

// Tags of the fields of the loss counts.
const (
	lossAfterIdle = iota + 1
	lossOthers
	lossReusedConnection
	lossNewConnection
	lossStrayFailures
	lossStrayRefusals
	lossIdleLimit
	lossRetryAfterSeen
)

// fileContent is the decoded content of a file.
type fileContent struct {
	name    string
	saved   time.Time
	stamp   bootclock.Stamp // boot clock's time of saved
	learned mb.LearnedState
	ended   []endedID
}

// endedID is the hash of the id of an ended message.
type endedID struct {
	id        xxh3.Uint128
	delivered bool
	until     time.Time // when the id expires
}

// endedIDSize is the encoded size of an endedID in bytes.
const endedIDSize = 16 + 8 + 1

// fields encodes a list of fields.
type fields struct{ buf []byte }

func (f *fields) put(tag uint64, v []byte) {
	f.buf = binary.AppendUvarint(binary.AppendUvarint(f.buf, tag), uint64(len(v)))
	f.buf = append(f.buf, v...)
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

// encode encodes a file.
func encode(content fileContent) []byte {
	f := fields{append([]byte(nil), magic...)}
	f.buf = binary.LittleEndian.AppendUint32(f.buf, version)
	f.text(tagName, content.name)
	f.number(tagSaved, content.saved.UnixNano())
	if content.stamp.Boot != 0 {
		f.number(tagSavedBoot, int64(content.stamp.Boot))
		f.number(tagSavedSinceBoot, int64(content.stamp.At))
	}
	for _, l := range content.learned.Circuits {
		f.put(tagCircuit, encodeCircuit(l))
	}
	for _, k := range content.learned.Classes {
		var g fields
		g.text(className, k.Name)
		g.float(classMean, k.MeanSeconds)
		g.float(classTrust, k.Trust)
		f.put(tagClass, g.buf)
	}
	f.put(tagLosses, encodeLosses(content.learned.Losses))
	if len(content.ended) > 0 {
		b := make([]byte, 0, len(content.ended)*endedIDSize)
		for _, e := range content.ended {
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
	return binary.LittleEndian.AppendUint64(f.buf, xxh3.Hash(f.buf))
}

// circuitDurations maps the tags of a circuit's durations to its fields, for encoding and decoding.
func circuitDurations(l *mb.LearnedCircuit) map[uint64]*time.Duration {
	return map[uint64]*time.Duration{
		circuitSeen: &l.Seen, circuitOpenFor: &l.OpenFor, circuitOpenLeft: &l.OpenLeft, circuitWait: &l.Wait, circuitSlowStartSince: &l.GuardSince,
		circuitSlowStartFrom: &l.GuardFrom, circuitLastBad: &l.LastBad, circuitLastOK: &l.LastOK,
	}
}

// circuitFloats maps the tags of a circuit's floats to its fields, for encoding and decoding.
func circuitFloats(l *mb.LearnedCircuit) map[uint64]*float64 {
	return map[uint64]*float64{
		circuitRate: &l.Rate, circuitLimit: &l.Limit, circuitPace: &l.Pace, circuitCap: &l.Cap, circuitTrust: &l.Trust,
	}
}

// lossPairs maps the tags of the loss counts to their fields, for encoding and decoding.
func lossPairs(l *mb.LossCounts) map[uint64]*[2]float64 {
	return map[uint64]*[2]float64{
		lossAfterIdle: &l.AfterIdle, lossOthers: &l.Others, lossReusedConnection: &l.ReusedConnection, lossNewConnection: &l.NewConnection,
		lossStrayFailures: &l.StrayFailures, lossStrayRefusals: &l.StrayRefusals,
	}
}

func encodeCircuit(l mb.LearnedCircuit) []byte {
	var f fields
	f.number(circuitDestination, int64(l.Destination))
	if l.Endpoint != "" {
		f.text(circuitEndpoint, string(l.Endpoint))
	}
	for _, id := range l.Endpoints {
		f.text(circuitEndpoints, string(id))
	}
	for tag, d := range circuitDurations(&l) { // in any order: the order of fields in the file has no meaning
		f.number(tag, int64(*d))
	}
	for tag, v := range circuitFloats(&l) {
		f.float(tag, *v)
	}
	f.number(circuitBreaker, int64(l.Breaker))
	f.flag(circuitSlowStart, l.Guard)
	f.flag(circuitWeak, l.Weak)
	f.flag(circuitCold, l.Cold)
	return f.buf
}

func encodeLosses(l mb.LossCounts) []byte {
	var f fields
	for tag, t := range lossPairs(&l) {
		f.pair(tag, *t)
	}
	f.number(lossIdleLimit, int64(l.IdleLimit))
	f.flag(lossRetryAfterSeen, l.RetryAfterSeen)
	return f.buf
}

// field is a decoded field. Its methods decode the value; they leave the target unchanged if the value is invalid.
type field struct {
	tag   uint64
	value []byte
}

func (f field) number(to *int64) {
	if n, size := binary.Varint(f.value); size > 0 {
		*to = n
	}
}

func (f field) duration(to *time.Duration) { f.number((*int64)(to)) }

func (f field) float(to *float64) {
	if len(f.value) != 8 {
		return
	}
	if v := math.Float64frombits(binary.LittleEndian.Uint64(f.value)); !math.IsNaN(v) && !math.IsInf(v, 0) {
		*to = v
	}
}

// nonNegative decodes a float that must not be below zero.
func (f field) nonNegative(to *float64) {
	v := *to
	if f.float(&v); v >= 0 {
		*to = v
	}
}

func (f field) pair(to *[2]float64) {
	if len(f.value) != 16 {
		return
	}
	v := *to
	field{value: f.value[:8]}.nonNegative(&v[0])
	field{value: f.value[8:]}.nonNegative(&v[1])
	if v[1] <= v[0] {
		*to = v
	}
}

// eachField calls visit for each field in b and returns an error if a field is truncated.
func eachField(b []byte, visit func(field)) error {
	for len(b) > 0 {
		tag, n := binary.Uvarint(b)
		if n <= 0 {
			return ErrDamaged
		}
		size, m := binary.Uvarint(b[n:])
		if m <= 0 || size > uint64(len(b)-n-m) {
			return ErrDamaged
		}
		visit(field{tag, b[n+m : n+m+int(size)]})
		b = b[n+m+int(size):]
	}
	return nil
}

// decode decodes a file.
func decode(data []byte) (fileContent, error) {
	var content fileContent
	headerSize := len(magic) + 4
	if len(data) < headerSize+8 || string(data[:len(magic)]) != string(magic) {
		return content, fmt.Errorf("%w: not a file of learned state", ErrDamaged)
	}
	if v := binary.LittleEndian.Uint32(data[len(magic):]); v > version {
		return content, fmt.Errorf("%w: version %d, this program supports up to %d", ErrVersion, v, version)
	}
	end := len(data) - 8
	if xxh3.Hash(data[:end]) != binary.LittleEndian.Uint64(data[end:]) {
		return content, fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	var inner error
	err := eachField(data[headerSize:end], func(f field) {
		var err error
		switch f.tag {
		case tagName:
			content.name = string(f.value)
		case tagSaved:
			var n int64
			f.number(&n)
			content.saved = time.Unix(0, n)
		case tagSavedBoot:
			var n int64
			f.number(&n)
			content.stamp.Boot = uint64(n)
		case tagSavedSinceBoot:
			f.duration(&content.stamp.At)
		case tagCircuit:
			var l mb.LearnedCircuit
			l, err = decodeCircuit(f.value)
			content.learned.Circuits = append(content.learned.Circuits, l)
		case tagClass:
			var k mb.LearnedClass
			k, err = decodeClass(f.value)
			content.learned.Classes = append(content.learned.Classes, k)
		case tagLosses:
			content.learned.Losses, err = decodeLosses(f.value)
		case tagEnded:
			content.ended = decodeEnded(f.value)
		}
		if err != nil {
			inner = err
		}
	})
	return content, errors.Join(err, inner)
}

func decodeCircuit(b []byte) (mb.LearnedCircuit, error) {
	circuit := mb.LearnedCircuit{GuardFrom: -1, LastBad: -1, LastOK: -1, Trust: 1, Pace: 1, Cap: 1}
	var n int64
	durations, floats := circuitDurations(&circuit), circuitFloats(&circuit)
	err := eachField(b, func(f field) {
		if d := durations[f.tag]; d != nil {
			f.duration(d)
			return
		}
		if v := floats[f.tag]; v != nil {
			f.nonNegative(v)
			return
		}
		switch f.tag {
		case circuitDestination:
			f.number(&n)
			circuit.Destination = mb.DestinationID(n)
		case circuitEndpoint:
			circuit.Endpoint = mb.EndpointID(f.value)
		case circuitEndpoints:
			circuit.Endpoints = append(circuit.Endpoints, mb.EndpointID(f.value))
		case circuitBreaker:
			var state int64
			if f.number(&state); state != int64(mb.BreakerClosed) { // unknown states count as open, too
				circuit.Breaker = mb.BreakerOpen
			}
		case circuitSlowStart:
			circuit.Guard = true
		case circuitWeak:
			circuit.Weak = true
		case circuitCold:
			circuit.Cold = true
		}
	})
	circuit.Trust = min(1, circuit.Trust)
	circuit.Seen, circuit.OpenLeft, circuit.Wait, circuit.GuardSince = max(0, circuit.Seen), max(0, circuit.OpenLeft), max(0, circuit.Wait), max(0, circuit.GuardSince)
	return circuit, err
}

func decodeClass(b []byte) (mb.LearnedClass, error) {
	k := mb.LearnedClass{Trust: 1}
	err := eachField(b, func(f field) {
		switch f.tag {
		case className:
			k.Name = string(f.value)
		case classMean:
			f.nonNegative(&k.MeanSeconds)
		case classTrust:
			f.nonNegative(&k.Trust)
		}
	})
	k.Trust = min(1, k.Trust)
	return k, err
}

func decodeLosses(b []byte) (mb.LossCounts, error) {
	var l mb.LossCounts
	pairs := lossPairs(&l)
	err := eachField(b, func(f field) {
		if p := pairs[f.tag]; p != nil {
			f.pair(p)
			return
		}
		switch f.tag {
		case lossIdleLimit:
			f.duration(&l.IdleLimit)
		case lossRetryAfterSeen:
			l.RetryAfterSeen = true
		}
	})
	l.IdleLimit = max(0, l.IdleLimit)
	return l, err
}

func decodeEnded(b []byte) (list []endedID) {
	for ; len(b) >= endedIDSize; b = b[endedIDSize:] {
		list = append(list, endedID{
			id:    xxh3.Uint128{Hi: binary.LittleEndian.Uint64(b), Lo: binary.LittleEndian.Uint64(b[8:])},
			until: time.Unix(0, int64(binary.LittleEndian.Uint64(b[16:]))), delivered: b[24] == 1,
		})
	}
	return list
}
