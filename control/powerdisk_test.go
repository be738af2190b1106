package control

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"
	"syscall"

	"arbutusreel/journal"
)

// errPowerLost is the error of every operation on a disk whose machine has lost power.
var errPowerLost = errors.New("power lost")

// powerDisk is an in-memory folder. After a power failure each unsynced write is present, missing or torn, and each
// creation, renaming or removal since the folder's last sync is kept or lost independently.
type powerDisk struct {
	rnd   *rand.Rand
	names map[string]*powerFile
	// durable holds the names that survive a power failure, and changes those made since the folder's last sync.
	durable map[string]*powerFile
	changes []nameChange
	// operations is the number of operations until the power fails; a negative value means no limit.
	operations int
	full       bool
}

// nameChange gives the file a new name; an empty name means that the old name is removed.
type nameChange struct {
	from, to string
	file     *powerFile
}

type powerFile struct {
	disk    *powerDisk
	data    []byte
	durable []byte
	writes  []fileWrite
}

// fileWrite is an unsynced write at an offset or, if truncate is set, a truncation to it.
type fileWrite struct {
	offset   int
	data     []byte
	truncate bool
}

var (
	_ journal.Files = (*powerDisk)(nil)
	_ journal.File  = (*powerFile)(nil)
)

func newPowerDisk(rnd *rand.Rand) *powerDisk {
	return &powerDisk{rnd: rnd, names: map[string]*powerFile{}, durable: map[string]*powerFile{}, operations: -1}
}

func (d *powerDisk) operate() error {
	if d.operations == 0 {
		return errPowerLost
	}
	d.operations--
	return nil
}

func (d *powerDisk) Read(name string) ([]byte, error) {
	f, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *powerDisk) Append(name string) (journal.File, error) {
	if err := d.operate(); err != nil {
		return nil, err
	}
	if d.names[name] == nil {
		d.names[name] = &powerFile{disk: d}
		d.changes = append(d.changes, nameChange{to: name, file: d.names[name]})
	}
	return d.names[name], nil
}

func (d *powerDisk) Rename(from, to string) error {
	if err := d.operate(); err != nil {
		return err
	}
	d.changes = append(d.changes, nameChange{from: from, to: to, file: d.names[from]})
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *powerDisk) Remove(name string) error {
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	if err := d.operate(); err != nil {
		return err
	}
	d.changes = append(d.changes, nameChange{from: name})
	delete(d.names, name)
	return nil
}

func (d *powerDisk) Sync() error {
	if err := d.operate(); err != nil {
		return err
	}
	for _, c := range d.changes {
		c.apply(d.durable)
	}
	d.changes = nil
	return nil
}

func (c nameChange) apply(names map[string]*powerFile) {
	delete(names, c.from)
	if c.to != "" {
		names[c.to] = c.file
	}
}

func (f *powerFile) Write(b []byte) (int, error) {
	if err := f.disk.operate(); err != nil {
		return 0, err
	}
	n := len(b)
	if f.disk.full {
		n = f.disk.rnd.IntN(n)
	}
	f.writes = append(f.writes, fileWrite{offset: len(f.data), data: slices.Clone(b[:n])})
	f.data = append(f.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync makes the file durable, and its name if the file is new.
func (f *powerFile) Sync() error {
	if err := f.disk.operate(); err != nil {
		return err
	}
	f.durable, f.writes = slices.Clone(f.data), nil
	f.disk.changes = slices.DeleteFunc(f.disk.changes, func(c nameChange) bool {
		if c.file != f || c.from != "" {
			return false
		}
		c.apply(f.disk.durable)
		return true
	})
	return nil
}

func (f *powerFile) Truncate(size int64) error {
	if err := f.disk.operate(); err != nil {
		return err
	}
	f.writes = append(f.writes, fileWrite{offset: int(size), truncate: true})
	f.data = f.data[:size:size]
	return nil
}

func (f *powerFile) Close() error { return nil }

// afterPowerLoss returns the disk after a power failure. If synced is set, all that was not synced is gone.
func (d *powerDisk) afterPowerLoss(synced bool) *powerDisk {
	after := newPowerDisk(d.rnd)
	kept := func() bool { return !synced && d.rnd.IntN(2) == 0 }
	names := make(map[string]*powerFile, len(d.durable))
	for name, f := range d.durable {
		names[name] = f
	}
	for _, c := range d.changes {
		if kept() {
			c.apply(names)
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	for _, name := range sorted {
		b := names[name].afterPowerLoss(kept, d.rnd)
		after.names[name] = &powerFile{disk: after, data: b, durable: slices.Clone(b)}
		after.durable[name] = after.names[name]
	}
	return after
}

func (f *powerFile) afterPowerLoss(kept func() bool, rnd *rand.Rand) []byte {
	b := slices.Clone(f.durable)
	for _, w := range f.writes {
		if !kept() {
			continue
		}
		if w.truncate {
			b = b[:min(len(b), w.offset)]
			continue
		}
		data := w.data
		if kept() {
			data = data[:rnd.IntN(len(data)+1)]
		}
		if missing := w.offset + len(data) - len(b); missing > 0 && len(data) > 0 {
			b = append(b, make([]byte, missing)...)
		}
		copy(b[min(len(b), w.offset):], data)
	}
	return b
}
