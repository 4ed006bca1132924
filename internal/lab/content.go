// Package lab is the project's test laboratory: rate-limited clients and endpoints, a discovery agent, the real program
// as a process, and a checker of the rules. It uses the HTTP implementation of the standard library, so that the
// project's own parsers are tested against an independent one. It uses loopback addresses only, and stops all that it
// starts.
package lab

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
)

// blockBytes is the number of bytes after which a content repeats. It is no power of two, so that a lost or repeated
// piece shifts all bytes after it.
const blockBytes = 1<<20 + 7

// Content is a body of Size bytes that are generated from a seed; other seeds generate other bytes.
type Content struct {
	Seed uint64
	Size int64
}

// Reader returns a reader of the content from its start.
func (c Content) Reader() io.Reader {
	b := make([]byte, min(blockBytes, max(1, c.Size)))
	rng := rand.NewChaCha8([32]byte{byte(c.Seed), byte(c.Seed >> 8), byte(c.Seed >> 16), byte(c.Seed >> 24), byte(c.Size), byte(c.Size >> 8)})
	_, _ = rng.Read(b)
	return &contentReader{block: b, remaining: c.Size}
}

type contentReader struct {
	block     []byte
	offset    int // in block
	remaining int64
}

func (r *contentReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.block[r.offset:min(int64(len(r.block)), int64(r.offset)+r.remaining)])
	r.offset, r.remaining = (r.offset+n)%len(r.block), r.remaining-int64(n)
	return n, nil
}

// Digest returns the content's hash.
func (c Content) Digest() uint64 {
	h := xxh3.New()
	_, _ = io.Copy(h, c.Reader())
	return h.Sum64()
}

// Tally counts and hashes the bytes written to it. It is not safe for concurrent use.
type Tally struct {
	Bytes int64
	hash  xxh3.Hasher
}

// Write counts and hashes bytes; it never fails.
func (t *Tally) Write(p []byte) (int, error) {
	t.Bytes += int64(len(p))
	return t.hash.Write(p)
}

// Digest returns the hash of all bytes written so far.
func (t *Tally) Digest() uint64 { return t.hash.Sum64() }

// RateLimitedReader limits a reader to Rate bytes per second; 0 is no limit.
type RateLimitedReader struct {
	R         io.Reader
	Rate      int64
	began     time.Time
	bytesRead int64
}

// readsPerSecond divides a second into reads: one read returns at most this part of the rate.
const readsPerSecond = 50

// Read reads from R, and then waits until the rate permits the bytes read so far.
func (r *RateLimitedReader) Read(b []byte) (int, error) {
	if r.Rate <= 0 {
		return r.R.Read(b)
	}
	if r.began.IsZero() {
		r.began = time.Now()
	}
	n, err := r.R.Read(b[:min(int64(len(b)), max(1, r.Rate/readsPerSecond))])
	r.bytesRead += int64(n)
	due := time.Duration(float64(r.bytesRead) / float64(r.Rate) * float64(time.Second))
	if wait := due - time.Since(r.began); wait > 0 {
		time.Sleep(wait)
	}
	return n, err
}
