// Command compare measures the journal against embedded key-value stores under the same workload: bbolt, a B+tree, and
// pebble, a log-structured merge tree. It is a separate module, so that the forwarder and its checks depend on neither.
//
//	cd internal/lab/compare && go run . --disks 32000000 --bodies 300,16384 --lives 10,50,80
package main

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"

	"mulleinbeam/internal/lab/experiment"
)

// key returns the key of a message: its sequence number in big endian, so that keys sort by number.
func key(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// bolt stores a message under its sequence number, and the records of its attempt under that number with a byte
// appended. Each record is a transaction of its own, since it has to survive a crash of the process before the next
// step.
type bolt struct{ db *bbolt.DB }

var bucket = []byte("m")

var boltEngine = experiment.Engine{Name: "bbolt", Open: func(dir string, _ int64, sync bool, live func(uint64)) (experiment.Keeper, error) {
	db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, &bbolt.Options{NoSync: !sync, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return b.ForEach(func(k, _ []byte) error {
			if len(k) == 8 {
				live(binary.BigEndian.Uint64(k))
			}
			return nil
		})
	})
	return bolt{db}, err
}}

func (b bolt) update(f func(*bbolt.Bucket) error) error {
	return b.db.Update(func(tx *bbolt.Tx) error { return f(tx.Bucket(bucket)) })
}

func (b bolt) Accept(seq uint64, body []byte) error {
	return b.update(func(m *bbolt.Bucket) error { return m.Put(key(seq), body) })
}

func (b bolt) Attempt(seq uint64) error {
	if err := b.update(func(m *bbolt.Bucket) error { return m.Put(append(key(seq), 1), []byte("started in a zone")) }); err != nil {
		return err
	}
	return b.update(func(m *bbolt.Bucket) error { return m.Put(append(key(seq), 2), []byte{1}) })
}

func (b bolt) End(seq uint64) error {
	return b.update(func(m *bbolt.Bucket) error {
		return errors.Join(m.Delete(key(seq)), m.Delete(append(key(seq), 1)), m.Delete(append(key(seq), 2)))
	})
}

func (b bolt) Close() error { return b.db.Close() }

// lsm stores the same records in pebble. Without sync, pebble writes its log asynchronously in a goroutine, so that
// records it has accepted may be lost if the process crashes.
type lsm struct {
	db      *pebble.DB
	options *pebble.WriteOptions
}

var pebbleEngine = experiment.Engine{Name: "pebble", Open: func(dir string, _ int64, sync bool, live func(uint64)) (experiment.Keeper, error) {
	cache := pebble.NewCache(8 << 20)
	defer cache.Unref()
	db, err := pebble.Open(filepath.Join(dir, "db"), &pebble.Options{Cache: cache, MemTableSize: 4 << 20, Logger: errorLogger{}})
	if err != nil {
		return nil, err
	}
	it, err := db.NewIter(nil)
	if err != nil {
		return nil, err
	}
	for ok := it.First(); ok; ok = it.Next() {
		if len(it.Key()) == 8 {
			live(binary.BigEndian.Uint64(it.Key()))
		}
	}
	options := pebble.NoSync
	if sync {
		options = pebble.Sync
	}
	return lsm{db, options}, it.Close()
}}

// errorLogger drops informational messages of pebble and prints errors to the standard error.
type errorLogger struct{}

func (errorLogger) Infof(string, ...any)             {}
func (errorLogger) Errorf(format string, a ...any)   { fmt.Fprintf(os.Stderr, format+"\n", a...) }
func (q errorLogger) Fatalf(format string, a ...any) { q.Errorf(format, a...); os.Exit(1) }

func (l lsm) Accept(seq uint64, body []byte) error { return l.db.Set(key(seq), body, l.options) }

func (l lsm) Attempt(seq uint64) error {
	if err := l.db.Set(append(key(seq), 1), []byte("started in a zone"), l.options); err != nil {
		return err
	}
	return l.db.Set(append(key(seq), 2), []byte{1}, l.options)
}

func (l lsm) End(seq uint64) error {
	b := l.db.NewBatch()
	err := errors.Join(b.Delete(key(seq), nil), b.Delete(append(key(seq), 1), nil), b.Delete(append(key(seq), 2), nil))
	if err != nil {
		return err
	}
	return b.Commit(l.options)
}

func (l lsm) Close() error { return l.db.Close() }

// parseNumbers parses a comma-separated list of integers.
func parseNumbers(text string) (list []int64, err error) {
	for word := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	return list, nil
}

func main() {
	disks := flag.String("disks", "3000000,32000000", "disk limits, in bytes")
	lives := flag.String("lives", "10,50,80", "shares of the disk that live messages occupy, in percent")
	bodies := flag.String("bodies", "300,16384,65536", "body sizes, in bytes")
	engines := flag.String("engines", "segments,bbolt,pebble", "engines to measure")
	dir := flag.String("dir", "", "parent of the temporary folders")
	longest := flag.Duration("longest", 3*time.Second, "limit on the duration of the steady phase of a run")
	turnover := flag.Float64("turnover", 4, "bytes to accept in the steady phase of a run, as a multiple of the disk limit")
	sync := flag.Bool("sync", false, "sync accepted messages to the disk")
	flag.Parse()
	j := experiment.Journal{Dir: *dir, Longest: *longest, Turnover: *turnover, Sync: *sync, Out: os.Stdout}
	for _, e := range []experiment.Engine{experiment.Segments, boltEngine, pebbleEngine} {
		if strings.Contains(*engines, e.Name) {
			j.Engines = append(j.Engines, e)
		}
	}
	var err error
	if j.Disks, err = parseNumbers(*disks); err == nil {
		var l, b []int64
		if l, err = parseNumbers(*lives); err == nil {
			b, err = parseNumbers(*bodies)
		}
		for _, n := range l {
			j.Lives = append(j.Lives, int(n))
		}
		for _, n := range b {
			j.Bodies = append(j.Bodies, int(n))
		}
	}
	if err == nil {
		err = j.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}
