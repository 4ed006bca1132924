package fsys

import (
	"errors"
	"io/fs"
	"slices"
	"sync"
)

// LimitDescriptors is a folder of which no more than so many files have a descriptor at once, however many are open: one that has not been used
// the longest gives its own up, and gets another when it is used again. One whose name has gone keeps its descriptor beside these.
// Its files are removed or renamed through it alone.
func LimitDescriptors(folder FS, most int) FS {
	f := &few{FS: folder, most: max(1, most), files: map[*fewFile]struct{}{}}
	f.free.L = &f.mu
	return f
}

type few struct {
	FS
	most int

	mu    sync.Mutex
	free  sync.Cond             // a descriptor may be had
	files map[*fewFile]struct{} // open ones, with or without a descriptor
	held  []*fewFile            // those with one, the one used last behind the others
}

// fewFile is an open file. few.mu guards all but the use of file while users is above zero.
type fewFile struct {
	folder *few
	name   string
	file   File // nil: it has no descriptor
	users  int
	gone   bool // its name is: it could not be opened again
}

func (d *few) Create(name string) (File, error) { return d.open(name, d.FS.Create) }
func (d *few) Open(name string) (File, error)   { return d.open(name, d.FS.Open) }

func (d *few) open(name string, how func(string) (File, error)) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &fewFile{folder: d, name: name}
	if err := d.equip(f, how); err != nil {
		return nil, err
	}
	d.files[f] = struct{}{}
	return f, nil
}

// equip gives a file a descriptor; d.mu is held, and let go of while it waits for one.
func (d *few) equip(f *fewFile, how func(string) (File, error)) error {
	for len(d.held) >= d.most {
		i := slices.IndexFunc(d.held, func(o *fewFile) bool { return o.users == 0 })
		if i < 0 {
			d.free.Wait()
			continue
		}
		idle := d.held[i]
		d.held = slices.Delete(d.held, i, i+1)
		err := idle.file.Close()
		if idle.file = nil; err != nil {
			return err
		}
	}
	if f.file != nil { // somebody else has seen to it
		return nil
	}
	file, err := how(f.name)
	if err != nil {
		return err
	}
	f.file = file
	d.held = append(d.held, f)
	return nil
}

// use gives a file's descriptor for as long as do takes.
func (f *fewFile) use(do func(File) error) error {
	d := f.folder
	d.mu.Lock()
	if _, open := d.files[f]; !open {
		d.mu.Unlock()
		return fs.ErrClosed
	}
	if f.file == nil {
		if err := d.equip(f, d.FS.Open); err != nil {
			d.mu.Unlock()
			return err
		}
	}
	f.users++
	if i := slices.Index(d.held, f); i >= 0 {
		d.held = append(slices.Delete(d.held, i, i+1), f)
	}
	file := f.file
	d.mu.Unlock()
	err := do(file)
	d.mu.Lock()
	f.users--
	d.free.Broadcast()
	d.mu.Unlock()
	return err
}

func (f *fewFile) Write(b []byte) (n int, err error) {
	err = f.use(func(file File) (err error) { n, err = file.Write(b); return err })
	return n, err
}

func (f *fewFile) ReadAt(b []byte, at int64) (n int, err error) {
	err = f.use(func(file File) (err error) { n, err = file.ReadAt(b, at); return err })
	return n, err
}

func (f *fewFile) Size() (n int64, err error) {
	err = f.use(func(file File) (err error) { n, err = file.Size(); return err })
	return n, err
}

func (f *fewFile) Sync() error { return f.use(File.Sync) }
func (f *fewFile) Truncate(size int64) error {
	return f.use(func(file File) error { return file.Truncate(size) })
}

func (f *fewFile) Close() error {
	d := f.folder
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, open := d.files[f]; !open {
		return fs.ErrClosed
	}
	delete(d.files, f)
	if f.file == nil {
		return nil
	}
	d.held = slices.DeleteFunc(d.held, func(o *fewFile) bool { return o == f })
	d.free.Broadcast()
	return f.file.Close()
}

// Remove removes a file. Whoever has it open reads on, so it gets its descriptor first and keeps it.
func (d *few) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var errs []error
	for f := range d.files {
		if f.name == name && !f.gone {
			errs = append(errs, d.keep(f))
		}
	}
	if err := errors.Join(errs...); err != nil { // whoever has it open would read nothing any more
		return err
	}
	return d.FS.Remove(name)
}

// Rename renames a file; whoever has it open goes on under the new name, and whoever had that one keeps what was there.
func (d *few) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var errs []error
	for f := range d.files {
		if f.name == to && !f.gone {
			errs = append(errs, d.keep(f))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if err := d.FS.Rename(from, to); err != nil {
		return err
	}
	for f := range d.files {
		if f.name == from && !f.gone {
			f.name = to
		}
	}
	return nil
}

// keep leaves a file whose name goes its descriptor to its close, beside the others'; d.mu is held.
func (d *few) keep(f *fewFile) error {
	if f.file == nil {
		if err := d.equip(f, d.FS.Open); err != nil {
			return err
		}
	}
	f.gone = true
	d.held = slices.DeleteFunc(d.held, func(o *fewFile) bool { return o == f })
	d.free.Broadcast()
	return nil
}
