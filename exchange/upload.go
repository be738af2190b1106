package exchange

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// upload is a request that may still be written while its response is read.
type upload struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// startUpload calls write in the background.
func startUpload(write func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = write()
	}()
	return u
}

// finishedUpload returns an upload whose request has already been written.
func finishedUpload() *upload {
	u := &upload{done: make(chan struct{})}
	close(u.done)
	return u
}

// written reports whether the whole request has been written.
func (u *upload) written() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// writtenWithin reports whether the whole request has been written, or is within the limit. The response may arrive before the last
// write returns.
func (u *upload) writtenWithin(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-timer.C:
		return false
	}
}

// takenReset returns the error of the connection that the upload has taken, or nil if the connection ended in order. It is called
// when a read has reached the end, and ends the upload.
//
// The kernel reports the failure of a connection to one call only, a read or a write; if a write takes it, the next read sees an
// orderly end. After an orderly end, a failure is reported to writes as EPIPE.
func (u *upload) takenReset(conn net.Conn) error {
	_ = conn.SetWriteDeadline(time.Unix(1, 0))
	<-u.done
	if errors.Is(u.err, os.ErrDeadlineExceeded) || errors.Is(u.err, syscall.EPIPE) {
		return nil
	}
	return u.err
}
