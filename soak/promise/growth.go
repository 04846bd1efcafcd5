package promise

import (
	"fmt"
	"slices"
	"time"
)

// Thresholds that distinguish unbounded growth from the warm-up of a process.
const (
	// minSamples is the number of samples before the first check and between checks. With fewer,
	// a quarter of them could cover a single outage, in which nodes open connections that are
	// idle afterwards.
	minSamples = 120
	// maxGrowthRatio and the slacks limit how far the minimum of the last quarter may exceed the
	// maximum of the second.
	maxGrowthRatio   = 1.25
	memorySlackBytes = 16 << 20
	descriptorSlack  = 32
)

func (c *Checker) sample(at time.Time, event Sampled) {
	owner := process{event.Node, event.Incarnation}
	c.samples[owner] = append(c.samples[owner], event)
	if event.MemoryBytes > c.config.MemoryBytes || event.Descriptors > c.config.Descriptors {
		c.addBreach(at, NoGrowth, nil, event.Node, fmt.Sprintf("%d bytes of memory and %d descriptors, want at most %d and %d",
			event.MemoryBytes, event.Descriptors, c.config.MemoryBytes, c.config.Descriptors))
	}
	if samples := c.samples[owner]; len(samples)%minSamples == 0 {
		c.checkGrowth(at, event.Node, samples)
	}
}

// checkGrowth compares the last quarter of a process's samples with the second.
func (c *Checker) checkGrowth(at time.Time, node string, samples []Sampled) {
	quarter := len(samples) / 4
	second, last := samples[quarter:2*quarter], samples[3*quarter:]
	byMemory := func(a, b Sampled) int { return int(a.MemoryBytes - b.MemoryBytes) }
	byDescriptors := func(a, b Sampled) int { return a.Descriptors - b.Descriptors }
	memoryBefore, memoryAfter := slices.MaxFunc(second, byMemory).MemoryBytes, slices.MinFunc(last, byMemory).MemoryBytes
	if float64(memoryAfter) > maxGrowthRatio*float64(memoryBefore)+memorySlackBytes {
		c.addBreach(at, NoGrowth, nil, node, fmt.Sprintf("memory grew from %d to %d bytes", memoryBefore, memoryAfter))
	}
	descriptorsBefore, descriptorsAfter := slices.MaxFunc(second, byDescriptors).Descriptors, slices.MinFunc(last, byDescriptors).Descriptors
	if float64(descriptorsAfter) > maxGrowthRatio*float64(descriptorsBefore)+descriptorSlack {
		c.addBreach(at, NoGrowth, nil, node, fmt.Sprintf("descriptors grew from %d to %d", descriptorsBefore, descriptorsAfter))
	}
}
