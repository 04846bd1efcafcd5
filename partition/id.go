package partition

import (
	"fmt"
	"strconv"
	"strings"

	"birchwood.example/birchwood/zone"
)

// indexSeparator divides the placement from the index in a partition's text
// form. No zone name contains it.
const indexSeparator = "."

// String returns the text form "<placement>.<index>", the stream's name.
func (id ID) String() string {
	return string(id.Placement) + indexSeparator + strconv.Itoa(id.Index)
}

// Parse reads the text form of a partition.
func Parse(text string) (ID, error) {
	placement, index, found := strings.Cut(text, indexSeparator)
	if !found {
		return ID{}, fmt.Errorf("partition %q: want <placement>.<index>", text)
	}
	parsed, err := zone.ParsePlacement(placement)
	if err != nil {
		return ID{}, fmt.Errorf("partition %q: %w", text, err)
	}
	number, err := strconv.Atoi(index)
	if err != nil || number < 0 || strconv.Itoa(number) != index {
		return ID{}, fmt.Errorf("partition %q: index: want a decimal number without leading zeros", text)
	}
	return ID{Placement: parsed, Index: number}, nil
}
