package header

import (
	"bufio"
	"errors"
	"io"
)

// maximumTrailerLines bounds the trailer of a chunked body.
const maximumTrailerLines = 32

// ErrTrailer reports that the trailer of a chunked body has too many lines.
var ErrTrailer = errors.New("the trailer is too long")

// SkipTrailer reads the trailer after the last chunk of a body, including the
// empty line that ends it. It returns io.ErrUnexpectedEOF if that line is missing.
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
