package fsys

import "sync"

// Op names an operation that can be made to fail.
type Op string

// The operations.
const (
	OpCreate   Op = "create"
	OpOpen     Op = "open"
	OpRename   Op = "rename"
	OpRemove   Op = "remove"
	OpSyncDir  Op = "sync folder"
	OpWrite    Op = "write"
	OpRead     Op = "read"
	OpSync     Op = "sync"
	OpTruncate Op = "truncate"
	OpList     Op = "list"
)

// FaultFS is a directory whose operations fail as the function given to Set decides.
type FaultFS struct {
	FS
	HidePartialWrites bool // a failed write reports 0 bytes, as the system call does, whatever it has written

	mu   sync.Mutex
	fail func(op Op, name string, n int) (int, error)
}

// Set installs the function that decides which operations fail. It is called with the file's name and, for a write or
// read, the number of bytes. If it returns an error for a write, it also returns how many bytes are written before the
// failure. A nil function removes it.
func (f *FaultFS) Set(fail func(op Op, name string, n int) (written int, err error)) {
	f.mu.Lock()
	f.fail = fail
	f.mu.Unlock()
}

func (f *FaultFS) check(op Op, name string, n int) (int, error) {
	f.mu.Lock()
	fail := f.fail
	f.mu.Unlock()
	if fail == nil {
		return n, nil
	}
	return fail(op, name, n)
}

// Create creates a file.
func (f *FaultFS) Create(name string) (File, error) {
	if _, err := f.check(OpCreate, name, 0); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	return faultyFile{file, f, name}, err
}

// Open opens an existing file.
func (f *FaultFS) Open(name string) (File, error) {
	if _, err := f.check(OpOpen, name, 0); err != nil {
		return nil, err
	}
	file, err := f.FS.Open(name)
	return faultyFile{file, f, name}, err
}

// Rename renames a file.
func (f *FaultFS) Rename(from, to string) error {
	if _, err := f.check(OpRename, from, 0); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

// Remove removes a file.
func (f *FaultFS) Remove(name string) error {
	if _, err := f.check(OpRemove, name, 0); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

// List returns the names of the files.
func (f *FaultFS) List() ([]string, error) {
	if _, err := f.check(OpList, "", 0); err != nil {
		return nil, err
	}
	return f.FS.List()
}

// Sync makes the directory's entries durable.
func (f *FaultFS) Sync() error {
	if _, err := f.check(OpSyncDir, "", 0); err != nil {
		return err
	}
	return f.FS.Sync()
}

type faultyFile struct {
	File
	faults *FaultFS
	name   string
}

// Write appends p, or a part of it if the write is to fail.
func (f faultyFile) Write(p []byte) (int, error) {
	n, err := f.faults.check(OpWrite, f.name, len(p))
	if err == nil {
		return f.File.Write(p)
	}
	if n > 0 {
		if m, werr := f.File.Write(p[:min(n, len(p))]); werr != nil {
			return m, werr
		}
	}
	if f.faults.HidePartialWrites {
		n = 0
	}
	return n, err
}

// ReadAt reads at an offset.
func (f faultyFile) ReadAt(p []byte, offset int64) (int, error) {
	if _, err := f.faults.check(OpRead, f.name, len(p)); err != nil {
		return 0, err
	}
	return f.File.ReadAt(p, offset)
}

// Sync makes the content durable.
func (f faultyFile) Sync() error {
	if _, err := f.faults.check(OpSync, f.name, 0); err != nil {
		return err
	}
	return f.File.Sync()
}

// Truncate shortens the file.
func (f faultyFile) Truncate(size int64) error {
	if _, err := f.faults.check(OpTruncate, f.name, int(size)); err != nil {
		return err
	}
	return f.File.Truncate(size)
}
