package header

import (
	"bufio"
	"errors"
	"io"
)

// maximumTrailerLines bounds the trailer of a body in chunks.
const maximumTrailerLines = 32

// ErrTrailer says that the trailer of a body in chunks does not end.
var ErrTrailer = errors.New("the trailer is too long")

// SkipTrailer reads what follows the last chunk of a body, up to and including
// the empty line. It returns io.ErrUnexpectedEOF where that line is missing.
func SkipTrailer(reader *bufio.Reader) error {
	for range maximumTrailerLines {
		line, err := reader.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
	return ErrTrailer
}
