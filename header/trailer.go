package header

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maximumTrailerLines bounds the trailer of a chunked body.
const maximumTrailerLines = 32

// ErrTrailer reports that the trailer of a chunked body has too many lines.
var ErrTrailer = errors.New("the trailer is too long")

// SkipTrailer reads and checks the trailer after the last chunk of a body, including the
// empty line that ends it. It returns io.ErrUnexpectedEOF if that line is missing, and an
// *InvalidError for a line that is no field.
func SkipTrailer(reader *bufio.Reader) error {
	for range maximumTrailerLines {
		line, err := reader.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			return nil
		}
		if _, err := FieldName(line); err != nil {
			return err
		}
	}
	return ErrTrailer
}
