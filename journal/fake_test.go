package journal

import (
	"io/fs"
	"slices"
	"syscall"
)

// memoryDisk is an in-memory folder that loses unsynced changes on a crash.
type memoryDisk struct {
	files  map[string]*memoryFile
	synced map[string]*memoryFile
	// capacity is the number of bytes that may still be written; a negative value means no limit.
	capacity int
	// syncsLeft is the number of syncs that succeed before one fails; a negative value means no limit.
	syncsLeft int
}

type memoryFile struct {
	disk    *memoryDisk
	data    []byte
	durable []byte
	// unsynced holds the start offsets of the writes since the last sync.
	unsynced []int
}

var (
	_ Files = (*memoryDisk)(nil)
	_ File  = (*memoryFile)(nil)
)

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{files: map[string]*memoryFile{}, synced: map[string]*memoryFile{}, capacity: -1, syncsLeft: -1}
}

// diskWith returns a disk whose journal file has the contents b.
func diskWith(b []byte) *memoryDisk {
	d := newMemoryDisk()
	d.files[fileName] = &memoryFile{disk: d, data: b, durable: b}
	d.synced[fileName] = d.files[fileName]
	return d
}

func (d *memoryDisk) Read(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *memoryDisk) Append(name string) (File, error) {
	if d.files[name] == nil {
		d.files[name] = &memoryFile{disk: d}
	}
	return d.files[name], nil
}

func (d *memoryDisk) Rename(from, to string) error {
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memoryDisk) Remove(name string) error {
	if d.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

func (d *memoryDisk) sync() error {
	if d.syncsLeft == 0 {
		return syscall.EIO
	}
	d.syncsLeft--
	return nil
}

func (d *memoryDisk) Sync() error {
	if err := d.sync(); err != nil {
		return err
	}
	d.synced = map[string]*memoryFile{}
	for name, f := range d.files {
		d.synced[name] = f
	}
	return nil
}

// crash returns the disk after a power failure that preserved extra bytes of each file's unsynced tail, and zeroed the
// unsynced writes whose bit is set in lost.
func (d *memoryDisk) crash(extra int, lost ...uint64) *memoryDisk {
	after := newMemoryDisk()
	for name, f := range d.synced {
		kept := slices.Clone(f.durable)
		if len(f.data) > len(kept) {
			kept = append(kept, f.data[len(kept):min(len(f.data), len(kept)+extra)]...)
		}
		for _, bits := range lost {
			f.clearWrites(kept, bits)
		}
		after.files[name] = &memoryFile{disk: after, data: kept, durable: kept}
		after.synced[name] = after.files[name]
	}
	return after
}

// clearWrites zeroes the unsynced writes whose bit is set in bits.
func (f *memoryFile) clearWrites(b []byte, bits uint64) {
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
	if f.disk.capacity >= 0 {
		n = min(n, f.disk.capacity)
		f.disk.capacity -= n
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
