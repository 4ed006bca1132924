package fsys

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
)

// Mem is a folder in memory that knows what has been synced. Crash gives the folder that a power cut could leave.
type Mem struct {
	// OnChange is called behind each operation that changes something, unless it is nil; it may call Crash.
	OnChange func()

	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode // the names as they were at the last sync of the folder
	pending []change          // of names since then
}

// inode is a file's content, whatever its names.
type inode struct {
	data   []byte
	synced []byte
	writes []write // since the last sync
}

// write is one that was not synced: data at an offset, or a cut to that length where data is nil.
type write struct {
	at   int
	data []byte
}

// change is one of names: from is "" for a create, to is "" for a remove.
type change struct {
	from, to string
	node     *inode
}

// NewMem is an empty folder.
func NewMem() *Mem { return &Mem{names: map[string]*inode{}, durable: map[string]*inode{}} }

func (m *Mem) stepped() {
	if m.OnChange != nil {
		m.OnChange()
	}
}

type memFile struct {
	m    *Mem
	node *inode
}

// Create makes a file.
func (m *Mem) Create(name string) (File, error) {
	m.mu.Lock()
	if m.names[name] != nil {
		m.mu.Unlock()
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	node := &inode{}
	m.names[name] = node
	m.pending = append(m.pending, change{to: name, node: node})
	m.mu.Unlock()
	m.stepped()
	return memFile{m, node}, nil
}

// Open opens a file that is there.
func (m *Mem) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node := m.names[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return memFile{m, node}, nil
}

// Rename moves a file.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	node := m.names[from]
	if node == nil {
		m.mu.Unlock()
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(m.names, from)
	m.names[to] = node
	m.pending = append(m.pending, change{from: from, to: to, node: node})
	m.mu.Unlock()
	m.stepped()
	return nil
}

// Remove removes a file.
func (m *Mem) Remove(name string) error {
	m.mu.Lock()
	node := m.names[name]
	if node == nil {
		m.mu.Unlock()
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(m.names, name)
	m.pending = append(m.pending, change{from: name, node: node})
	m.mu.Unlock()
	m.stepped()
	return nil
}

// List names the files.
func (m *Mem) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names)), nil
}

// Sync makes the names durable.
func (m *Mem) Sync() error {
	m.mu.Lock()
	m.durable, m.pending = maps.Clone(m.names), nil
	m.mu.Unlock()
	m.stepped()
	return nil
}

// Write appends.
func (f memFile) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	f.node.writes = append(f.node.writes, write{len(f.node.data), slices.Clone(p)})
	f.node.data = append(f.node.data, p...)
	f.m.mu.Unlock()
	f.m.stepped()
	return len(p), nil
}

// ReadAt reads at an offset.
func (f memFile) ReadAt(p []byte, at int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if at < 0 {
		return 0, errors.New("fsys: negative offset")
	}
	if at >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Sync makes the content durable; the file's name is the folder's affair.
func (f memFile) Sync() error {
	f.m.mu.Lock()
	f.node.synced, f.node.writes = slices.Clone(f.node.data), nil
	f.m.mu.Unlock()
	f.m.stepped()
	return nil
}

// Truncate cuts the file.
func (f memFile) Truncate(size int64) error {
	f.m.mu.Lock()
	if size < 0 || size > int64(len(f.node.data)) {
		f.m.mu.Unlock()
		return errors.New("fsys: files are only cut")
	}
	f.node.data = f.node.data[:size:size]
	f.node.writes = append(f.node.writes, write{at: int(size)})
	f.m.mu.Unlock()
	f.m.stepped()
	return nil
}

// Size is how many bytes the file has.
func (f memFile) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	return int64(len(f.node.data)), nil
}

// Close closes the file; that syncs nothing.
func (f memFile) Close() error { return nil }

// Loss says what a crash may take.
type Loss int

// The losses.
const (
	LoseNothing   Loss = iota // only the process ends: all that was written is there
	LoseUnsynced              // all that was not synced is gone
	LoseTail                  // unsynced writes and changes of names got through in order up to some point, the last torn
	LoseAnyUnsynced             // any of them got through, in any order, torn at any byte
)

// Crash gives a folder as a crash at this moment could leave it; all in it is durable.
func (m *Mem) Crash(how Loss, rng *rand.Rand) *Mem {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := maps.Clone(m.durable)
	if how == LoseNothing {
		names = maps.Clone(m.names)
	}
	keep := len(m.pending)
	if how == LoseTail {
		keep = rng.IntN(keep + 1)
	}
	for i, c := range m.pending {
		if how == LoseNothing || how == LoseUnsynced || how == LoseTail && i >= keep || how == LoseAnyUnsynced && rng.IntN(2) == 0 {
			continue
		}
		if c.from != "" && names[c.from] == c.node {
			delete(names, c.from)
		}
		if c.to != "" {
			names[c.to] = c.node
		}
	}
	out := NewMem()
	left := map[*inode]*inode{} // a file that has two names for a moment is one file
	for _, name := range slices.Sorted(maps.Keys(names)) {
		node := names[name]
		if left[node] == nil {
			data := node.crashed(how, rng)
			left[node] = &inode{data: data, synced: slices.Clone(data)}
		}
		out.names[name] = left[node]
	}
	out.durable = maps.Clone(out.names)
	return out
}

// crashed is a file's content as a crash could leave it.
func (n *inode) crashed(how Loss, rng *rand.Rand) []byte {
	switch how {
	case LoseNothing:
		return slices.Clone(n.data)
	case LoseUnsynced:
		return slices.Clone(n.synced)
	}
	data := slices.Clone(n.synced)
	keep := rng.IntN(len(n.writes) + 1)
	for i, w := range n.writes {
		torn := false
		switch {
		case how == LoseTail && i > keep, how == LoseAnyUnsynced && rng.IntN(3) == 0:
			continue
		case how == LoseTail && i == keep, how == LoseAnyUnsynced && rng.IntN(3) == 0:
			torn = true
		}
		if w.data == nil {
			if len(data) > w.at {
				data = data[:w.at]
			}
			continue
		}
		piece := w.data
		if torn {
			piece = piece[:rng.IntN(len(piece)+1)]
		}
		if end := w.at + len(piece); len(piece) > 0 && end > len(data) {
			data = append(data, make([]byte, end-len(data))...) // what is missing in between reads as zeros
		}
		copy(data[min(w.at, len(data)):], piece)
	}
	return data
}
