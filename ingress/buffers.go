package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
)

// buffers pools read and write buffers. Most connections are idle between
// requests most of the time, so a connection holds buffers only while it
// serves a request.
type buffers struct {
	readers sync.Pool
	writers sync.Pool
}

// reader returns a reader with a buffer of at least size bytes. It yields the
// bytes already read from the connection, then the rest of the connection.
func (b *buffers) reader(socket net.Conn, first []byte, size int) *bufio.Reader {
	source := io.MultiReader(bytes.NewReader(first), socket)
	if known, _ := b.readers.Get().(*bufio.Reader); known != nil && known.Size() >= size {
		known.Reset(source)
		return known
	}
	return bufio.NewReaderSize(source, size)
}

// writer returns a buffered writer to a connection.
func (b *buffers) writer(socket net.Conn) *bufio.Writer {
	if known, _ := b.writers.Get().(*bufio.Writer); known != nil {
		known.Reset(socket)
		return known
	}
	return bufio.NewWriterSize(socket, writeBufferBytes)
}

// giveBack returns a connection's buffers to the pool.
func (b *buffers) giveBack(reader *bufio.Reader, writer *bufio.Writer) {
	reader.Reset(nil)
	writer.Reset(nil)
	b.readers.Put(reader)
	b.writers.Put(writer)
}
