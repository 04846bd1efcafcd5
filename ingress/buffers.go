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
func (b *buffers) reader(socket net.Conn, prefix []byte, size int) *bufio.Reader {
	source := io.MultiReader(bytes.NewReader(prefix), socket)
	if pooled, _ := b.readers.Get().(*bufio.Reader); pooled != nil && pooled.Size() >= size {
		pooled.Reset(source)
		return pooled
	}
	return bufio.NewReaderSize(source, size)
}

// writer returns a buffered writer to a connection.
func (b *buffers) writer(socket net.Conn) *bufio.Writer {
	if pooled, _ := b.writers.Get().(*bufio.Writer); pooled != nil {
		pooled.Reset(socket)
		return pooled
	}
	return bufio.NewWriterSize(socket, writeBufferBytes)
}

// release returns a connection's buffers to the pool.
func (b *buffers) release(reader *bufio.Reader, writer *bufio.Writer) {
	reader.Reset(nil)
	writer.Reset(nil)
	b.readers.Put(reader)
	b.writers.Put(writer)
}
