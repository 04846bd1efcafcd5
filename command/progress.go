package command

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// progressWidth is the length of the progress bar, in characters.
const progressWidth = 40

// progressBar shows the progress of a long run on a terminal. With any other
// output it shows nothing.
type progressBar struct {
	writer io.Writer
	filled int
	shown  bool
}

// newProgressBar returns a bar that shows nothing unless writer is a terminal.
func newProgressBar(writer io.Writer) *progressBar {
	file, ok := writer.(*os.File)
	if !ok {
		return &progressBar{}
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return &progressBar{}
	}
	return &progressBar{writer: file}
}

// show redraws the bar if its filled length has changed.
func (b *progressBar) show(name string, done, total int) {
	if b.writer == nil || total <= 0 {
		return
	}
	filled := done * progressWidth / total
	if b.shown && filled == b.filled {
		return
	}
	b.filled, b.shown = filled, true
	fmt.Fprintf(b.writer, "\r%-14s [%s%s] %d/%d", name,
		strings.Repeat("#", filled), strings.Repeat(" ", progressWidth-filled), done, total)
}

// clear removes the bar.
func (b *progressBar) clear() {
	if b.writer == nil || !b.shown {
		return
	}
	b.shown = false
	fmt.Fprintf(b.writer, "\r%s\r", strings.Repeat(" ", progressWidth+40))
}
