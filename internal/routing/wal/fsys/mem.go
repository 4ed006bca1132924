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

// Mem is a directory in memory that tracks what has been synced. Crash returns the directory as a crash could leave
// it.
type Mem struct {
	// OnChange, if set, is called after each operation that changes something. It may call Crash.
	OnChange func()

	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode // the entries as of the last sync of the directory
	pending []nameChange      // changes of entries since then
}

// inode is the content of a file, independent of its names.
type inode struct {
	data   []byte
	synced []byte
	writes []unsyncedWrite // since the last sync
}

// unsyncedWrite is a write of data at an offset, or a truncation to that length if data is nil.
type unsyncedWrite struct {
	offset int
	data   []byte
}

// nameChange is a change of a directory entry: from is "" for a create, to is "" for a remove.
type nameChange struct {
	from, to string
	node     *inode
}

// NewMem returns an empty directory.
func NewMem() *Mem { return &Mem{names: map[string]*inode{}, durable: map[string]*inode{}} }

func (m *Mem) changed() {
	if m.OnChange != nil {
		m.OnChange()
	}
}

type memFile struct {
	mem  *Mem
	node *inode
}

// Create creates a file.
func (m *Mem) Create(name string) (File, error) {
	m.mu.Lock()
	if m.names[name] != nil {
		m.mu.Unlock()
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	node := &inode{}
	m.names[name] = node
	m.pending = append(m.pending, nameChange{to: name, node: node})
	m.mu.Unlock()
	m.changed()
	return memFile{m, node}, nil
}

// Open opens an existing file.
func (m *Mem) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node := m.names[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return memFile{m, node}, nil
}

// Rename renames a file.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	node := m.names[from]
	if node == nil {
		m.mu.Unlock()
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(m.names, from)
	m.names[to] = node
	m.pending = append(m.pending, nameChange{from: from, to: to, node: node})
	m.mu.Unlock()
	m.changed()
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
	m.pending = append(m.pending, nameChange{from: name, node: node})
	m.mu.Unlock()
	m.changed()
	return nil
}

// List returns the names of the files, sorted.
func (m *Mem) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names)), nil
}

// Sync makes the directory's entries durable.
func (m *Mem) Sync() error {
	m.mu.Lock()
	m.durable, m.pending = maps.Clone(m.names), nil
	m.mu.Unlock()
	m.changed()
	return nil
}

// Write appends p.
func (f memFile) Write(p []byte) (int, error) {
	f.mem.mu.Lock()
	f.node.writes = append(f.node.writes, unsyncedWrite{len(f.node.data), slices.Clone(p)})
	f.node.data = append(f.node.data, p...)
	f.mem.mu.Unlock()
	f.mem.changed()
	return len(p), nil
}

// ReadAt reads at an offset.
func (f memFile) ReadAt(p []byte, offset int64) (int, error) {
	f.mem.mu.Lock()
	defer f.mem.mu.Unlock()
	if offset < 0 {
		return 0, errors.New("fsys: negative offset")
	}
	if offset >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Sync makes the content durable, but not the directory entry.
func (f memFile) Sync() error {
	f.mem.mu.Lock()
	f.node.synced, f.node.writes = slices.Clone(f.node.data), nil
	f.mem.mu.Unlock()
	f.mem.changed()
	return nil
}

// Truncate shortens the file.
func (f memFile) Truncate(size int64) error {
	f.mem.mu.Lock()
	if size < 0 || size > int64(len(f.node.data)) {
		f.mem.mu.Unlock()
		return errors.New("fsys: truncation beyond the end of the file")
	}
	f.node.data = f.node.data[:size:size]
	f.node.writes = append(f.node.writes, unsyncedWrite{offset: int(size)})
	f.mem.mu.Unlock()
	f.mem.changed()
	return nil
}

// Size returns the size of the file in bytes.
func (f memFile) Size() (int64, error) {
	f.mem.mu.Lock()
	defer f.mem.mu.Unlock()
	return int64(len(f.node.data)), nil
}

// Close does nothing; in particular it does not sync.
func (f memFile) Close() error { return nil }

// Loss states what a crash loses.
type Loss int

// The kinds of loss.
const (
	LoseNothing     Loss = iota // only the process ends: all written content remains
	LoseUnsynced                // all unsynced content and entries are lost
	LoseTail                    // unsynced writes and entry changes remain up to some point; the last may be torn
	LoseAnyUnsynced             // any of them remain, in any order, torn at any byte
)

// Crash returns the directory as a crash at this moment could leave it; all of it is durable.
func (m *Mem) Crash(loss Loss, rng *rand.Rand) *Mem {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := maps.Clone(m.durable)
	if loss == LoseNothing {
		names = maps.Clone(m.names)
	}
	keep := len(m.pending)
	if loss == LoseTail {
		keep = rng.IntN(keep + 1)
	}
	for i, c := range m.pending {
		if loss == LoseNothing || loss == LoseUnsynced || loss == LoseTail && i >= keep || loss == LoseAnyUnsynced && rng.IntN(2) == 0 {
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
	copies := map[*inode]*inode{} // a file may have two names in between
	for _, name := range slices.Sorted(maps.Keys(names)) {
		node := names[name]
		if copies[node] == nil {
			data := node.afterCrash(loss, rng)
			copies[node] = &inode{data: data, synced: slices.Clone(data)}
		}
		out.names[name] = copies[node]
	}
	out.durable = maps.Clone(out.names)
	return out
}

// afterCrash returns the file's content as a crash could leave it.
func (n *inode) afterCrash(loss Loss, rng *rand.Rand) []byte {
	switch loss {
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
		case loss == LoseTail && i > keep, loss == LoseAnyUnsynced && rng.IntN(3) == 0:
			continue
		case loss == LoseTail && i == keep, loss == LoseAnyUnsynced && rng.IntN(3) == 0:
			torn = true
		}
		if w.data == nil {
			if len(data) > w.offset {
				data = data[:w.offset]
			}
			continue
		}
		piece := w.data
		if torn {
			piece = piece[:rng.IntN(len(piece)+1)]
		}
		if end := w.offset + len(piece); len(piece) > 0 && end > len(data) {
			data = append(data, make([]byte, end-len(data))...) // gaps read as zeros
		}
		copy(data[min(w.offset, len(data)):], piece)
	}
	return data
}
