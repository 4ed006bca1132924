// Command compare measures the journal beside embedded stores that do the same work: bbolt, a B+tree, and pebble, a
// log-structured merge tree. It is a module of its own, so that the program and its checks need neither.
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

func key(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// bolt keeps a message under its number, and its attempts under the same with a byte behind it. Each record is a transaction
// of its own, as it must outlast the process before the next step.
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

// lsm does so with pebble. Without sync its log is written by a goroutine of its own, a little behind: what it has taken may
// not outlast the process.
type lsm struct {
	db *pebble.DB
	o  *pebble.WriteOptions
}

var pebbleEngine = experiment.Engine{Name: "pebble", Open: func(dir string, _ int64, sync bool, live func(uint64)) (experiment.Keeper, error) {
	cache := pebble.NewCache(8 << 20)
	defer cache.Unref()
	db, err := pebble.Open(filepath.Join(dir, "db"), &pebble.Options{Cache: cache, MemTableSize: 4 << 20, Logger: quiet{}})
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
	o := pebble.NoSync
	if sync {
		o = pebble.Sync
	}
	return lsm{db, o}, it.Close()
}}

type quiet struct{}

func (quiet) Infof(string, ...any)             {}
func (quiet) Errorf(format string, a ...any)   { fmt.Fprintf(os.Stderr, format+"\n", a...) }
func (q quiet) Fatalf(format string, a ...any) { q.Errorf(format, a...); os.Exit(1) }

func (l lsm) Accept(seq uint64, body []byte) error { return l.db.Set(key(seq), body, l.o) }

func (l lsm) Attempt(seq uint64) error {
	if err := l.db.Set(append(key(seq), 1), []byte("started in a zone"), l.o); err != nil {
		return err
	}
	return l.db.Set(append(key(seq), 2), []byte{1}, l.o)
}

func (l lsm) End(seq uint64) error {
	b := l.db.NewBatch()
	err := errors.Join(b.Delete(key(seq), nil), b.Delete(append(key(seq), 1), nil), b.Delete(append(key(seq), 2), nil))
	if err != nil {
		return err
	}
	return b.Commit(l.o)
}

func (l lsm) Close() error { return l.db.Close() }

func numbers(text string) (list []int64, err error) {
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
	disks := flag.String("disks", "3000000,32000000", "bytes of disk")
	lives := flag.String("lives", "10,50,80", "share of it that is live, in hundredths")
	bodies := flag.String("bodies", "300,16384,65536", "bytes of a body")
	engines := flag.String("engines", "segments,bbolt,pebble", "what is measured")
	dir := flag.String("dir", "", "where the folders are made")
	longest := flag.Duration("longest", 3*time.Second, "of one run's steady part")
	turnover := flag.Float64("turnover", 4, "of one run's steady part: bytes accepted, in shares of the disk")
	sync := flag.Bool("sync", false, "durability beyond the process's end")
	flag.Parse()
	j := experiment.Journal{Dir: *dir, Longest: *longest, Turnover: *turnover, Sync: *sync, Out: os.Stdout}
	for _, e := range []experiment.Engine{experiment.Segments, boltEngine, pebbleEngine} {
		if strings.Contains(*engines, e.Name) {
			j.Engines = append(j.Engines, e)
		}
	}
	var err error
	if j.Disks, err = numbers(*disks); err == nil {
		var l, b []int64
		if l, err = numbers(*lives); err == nil {
			b, err = numbers(*bodies)
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
