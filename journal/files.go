package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file opened for appending.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

// Files is the folder of one journal.
type Files interface {
	// Read returns the contents of a file, or fs.ErrNotExist if it does not exist.
	Read(name string) ([]byte, error)
	// Append opens a file for appending, and creates it if it does not exist.
	Append(name string) (File, error)
	// Rename renames the file from to the name to, and replaces an existing file.
	Rename(from, to string) error
	// Remove deletes a file; it returns fs.ErrNotExist if the file does not exist.
	Remove(name string) error
	// Sync makes the creation, renaming and removal of files durable.
	Sync() error
}

// Permissions of the data folder and its files.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

const lockName = "lock"

// Folder is a folder in the operating system's file system, locked against other processes.
type Folder struct {
	path string
	lock *os.File
}

var _ Files = (*Folder)(nil)

// OpenFolder creates the folder if it does not exist, and locks it. It returns *LockedError if another process uses the
// folder, and *WriteError if the folder or its lock file cannot be created.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, &WriteError{Operation: "creation", Name: path, Cause: err}
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, &WriteError{Operation: "creation", Name: lockName, Cause: err}
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &LockedError{Folder: path, Cause: err}
	}
	return &Folder{path: path, lock: lock}, nil
}

// Read returns the contents of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Append opens a file for appending, and creates it if it does not exist.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename renames the file from to the name to, and replaces an existing file.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// Sync syncs the folder and its parent folder.
func (f *Folder) Sync() error {
	for _, path := range []string{f.path, filepath.Dir(f.path)} {
		if err := syncFolder(path); err != nil {
			return err
		}
	}
	return nil
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Close unlocks the folder.
func (f *Folder) Close() error { return f.lock.Close() }
