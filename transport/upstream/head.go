package upstream

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

const (
	// headerTime bounds the wait for the header of an answer that can't be passed on. Servers send it together with the status line.
	headerTime = 20 * time.Millisecond
	// maxStatusText bounds in bytes the beginning of a status line up to its status.
	maxStatusText = 32
	statusDigits  = 3
)

// ErrStatus reports an answer whose status is not a final one.
var ErrStatus = errors.New("status is not a final one between 200 and 599")

var errNoResponse = errors.New("not an HTTP response")

// head reads the status line and header of the next answer that is not informational. An error is an AnswerError unless the connection
// ended before a status.
func (c *connection) head(request *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		c.headBytesLeft = maxHead

		status, err := peekStatus(c.reader)
		if err != nil {
			return nil, err
		}

		if status == http.StatusSwitchingProtocols || !informational(status) && !final(status) {
			return nil, &apricotway.AnswerError{Fault: apricotway.FaultMalformed, Header: c.header(), Err: ErrStatus}
		}

		response, err := http.ReadResponse(c.reader, request)

		switch {
		case err != nil && informational(status):
			return nil, err
		case err != nil:
			return nil, &apricotway.AnswerError{Fault: headFault(err), Err: err}
		case final(status):
			c.headBytesLeft = math.MaxInt64
			return response, nil
		}
	}

	return nil, &apricotway.AnswerError{Fault: apricotway.FaultMalformed, Err: ErrHeadTooLong}
}

// informational reports whether a final answer follows one with the status.
func informational(status int) bool { return status >= http.StatusContinue && status < http.StatusOK }

// final reports whether the status is that of an answer that can be passed on.
func final(status int) bool {
	const afterLast = 600

	return status >= http.StatusOK && status < afterLast
}

// headFault tells an answer that is no HTTP response from one that broke off.
func headFault(err error) apricotway.AnswerFault {
	if network := net.Error(nil); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return apricotway.FaultCut
	}

	return apricotway.FaultMalformed
}

// peekStatus returns the status of the next answer, 0 if it has not three digits, without reading over it. It returns as soon as the status
// or something that no status line begins with has arrived.
func peekStatus(reader *bufio.Reader) (int, error) {
	const protocol = "HTTP/"

	for size := 1; size <= maxStatusText; size++ {
		line, err := reader.Peek(size)
		if err != nil {
			return 0, err
		}

		if length := min(size, len(protocol)); string(line[:length]) != protocol[:length] {
			return 0, &apricotway.AnswerError{Fault: apricotway.FaultMalformed, Err: errNoResponse}
		}

		if status, complete := statusOf(line); complete {
			return status, nil
		}
	}

	return 0, &apricotway.AnswerError{Fault: apricotway.FaultMalformed, Err: errNoResponse}
}

// statusOf returns the status at the end of the beginning of a status line, and whether it is complete.
func statusOf(line []byte) (status int, complete bool) {
	_, text, found := bytes.Cut(line, []byte(" "))
	text = bytes.TrimLeft(text, " ")

	if last := line[len(line)-1]; !found || len(text) == 0 && last == ' ' {
		return 0, last == '\n'
	}

	for i, digit := range text {
		switch {
		case digit == ' ' || digit == '\r' || digit == '\n':
			if i != statusDigits {
				status = 0
			}

			return status, true
		case digit < '0' || digit > '9' || i >= statusDigits:
			return 0, true
		}

		status = status*10 + int(digit-'0')
	}

	return 0, false
}

// hasAnswer reports whether the status of an answer has arrived on a connection that failed while the call was written.
func (c *connection) hasAnswer() bool {
	// A connection that can't have a deadline is closed by the end of the call's time.
	_ = c.SetReadDeadline(time.Now().Add(headerTime))
	c.headBytesLeft = maxHead

	status, err := peekStatus(c.reader)

	var fault *apricotway.AnswerError

	return errors.As(err, &fault) || err == nil && !informational(status)
}

// earlyHeader returns the header of the answer that hasAnswer has found.
func (c *connection) earlyHeader(call apricotway.ForwardedCall) http.Header {
	return ownHeader(call, c.header())
}

// ownHeader returns a header if it belongs to the answer to a call, else nil.
func ownHeader(call apricotway.ForwardedCall, header http.Header) http.Header {
	if header == nil || call.IsAnswer != nil && !call.IsAnswer(0, header) {
		return nil
	}

	return header
}

// header reads over the status line and returns the header of an answer that can't be passed on, nil if it does not arrive at once.
func (c *connection) header() http.Header {
	// As in hasAnswer.
	_ = c.SetReadDeadline(time.Now().Add(headerTime))

	reader := textproto.NewReader(c.reader)
	if _, err := reader.ReadLine(); err != nil {
		return nil
	}

	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil
	}

	return http.Header(header)
}
