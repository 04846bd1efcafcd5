package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
)

// buffers lends connections the buffers of one request. Most connections wait
// for their next request most of the time, and need none then.
type buffers struct {
	readers sync.Pool
	writers sync.Pool
}

// reader returns a reader of at least the given size over a connection whose
// first bytes were read already.
func (b *buffers) reader(socket net.Conn, first []byte, size int) *bufio.Reader {
	source := io.MultiReader(bytes.NewReader(first), socket)
	if known, _ := b.readers.Get().(*bufio.Reader); known != nil && known.Size() >= size {
		known.Reset(source)
		return known
	}
	return bufio.NewReaderSize(source, size)
}

// writer returns a writer to a connection.
func (b *buffers) writer(socket net.Conn) *bufio.Writer {
	if known, _ := b.writers.Get().(*bufio.Writer); known != nil {
		known.Reset(socket)
		return known
	}
	return bufio.NewWriterSize(socket, writeBufferBytes)
}

// giveBack takes the buffers of a connection that needs them no more.
func (b *buffers) giveBack(reader *bufio.Reader, writer *bufio.Writer) {
	reader.Reset(nil)
	writer.Reset(nil)
	b.readers.Put(reader)
	b.writers.Put(writer)
}
