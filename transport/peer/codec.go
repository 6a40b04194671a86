package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
)

// messageStream reads and writes the gob messages of one net/rpc connection. It limits the total size of each header and body
// that it reads.
type messageStream struct {
	connection io.ReadWriteCloser
	// limit returns the size limit in bytes. It is called at each read because the limit can change while the connection waits
	// for a message.
	limit   func() int64
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	// bytesRead is the number of bytes read since the start of the current message.
	bytesRead int64
}

func newMessageStream(connection io.ReadWriteCloser, limit func() int64) *messageStream {
	m := &messageStream{connection: connection, limit: limit, buffer: bufio.NewWriter(connection)}
	m.decoder, m.encoder = gob.NewDecoder(m), gob.NewEncoder(m.buffer)

	return m
}

// Read implements io.Reader for the gob decoder and enforces the size limit.
func (m *messageStream) Read(buffer []byte) (int, error) {
	left := m.limit() - m.bytesRead
	if left <= 0 {
		return 0, ErrMessageTooLarge
	}

	n, err := m.connection.Read(buffer[:min(int64(len(buffer)), left)])
	m.bytesRead += int64(n)

	return n, err
}

// readHeader resets the byte count and decodes the header of the next message.
func (m *messageStream) readHeader(header any) error {
	m.bytesRead = 0

	return m.decoder.Decode(header)
}

func (m *messageStream) write(header, body any) error {
	if err := m.encoder.Encode(header); err != nil {
		return err
	}

	if err := m.encoder.Encode(body); err != nil {
		return err
	}

	return m.buffer.Flush()
}

// Close implements rpc.ServerCodec and rpc.ClientCodec.
func (m *messageStream) Close() error { return m.connection.Close() }

// clientCodec is a gob codec for net/rpc clients that limits the size of each answer.
type clientCodec struct{ *messageStream }

var _ rpc.ClientCodec = clientCodec{}

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(request *rpc.Request, body any) error {
	return c.write(request, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(response *rpc.Response) error { return c.readHeader(response) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }
