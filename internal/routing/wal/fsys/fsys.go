// Package fsys is the part of a file system that the journal needs: one directory of append-only files. Dir is a real
// directory, and Mem one in memory that can simulate a crash. FaultFS injects failures, and LimitDescriptors bounds
// the number of open descriptors.
package fsys

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// File is an open file that is appended to and read at any offset.
type File interface {
	io.Writer // appends; a failed write may have written a part, as its count says
	io.ReaderAt
	// Sync makes the written content survive a crash of the machine. After a failure, content that was not synced
	// before must be considered lost: the kernel may have dropped it, and reports that only once.
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FS is a directory of files. Names contain no separators.
type FS interface {
	Create(name string) (File, error) // fs.ErrExist if it exists
	Open(name string) (File, error)   // fs.ErrNotExist if it does not exist
	Rename(from, to string) error     // replaces an existing file
	Remove(name string) error
	List() ([]string, error) // sorted
	// Sync makes all creates, renames and removes so far survive a crash of the machine.
	Sync() error
}

// IsNoSpace reports whether an error means that the disk, a quota or the file size limit is exhausted: the operation
// may succeed once there is space.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Replace replaces a file as a whole. The content is written to a file with NewSuffix first, which is then renamed.
// With sync the new content survives a crash of the machine. replaced reports that the file has, or may have, the new
// content. It may be true along with an error: if the sync of the directory has failed, a power failure may still
// restore the old content, and if the rename has failed, the file could not be read to tell which content it has.
func Replace(fsys FS, name string, content []byte, sync bool) (replaced bool, err error) {
	next := name + NewSuffix
	if err := remove(fsys, next); err != nil {
		return false, err
	}
	f, err := fsys.Create(next)
	if err != nil {
		return false, err
	}
	_, err = f.Write(content)
	if err == nil && sync {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return false, errors.Join(err, fsys.Remove(next)) // frees its space
	}
	if err := fsys.Rename(next, name); err != nil { // the rename may have taken effect nevertheless
		made, readErr := holds(fsys, name, content)
		switch {
		case readErr != nil:
			return true, errors.Join(err, readErr)
		case !made:
			return false, errors.Join(err, remove(fsys, next))
		}
	}
	if sync {
		return true, fsys.Sync()
	}
	return true, nil
}

// remove removes a file that may not exist.
func remove(fsys FS, name string) error {
	if err := fsys.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// holds reports whether a file exists and has exactly the given content.
func holds(fsys FS, name string, content []byte) (bool, error) {
	f, err := fsys.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	} else if err != nil {
		return false, err
	}
	defer f.Close()
	buf := make([]byte, len(content)+1)
	n, err := f.ReadAt(buf, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return false, err
	}
	return bytes.Equal(buf[:n], content), nil
}

// NewSuffix is the suffix of a file that is written to replace another.
const NewSuffix = ".new"

// Dir is a directory of the real file system.
type Dir string

type osFile struct{ *os.File }

// Size returns the size of the file in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d Dir) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_RDWR|os.O_APPEND|flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Create creates a file.
func (d Dir) Create(name string) (File, error) { return d.open(name, os.O_CREATE|os.O_EXCL) }

// Open opens an existing file.
func (d Dir) Open(name string) (File, error) { return d.open(name, 0) }

// Rename renames a file.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List returns the names of the files, sorted.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Sync makes the directory's entries durable.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync of %s: %w", d, err)
	}
	return nil
}
