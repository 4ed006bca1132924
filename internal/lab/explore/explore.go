// Package explore is a model checker: it visits each reachable state of a small model once, through every order of its
// transitions. A model consists of plain Go values, the same types that the program runs; they are copied and compared
// field by field.
package explore

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"reflect"
	"sort"
	"time"
	"unsafe"
)

// Move is a transition of a model. Do applies it to the model that it is given, which may be a copy of the one whose
// Moves returned it.
type Move[M any] struct {
	Name string
	Do   func(M)
}

// Model is a state machine that can be explored. Moves returns the transitions that are enabled in the current state;
// Broken describes the invariant that the state violates, or is "".
type Model[M any] interface {
	Moves() []Move[M]
	Broken() string
}

// Result is the outcome of an exploration.
type Result struct {
	States, Depth int
	Leaves        int      // states without an enabled transition
	Cut           bool     // the bound on the number of states was reached
	Broken        string   // the violated invariant, or ""
	Trace         []string // the transitions that lead to the violation
}

// Walk explores up to maxStates states breadth first, so that a trace is as short as possible. Leaf, unless it is nil,
// checks each state that has no enabled transition.
func Walk[M Model[M]](initial M, maxStates int, leaf func(M) string) Result {
	type step struct {
		model  M
		parent int // index of the state from which this one was reached
		name   string
		depth  int
	}
	seen := map[[2]uint64]bool{}
	list := []step{{model: initial, parent: -1}}
	var r Result
	trace := func(i int) (out []string) {
		for ; i > 0; i = list[i].parent {
			out = append([]string{list[i].name}, out...)
		}
		return out
	}
	for i := 0; i < len(list); i++ {
		s := list[i]
		r.States, r.Depth = i+1, max(r.Depth, s.depth)
		if r.Broken = s.model.Broken(); r.Broken != "" {
			r.Trace = trace(i)
			return r
		}
		moves := s.model.Moves()
		if len(moves) == 0 {
			r.Leaves++
			if leaf != nil {
				if r.Broken = leaf(Copy(s.model)); r.Broken != "" {
					r.Trace = trace(i)
					return r
				}
			}
		}
		for _, move := range moves {
			next := Copy(s.model)
			move.Do(next)
			key := Key(next)
			if seen[key] {
				continue
			}
			if seen[key] = true; len(list) >= maxStates {
				r.Cut = true
				continue
			}
			list = append(list, step{next, i, move.Name, s.depth + 1})
		}
		var none M
		list[i].model = none
	}
	return r
}

// Copy returns a deep copy of a value; functions and byte slices are shared.
func Copy[T any](v T) T {
	out := reflect.New(reflect.TypeOf(&v).Elem()).Elem()
	copyInto(out, reflect.ValueOf(&v).Elem(), map[unsafe.Pointer]reflect.Value{})
	return out.Interface().(T)
}

var timeType = reflect.TypeOf(time.Time{})

// settable returns an unexported field in a form that can be set.
func settable(v reflect.Value) reflect.Value {
	if v.CanAddr() {
		return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
	}
	return v
}

// copyInto copies src to dst; seen maps each pointer that was copied to its copy, so that shared pointers stay shared.
func copyInto(dst, src reflect.Value, seen map[unsafe.Pointer]reflect.Value) {
	dst, src = settable(dst), settable(src)
	switch src.Kind() {
	case reflect.Pointer:
		if src.IsNil() {
			return
		}
		if known, ok := seen[src.UnsafePointer()]; ok {
			dst.Set(known)
			return
		}
		p := reflect.New(src.Type().Elem())
		seen[src.UnsafePointer()] = p
		copyInto(p.Elem(), src.Elem(), seen)
		dst.Set(p)
	case reflect.Interface:
		if src.IsNil() {
			return
		}
		v := reflect.New(src.Elem().Type()).Elem()
		tmp := reflect.New(src.Elem().Type()).Elem()
		tmp.Set(src.Elem())
		copyInto(v, tmp, seen)
		dst.Set(v)
	case reflect.Struct:
		if src.Type() == timeType {
			dst.Set(src)
			return
		}
		for i := range src.NumField() {
			copyInto(dst.Field(i), src.Field(i), seen)
		}
	case reflect.Slice:
		if src.IsNil() {
			return
		}
		if src.Type().Elem().Kind() == reflect.Uint8 { // payloads are immutable
			dst.Set(src)
			return
		}
		s := reflect.MakeSlice(src.Type(), src.Len(), src.Len())
		for i := range src.Len() {
			copyInto(s.Index(i), src.Index(i), seen)
		}
		dst.Set(s)
	case reflect.Array:
		for i := range src.Len() {
			copyInto(dst.Index(i), src.Index(i), seen)
		}
	case reflect.Map:
		if src.IsNil() {
			return
		}
		m := reflect.MakeMapWithSize(src.Type(), src.Len())
		for it := src.MapRange(); it.Next(); {
			from := reflect.New(src.Type().Elem()).Elem()
			from.Set(it.Value())
			v := reflect.New(src.Type().Elem()).Elem()
			copyInto(v, from, seen)
			m.SetMapIndex(it.Key(), v)
		}
		dst.Set(m)
	default:
		dst.Set(src)
	}
}

// seeds are the seeds of the two hashes that form a key.
var seeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// Key returns a hash of a value and of everything that it references: equal for equal values, whatever their addresses.
func Key(v any) [2]uint64 {
	var h [2]maphash.Hash
	h[0].SetSeed(seeds[0])
	h[1].SetSeed(seeds[1])
	write := func(b []byte) {
		_, _ = h[0].Write(b)
		_, _ = h[1].Write(b)
	}
	var walk func(v reflect.Value, depth int)
	number := func(n uint64) {
		var b [9]byte
		for i := range 8 {
			b[i] = byte(n >> (8 * i))
		}
		b[8] = 0xfe
		write(b[:])
	}
	walk = func(v reflect.Value, depth int) {
		if depth > 40 {
			panic("explore: the model is nested too deeply or contains a cycle")
		}
		switch v.Kind() {
		case reflect.Pointer, reflect.Interface:
			if v.IsNil() {
				number(0)
				return
			}
			number(1)
			walk(v.Elem(), depth+1)
		case reflect.Struct:
			if v.Type() == timeType {
				number(v.Field(0).Uint()) // without the location, which does not affect the instant
				number(uint64(v.Field(1).Int()))
				return
			}
			for i := range v.NumField() {
				walk(v.Field(i), depth+1)
			}
		case reflect.Slice, reflect.Array:
			number(uint64(v.Len()))
			if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
				write(v.Bytes())
				return
			}
			for i := range v.Len() {
				walk(v.Index(i), depth+1)
			}
		case reflect.Map:
			var keys []string
			by := map[string]reflect.Value{}
			for it := v.MapRange(); it.Next(); {
				k := fmt.Sprint(it.Key())
				keys, by[k] = append(keys, k), it.Value()
			}
			sort.Strings(keys)
			number(uint64(len(keys)))
			for _, k := range keys {
				write([]byte(k))
				walk(by[k], depth+1)
			}
		case reflect.String:
			number(uint64(v.Len()))
			write([]byte(v.String()))
		case reflect.Bool:
			if v.Bool() {
				number(1)
			} else {
				number(0)
			}
		case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
			number(uint64(v.Int()))
		case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
			number(v.Uint())
		case reflect.Float32, reflect.Float64:
			write([]byte(fmt.Sprint(v.Float())))
		case reflect.Func:
		default:
			panic("explore: unsupported kind " + v.Kind().String())
		}
	}
	root := reflect.New(reflect.TypeOf(v)).Elem()
	root.Set(reflect.ValueOf(v))
	walk(root, 0)
	return [2]uint64{h[0].Sum64(), h[1].Sum64()}
}

// RandomWalk takes a number of random walks through models that newModel returns, of at most length transitions each.
// It reaches states for which the exhaustive exploration takes too long; equal seeds take equal walks. In its result
// States counts transitions.
func RandomWalk[M Model[M]](newModel func() M, walks, length int, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 6))
	var r Result
	for range walks {
		model := newModel()
		var trace []string
		for range length {
			moves := model.Moves()
			if len(moves) == 0 {
				r.Leaves++
				break
			}
			move := moves[rng.IntN(len(moves))]
			move.Do(model)
			trace = append(trace, move.Name)
			r.States++
			r.Depth = max(r.Depth, len(trace))
			if r.Broken = model.Broken(); r.Broken != "" {
				r.Trace = trace
				return r
			}
		}
	}
	return r
}
