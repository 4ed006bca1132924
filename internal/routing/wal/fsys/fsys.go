// Package fsys is the little of a file system that the journal needs: one folder of files that are appended to. Dir is a
// real one; Mem is one in memory that can be left as a crash would leave it, and Faults makes any of them fail.
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

// File is an open file: appended to, and read at any place.
type File interface {
	io.Writer // at the end; a write that fails may have written a part, as its count says
	io.ReaderAt
	// Sync makes what was written outlast the machine. After it has failed nothing that was not synced before may be
	// trusted: the kernel may have dropped it and reports that once.
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FS is a folder. Its names have no separators.
type FS interface {
	Create(name string) (File, error) // fs.ErrExist if it is there
	Open(name string) (File, error)   // fs.ErrNotExist if it is not
	Rename(from, to string) error     // replaces what has that name
	Remove(name string) error
	List() ([]string, error) // in order
	// Sync makes the creates, renames and removes so far outlast the machine.
	Sync() error
}

// IsNoSpace says that an error tells of a full disk, quota or size limit: what is asked for may succeed once there is room.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Replace replaces a file whole: the content is written under another name first, the file's with ".new" behind it. With
// sync it outlasts the machine. there says that the file has the new content. Beside an error it may: the folder's sync has
// failed, and a power cut may yet bring the old one back, or a rename has failed and what is there could not be read.
func Replace(fsys FS, name string, content []byte, sync bool) (there bool, err error) {
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
		return false, errors.Join(err, fsys.Remove(next)) // its room is wanted
	}
	if err := fsys.Rename(next, name); err != nil { // it may have been made all the same
		made, unread := holds(fsys, name, content)
		switch {
		case unread != nil:
			return true, errors.Join(err, unread)
		case !made:
			return false, errors.Join(err, remove(fsys, next))
		}
	}
	if sync {
		return true, fsys.Sync()
	}
	return true, nil
}

// remove removes a file that may not be there.
func remove(fsys FS, name string) error {
	if err := fsys.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// holds says whether a file is there with exactly a content.
func holds(fsys FS, name string, content []byte) (bool, error) {
	f, err := fsys.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	} else if err != nil {
		return false, err
	}
	defer f.Close()
	there := make([]byte, len(content)+1)
	n, err := f.ReadAt(there, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return false, err
	}
	return bytes.Equal(there[:n], content), nil
}

// NewSuffix is what the name of a file ends in while it is written to replace another.
const NewSuffix = ".new"

// Dir is a folder of the real file system.
type Dir string

type osFile struct{ *os.File }

// Size is how many bytes the file has.
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

// Create makes a file.
func (d Dir) Create(name string) (File, error) { return d.open(name, os.O_CREATE|os.O_EXCL) }

// Open opens a file that is there.
func (d Dir) Open(name string) (File, error) { return d.open(name, 0) }

// Rename moves a file.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List names the files.
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

// Sync syncs the folder.
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
