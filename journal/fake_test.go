package journal

import (
	"io/fs"
	"slices"
	"syscall"
)

// disk is a folder in memory that forgets at a crash what was not synced.
type disk struct {
	files  map[string]*memoryFile
	synced map[string]*memoryFile
	// room is the number of bytes that may still be written; below zero is unbounded.
	room int
	// syncsLeft is the number of syncs that succeed; below zero is unbounded.
	syncsLeft int
}

type memoryFile struct {
	disk    *disk
	data    []byte
	durable []byte
	// unsynced holds where writes since the last sync began.
	unsynced []int
}

var (
	_ Files = (*disk)(nil)
	_ File  = (*memoryFile)(nil)
)

func newDisk() *disk {
	return &disk{files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}, room: -1, syncsLeft: -1}
}

// diskWith returns a disk whose journal has the contents.
func diskWith(b []byte) *disk {
	d := newDisk()
	d.files[fileName] = &memoryFile{disk: d, data: b, durable: b}
	d.synced[fileName] = d.files[fileName]
	return d
}

func (d *disk) Read(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *disk) Append(name string) (File, error) {
	if d.files[name] == nil {
		d.files[name] = &memoryFile{disk: d}
	}
	return d.files[name], nil
}

func (d *disk) Rename(from, to string) error {
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *disk) Remove(name string) error {
	if d.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

func (d *disk) sync() error {
	if d.syncsLeft == 0 {
		return syscall.EIO
	}
	d.syncsLeft--
	return nil
}

func (d *disk) Sync() error {
	if err := d.sync(); err != nil {
		return err
	}
	d.synced = map[string]*memoryFile{}
	for name, f := range d.files {
		d.synced[name] = f
	}
	return nil
}

// crash returns the disk after a power failure that kept extra bytes of each file's unsynced tail, without the unsynced
// writes whose bit is set in lost.
func (d *disk) crash(extra int, lost ...uint64) *disk {
	after := newDisk()
	for name, f := range d.synced {
		kept := slices.Clone(f.durable)
		if len(f.data) > len(kept) {
			kept = append(kept, f.data[len(kept):min(len(f.data), len(kept)+extra)]...)
		}
		for _, bits := range lost {
			f.lose(kept, bits)
		}
		after.files[name] = &memoryFile{disk: after, data: kept, durable: kept}
		after.synced[name] = after.files[name]
	}
	return after
}

// lose clears the unsynced writes whose bit is set.
func (f *memoryFile) lose(b []byte, bits uint64) {
	for i, from := range f.unsynced {
		to := len(b)
		if i+1 < len(f.unsynced) {
			to = min(to, f.unsynced[i+1])
		}
		if bits>>(i%64)&1 == 1 && from < to {
			clear(b[from:to])
		}
	}
}

func (f *memoryFile) Write(b []byte) (int, error) {
	n := len(b)
	if f.disk.room >= 0 {
		n = min(n, f.disk.room)
		f.disk.room -= n
	}
	f.unsynced = append(f.unsynced, len(f.data))
	f.data = append(f.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *memoryFile) Sync() error {
	if err := f.disk.sync(); err != nil {
		return err
	}
	f.durable, f.unsynced = slices.Clone(f.data), nil
	return nil
}

func (f *memoryFile) Truncate(size int64) error {
	f.data = f.data[:size]
	return nil
}

func (f *memoryFile) Close() error { return nil }
