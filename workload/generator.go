package workload

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Options are the parameters of a Generator.
type Options struct {
	Seed uint64
	// ProgramsPerSecond is the mean rate of program starts, bursts included.
	ProgramsPerSecond float64
	// BurstProbability is the probability that an arrival is a burst of
	// BurstSize programs of one kind within BurstSpread, for example when a
	// cold room fails or a billing run is sent out. Zero values mean the
	// defaults; a negative BurstProbability means no bursts.
	BurstProbability float64
	BurstSize        int
	BurstSpread      time.Duration
}

// The defaults of Options: one arrival in 50 is a burst of 8 programs.
const (
	defaultBurstProbability = 0.02
	defaultBurstSize        = 8
	defaultBurstSpread      = 2 * time.Second
)

// Generator draws programs in the order of their intended start.
type Generator struct {
	deployment *Deployment
	options    Options
	random     *rand.Rand
	clock      time.Duration
	count      int
	// burstPrograms contains the remaining programs of bursts, sorted by start.
	burstPrograms []*Program
	next          *Program
}

// Generate returns a new Generator of the deployment's programs.
func (d *Deployment) Generate(options Options) *Generator {
	if options.BurstProbability == 0 {
		options.BurstProbability = defaultBurstProbability
	}
	if options.BurstSize == 0 {
		options.BurstSize = defaultBurstSize
	}
	if options.BurstSpread == 0 {
		options.BurstSpread = defaultBurstSpread
	}
	return &Generator{
		deployment: d,
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, uint64(len(d.Name)))),
	}
}

// Next returns the program with the next intended start.
func (g *Generator) Next() *Program {
	if g.next == nil {
		g.next = g.drawArrival()
	}
	if len(g.burstPrograms) > 0 && g.burstPrograms[0].Start <= g.next.Start {
		program := g.burstPrograms[0]
		g.burstPrograms = g.burstPrograms[1:]
		return program
	}
	program := g.next
	g.next = nil
	return program
}

// Take returns the next count programs.
func (g *Generator) Take(count int) []*Program {
	programs := make([]*Program, count)
	for i := range programs {
		programs[i] = g.Next()
	}
	return programs
}

// drawArrival draws the next Poisson arrival. If the arrival is a burst, it
// also draws the burst's other programs.
func (g *Generator) drawArrival() *Program {
	gap := g.random.ExpFloat64() / g.arrivalRate()
	g.clock += time.Duration(gap * float64(time.Second))
	profile := g.drawProfile()
	first := g.drawProgram(profile, g.clock)
	if g.random.Float64() < g.options.BurstProbability {
		g.drawBurst(profile)
	}
	return first
}

// arrivalRate returns the rate of arrivals that results in ProgramsPerSecond
// when bursts are included.
func (g *Generator) arrivalRate() float64 {
	extra := max(0, g.options.BurstProbability) * float64(g.options.BurstSize-1)
	return g.options.ProgramsPerSecond / (1 + extra)
}

// drawBurst draws the programs of a burst after the first.
func (g *Generator) drawBurst(profile *Profile) {
	for range g.options.BurstSize - 1 {
		delay := time.Duration(g.random.Float64() * float64(g.options.BurstSpread))
		program := g.drawProgram(profile, g.clock+delay)
		at := len(g.burstPrograms)
		for at > 0 && g.burstPrograms[at-1].Start > program.Start {
			at--
		}
		g.burstPrograms = append(g.burstPrograms, nil)
		copy(g.burstPrograms[at+1:], g.burstPrograms[at:])
		g.burstPrograms[at] = program
	}
}

// drawProgram draws one program that starts at the given time.
func (g *Generator) drawProgram(profile *Profile, start time.Duration) *Program {
	g.count++
	id := fmt.Sprintf("%s-%d-%d", g.deployment.Name, g.options.Seed, g.count)
	source := rand.New(rand.NewPCG(g.random.Uint64(), g.random.Uint64()))
	program := newProgram(id, profile, source)
	program.Start = start
	return program
}

// drawProfile draws a profile with probability proportional to its share.
func (g *Generator) drawProfile() *Profile {
	total := 0.0
	for i := range g.deployment.Profiles {
		total += g.deployment.Profiles[i].Share
	}
	remaining := g.random.Float64() * total
	for i := range g.deployment.Profiles {
		remaining -= g.deployment.Profiles[i].Share
		if remaining < 0 {
			return &g.deployment.Profiles[i]
		}
	}
	return &g.deployment.Profiles[len(g.deployment.Profiles)-1]
}
