package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
)

// predictor learns how fast each model's engines work and how long answers
// are. It starts from the configured rates.
type predictor struct {
	rates Rates
	// models holds the learned speed of each model.
	models map[string]*speed
	// outputs holds the mean output of each tenant's calls of a model.
	outputs map[outputKey]*average
	// service holds the mean time in a back end of each model's calls.
	service map[string]*average
}

type outputKey struct{ tenant, model string }

// The three parts of a call's time in an engine.
const (
	partPrefill = iota
	partDecode
	partPeers
	partCount
)

// speed corrects the rates' three parts by factors, learned by recursive
// least squares. Factors start at one.
type speed struct {
	factors    [partCount]float64
	covariance [partCount][partCount]float64
}

// What the learning assumes.
const (
	// priorVariance says how sure the rates are: off by half or so.
	priorVariance = 0.25
	// relativeNoise is the spread of a call's time around its prediction.
	relativeNoise = 0.3
	// forgetting lets old calls count less and less.
	forgetting = 0.999
	// smallestFactor and largestFactor bound what calls can teach.
	smallestFactor = 0.1
	largestFactor  = 10
	// averageWeight is the weight of one more value in a moving average.
	averageWeight = 0.05
	// expectedOutputShare is the prior share of the cap that an answer uses.
	expectedOutputShare = 0.4
)

// average is an exponentially weighted mean. Its first values count in full.
type average struct {
	value float64
	count float64
}

func (a *average) add(value float64) {
	a.count++
	weight := max(averageWeight, 1/a.count)
	a.value += weight * (value - a.value)
}

func newPredictor(rates Rates) *predictor {
	return &predictor{
		rates:   rates,
		models:  map[string]*speed{},
		outputs: map[outputKey]*average{},
		service: map[string]*average{},
	}
}

// parts returns the call's times at the configured rates.
func (p *predictor) parts(missing int, output float64, peers int) [partCount]float64 {
	return [partCount]float64{
		partPrefill: float64(missing) * p.rates.PrefillPerToken.Seconds(),
		partDecode:  output * p.rates.DecodePerToken.Seconds(),
		partPeers:   output * float64(peers) * p.rates.DecodePerPeer.Seconds(),
	}
}

// speed returns a model's learned speed.
func (p *predictor) speed(model string) *speed {
	known := p.models[model]
	if known == nil {
		known = &speed{}
		for i := range known.factors {
			known.factors[i] = 1
			known.covariance[i][i] = priorVariance
		}
		p.models[model] = known
	}
	return known
}

// prefill predicts the time to compute tokens of a prompt.
func (p *predictor) prefill(learned *speed, tokens int) time.Duration {
	return time.Duration(float64(tokens) * float64(p.rates.PrefillPerToken) * learned.factors[partPrefill])
}

// decode predicts the time of an answer beside peers other sequences.
func (p *predictor) decode(learned *speed, output float64, peers int) time.Duration {
	parts := p.parts(0, output, peers)
	return seconds(parts[partDecode]*learned.factors[partDecode] + parts[partPeers]*learned.factors[partPeers])
}

// output predicts the length of an answer, in tokens.
func (p *predictor) output(request *Request) float64 {
	known := p.outputs[outputKey{request.Tenant, request.Model}]
	if known == nil {
		return expectedOutputShare * float64(request.OutputCap)
	}
	return min(known.value, float64(request.OutputCap))
}

// perPeer predicts how much longer a call takes for each other sequence.
func (p *predictor) perPeer(request *Request) time.Duration {
	if request.Kind == api.CallTool {
		return p.meanService(request.Tool)
	}
	learned := p.speed(request.Model)
	output := p.output(request)
	return p.decode(learned, output, 1) - p.decode(learned, output, 0)
}

// serviceTime predicts how long a call stays in a back end.
func (p *predictor) serviceTime(request *Request) time.Duration {
	if request.Kind == api.CallTool {
		return p.meanService(request.Tool)
	}
	learned := p.speed(request.Model)
	return p.prefill(learned, request.PromptTokens/2) + p.decode(learned, p.output(request), typicalPeers)
}

// typicalPeers is the batch that a held call is expected to join.
const typicalPeers = 8

// defaultService is the time of a call that nothing is known of.
const defaultService = time.Second

func (p *predictor) meanService(name string) time.Duration {
	if known := p.service[name]; known != nil {
		return seconds(known.value)
	}
	return defaultService
}

// learn takes the time that a finished call was away, without its link.
func (p *predictor) learn(sent flight, usage api.Usage, took time.Duration) {
	request := &sent.request
	if request.Kind == api.CallTool {
		p.learnService(request.Tool, took)
		return
	}
	if usage.OutputTokens == 0 || took <= 0 {
		return
	}
	p.learnService(request.Model, took)
	key := outputKey{request.Tenant, request.Model}
	if p.outputs[key] == nil {
		p.outputs[key] = &average{}
	}
	p.outputs[key].add(float64(usage.OutputTokens))
	missing := max(usage.PromptTokens-usage.CachedTokens, 0)
	parts := p.parts(missing, float64(usage.OutputTokens), sent.peers)
	p.speed(request.Model).update(parts, took.Seconds())
}

func (p *predictor) learnService(name string, took time.Duration) {
	if p.service[name] == nil {
		p.service[name] = &average{}
	}
	p.service[name].add(took.Seconds())
}

// update is one step of recursive least squares with forgetting.
func (s *speed) update(parts [partCount]float64, took float64) {
	var gain [partCount]float64
	noise := relativeNoise * took
	scale := forgetting * noise * noise
	expected := 0.0
	for i := range parts {
		for j := range parts {
			gain[i] += s.covariance[i][j] * parts[j]
		}
		expected += parts[i] * s.factors[i]
	}
	for i := range parts {
		scale += parts[i] * gain[i]
	}
	var next [partCount][partCount]float64
	for i := range parts {
		for j := range parts {
			next[i][j] = (s.covariance[i][j] - gain[i]*gain[j]/scale) / forgetting
		}
		next[i][i] = min(next[i][i], priorVariance)
	}
	for i := range parts {
		corrected := s.factors[i] + gain[i]/scale*(took-expected)
		s.factors[i] = min(max(corrected, smallestFactor), largestFactor)
	}
	s.covariance = next
}

// seconds converts a float to a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
