package wal

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLife takes messages through their whole life, a share of the disk being live, and tells the longest that one
// append has taken: what the router's goroutine stands still for.
//
//	go test -run XXX -bench Life -benchtime 20000x ./internal/routing/wal
func BenchmarkLife(b *testing.B) {
	for _, c := range []struct {
		disk int64
		body int
		live float64
	}{{3e6, 300, 0.1}, {3e6, 16 << 10, 0.4}, {3e6, 16 << 10, 0.8}, {32e6, 16 << 10, 0.4}, {32e6, 16 << 10, 0.8}, {32e6, 64 << 10, 0.4}} {
		b.Run(fmt.Sprintf("disk=%dMB/body=%d/live=%.0f%%", c.disk/1e6, c.body, 100*c.live), func(b *testing.B) {
			l, err := Open(b.TempDir(), Options{MaxBytes: c.disk}, func(line string) { b.Log(line) })
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			body := make([]byte, c.body)
			most := max(1, int(c.live*float64(c.disk))/(c.body+300))
			var held []uint64
			var longest time.Duration
			refused := 0
			clock := func(f func() error) error {
				from := time.Now()
				err := f()
				longest = max(longest, time.Since(from))
				return err
			}
			b.ResetTimer()
			for range b.N {
				for len(held) >= most {
					seq := held[0]
					held = held[1:]
					_ = clock(func() error { return l.Started(seq, epoch, "z") })
					_ = clock(func() error { return l.Outcome(seq, true) })
					if err := clock(func() error { return l.End(seq, Completed, 0) }); err != nil {
						b.Fatal(err)
					}
				}
				m := &Message{Seq: l.NextSeq(), Deadline: epoch, ID: "0123456789abcdef", Class: "c", Body: body}
				for waits := 0; !l.Fits(m); waits++ { // come again, as a client would, only sooner
					if refused++; waits > 20000 {
						b.Skip("no room for so much")
					}
					time.Sleep(50 * time.Microsecond)
				}
				if err := clock(func() error { return l.Accept(m) }); err != nil {
					b.Fatal(err)
				}
				held = append(held, m.Seq)
			}
			b.StopTimer()
			b.ReportMetric(longest.Seconds()*1000, "longest-ms")
			b.ReportMetric(float64(refused)/float64(b.N), "waits/op")
		})
	}
}
