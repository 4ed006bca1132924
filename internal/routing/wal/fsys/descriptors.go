package fsys

import (
	"errors"
	"io/fs"
	"slices"
	"sync"
)

// LimitDescriptors returns a directory that uses at most maxOpen file descriptors, however many files are open: the
// descriptor of the least recently used file is closed, and the file is reopened when it is used again. A file that
// was removed or replaced while open keeps a descriptor that is not counted. Files must be removed and renamed only
// through this directory.
func LimitDescriptors(dir FS, maxOpen int) FS {
	f := &limitedFS{FS: dir, maxOpen: max(1, maxOpen), files: map[*limitedFile]struct{}{}}
	f.released.L = &f.mu
	return f
}

type limitedFS struct {
	FS
	maxOpen int

	mu             sync.Mutex
	released       sync.Cond                 // a descriptor may be available
	files          map[*limitedFile]struct{} // open files, with or without a descriptor
	withDescriptor []*limitedFile            // files with a descriptor, least recently used first
}

// limitedFile is an open file. limitedFS.mu guards all fields, except that file is used without it while users is
// above zero.
type limitedFile struct {
	owner    *limitedFS
	name     string
	file     File // nil if it has no descriptor
	users    int
	unlinked bool // its name was removed or replaced, so it cannot be reopened
}

func (d *limitedFS) Create(name string) (File, error) { return d.open(name, d.FS.Create) }
func (d *limitedFS) Open(name string) (File, error)   { return d.open(name, d.FS.Open) }

func (d *limitedFS) open(name string, openFile func(string) (File, error)) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &limitedFile{owner: d, name: name}
	if err := d.acquire(f, openFile); err != nil {
		return nil, err
	}
	d.files[f] = struct{}{}
	return f, nil
}

// acquire gives a file a descriptor; d.mu is held, but released while waiting for a descriptor.
func (d *limitedFS) acquire(f *limitedFile, openFile func(string) (File, error)) error {
	for len(d.withDescriptor) >= d.maxOpen {
		i := slices.IndexFunc(d.withDescriptor, func(o *limitedFile) bool { return o.users == 0 })
		if i < 0 {
			d.released.Wait()
			continue
		}
		idle := d.withDescriptor[i]
		d.withDescriptor = slices.Delete(d.withDescriptor, i, i+1)
		err := idle.file.Close()
		if idle.file = nil; err != nil {
			return err
		}
	}
	if f.file != nil { // opened by another goroutine while waiting
		return nil
	}
	file, err := openFile(f.name)
	if err != nil {
		return err
	}
	f.file = file
	d.withDescriptor = append(d.withDescriptor, f)
	return nil
}

// withFile calls do with the file's descriptor, which stays open meanwhile.
func (f *limitedFile) withFile(do func(File) error) error {
	d := f.owner
	d.mu.Lock()
	if _, open := d.files[f]; !open {
		d.mu.Unlock()
		return fs.ErrClosed
	}
	if f.file == nil {
		if err := d.acquire(f, d.FS.Open); err != nil {
			d.mu.Unlock()
			return err
		}
	}
	f.users++
	if i := slices.Index(d.withDescriptor, f); i >= 0 {
		d.withDescriptor = append(slices.Delete(d.withDescriptor, i, i+1), f)
	}
	file := f.file
	d.mu.Unlock()
	err := do(file)
	d.mu.Lock()
	f.users--
	d.released.Broadcast()
	d.mu.Unlock()
	return err
}

func (f *limitedFile) Write(b []byte) (n int, err error) {
	err = f.withFile(func(file File) (err error) { n, err = file.Write(b); return err })
	return n, err
}

func (f *limitedFile) ReadAt(b []byte, offset int64) (n int, err error) {
	err = f.withFile(func(file File) (err error) { n, err = file.ReadAt(b, offset); return err })
	return n, err
}

func (f *limitedFile) Size() (n int64, err error) {
	err = f.withFile(func(file File) (err error) { n, err = file.Size(); return err })
	return n, err
}

func (f *limitedFile) Sync() error { return f.withFile(File.Sync) }
func (f *limitedFile) Truncate(size int64) error {
	return f.withFile(func(file File) error { return file.Truncate(size) })
}

func (f *limitedFile) Close() error {
	d := f.owner
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, open := d.files[f]; !open {
		return fs.ErrClosed
	}
	delete(d.files, f)
	if f.file == nil {
		return nil
	}
	d.withDescriptor = slices.DeleteFunc(d.withDescriptor, func(o *limitedFile) bool { return o == f })
	d.released.Broadcast()
	return f.file.Close()
}

// Remove removes a file. Open instances of it remain readable, so they get a descriptor first and keep it.
func (d *limitedFS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var errs []error
	for f := range d.files {
		if f.name == name && !f.unlinked {
			errs = append(errs, d.pin(f))
		}
	}
	if err := errors.Join(errs...); err != nil { // open instances would become unreadable
		return err
	}
	return d.FS.Remove(name)
}

// Rename renames a file. Open instances continue under the new name, and open instances of a replaced file keep its
// content.
func (d *limitedFS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var errs []error
	for f := range d.files {
		if f.name == to && !f.unlinked {
			errs = append(errs, d.pin(f))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if err := d.FS.Rename(from, to); err != nil {
		return err
	}
	for f := range d.files {
		if f.name == from && !f.unlinked {
			f.name = to
		}
	}
	return nil
}

// pin lets a file whose name is about to disappear keep a descriptor until it is closed, which is not counted; d.mu is
// held.
func (d *limitedFS) pin(f *limitedFile) error {
	if f.file == nil {
		if err := d.acquire(f, d.FS.Open); err != nil {
			return err
		}
	}
	f.unlinked = true
	d.withDescriptor = slices.DeleteFunc(d.withDescriptor, func(o *limitedFile) bool { return o == f })
	d.released.Broadcast()
	return nil
}
