package upstream

import (
	"time"
)

const (
	// longCall is the size in bytes from which the answer is read while the call is written: the buffers of a connection take shorter calls
	// at once, also if the server reads nothing.
	longCall = 64 << 10
	// uploadEndTime bounds the wait at the end of an answer for the end of the call, which usually was written before or has failed.
	uploadEndTime = time.Second
)

// upload is the writing of one call.
type upload struct {
	// done is closed at its end. The fields below are set before that.
	done chan struct{}
	// written is the number of bytes that were written, and err why the rest could not be.
	written int
	err     error
}

// write writes a call. It returns at once if the call is long; closing the connection then ends the upload.
func (c *connection) write(content []byte) *upload {
	u := &upload{done: make(chan struct{})}
	run := func() {
		defer close(u.done)

		u.written, u.err = c.Write(content)
	}

	if len(content) < longCall {
		run()
	} else {
		go run()
	}

	return u
}

// failed reports whether the upload has ended with an error.
func (u *upload) failed() bool {
	select {
	case <-u.done:
		return u.err != nil
	default:
		return false
	}
}

// succeeded reports whether the upload has ended without an error.
func (u *upload) succeeded() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// whole reports whether the call was written whole, and waits for the end of the upload.
func (u *upload) whole() bool {
	timer := time.NewTimer(uploadEndTime)
	defer timer.Stop()

	select {
	case <-u.done:
		return u.err == nil
	case <-timer.C:
		return false
	}
}
