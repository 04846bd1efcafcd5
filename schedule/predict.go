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
	models map[string]*speedModel
	// outputs holds the mean output of each tenant's calls of a model.
	outputs map[outputKey]*movingAverage
	// serviceTimes holds the mean time in a back end of each model's calls.
	serviceTimes map[string]*movingAverage
}

type outputKey struct{ tenant, model string }

// The three parts of a call's time in an engine.
const (
	componentPrefill = iota
	componentDecode
	componentPeers
	componentCount
)

// speedModel corrects the rates' three parts by factors, learned by recursive
// least squares. Factors start at one.
type speedModel struct {
	factors    [componentCount]float64
	covariance [componentCount][componentCount]float64
}

// What the learning assumes.
const (
	// priorVariance says how sure the rates are: off by half or so.
	priorVariance = 0.25
	// relativeNoise is the spread of a call's time around its prediction.
	relativeNoise = 0.3
	// forgettingFactor lets old calls count less and less.
	forgettingFactor = 0.999
	// minFactor and largestFactor bound what calls can teach.
	minFactor = 0.1
	maxFactor = 10
	// minSampleWeight is the weight of one more value in a moving average.
	minSampleWeight = 0.05
	// priorOutputShare is the prior share of the cap that an answer uses.
	priorOutputShare = 0.4
)

// movingAverage is an exponentially weighted mean. Its first values count in full.
type movingAverage struct {
	value float64
	count float64
}

func (a *movingAverage) add(value float64) {
	a.count++
	weight := max(minSampleWeight, 1/a.count)
	a.value += weight * (value - a.value)
}

func newPredictor(rates Rates) *predictor {
	return &predictor{
		rates:        rates,
		models:       map[string]*speedModel{},
		outputs:      map[outputKey]*movingAverage{},
		serviceTimes: map[string]*movingAverage{},
	}
}

// components returns the call's times at the configured rates.
func (p *predictor) components(missing int, output float64, peers int) [componentCount]float64 {
	return [componentCount]float64{
		componentPrefill: float64(missing) * p.rates.PrefillPerToken.Seconds(),
		componentDecode:  output * p.rates.DecodePerToken.Seconds(),
		componentPeers:   output * float64(peers) * p.rates.DecodePerPeer.Seconds(),
	}
}

// speedModel returns a model's learned speed.
func (p *predictor) speedModel(model string) *speedModel {
	known := p.models[model]
	if known == nil {
		known = &speedModel{}
		for i := range known.factors {
			known.factors[i] = 1
			known.covariance[i][i] = priorVariance
		}
		p.models[model] = known
	}
	return known
}

// prefill predicts the time to compute tokens of a prompt.
func (p *predictor) prefill(learned *speedModel, tokens int) time.Duration {
	return time.Duration(float64(tokens) * float64(p.rates.PrefillPerToken) * learned.factors[componentPrefill])
}

// decode predicts the time of an answer beside peers other sequences.
func (p *predictor) decode(learned *speedModel, output float64, peers int) time.Duration {
	components := p.components(0, output, peers)
	return seconds(components[componentDecode]*learned.factors[componentDecode] + components[componentPeers]*learned.factors[componentPeers])
}

// expectedOutput predicts the length of an answer, in tokens.
func (p *predictor) expectedOutput(request *Request) float64 {
	known := p.outputs[outputKey{request.Tenant, request.Model}]
	if known == nil {
		return priorOutputShare * float64(request.OutputCap)
	}
	return min(known.value, float64(request.OutputCap))
}

// timePerPeer predicts how much longer a call takes for each other sequence.
func (p *predictor) timePerPeer(request *Request) time.Duration {
	if request.Kind == api.CallTool {
		return p.meanServiceTime(request.Tool)
	}
	learned := p.speedModel(request.Model)
	expectedOutput := p.expectedOutput(request)
	return p.decode(learned, expectedOutput, 1) - p.decode(learned, expectedOutput, 0)
}

// serviceTime predicts how long a call stays in a back end.
func (p *predictor) serviceTime(request *Request) time.Duration {
	if request.Kind == api.CallTool {
		return p.meanServiceTime(request.Tool)
	}
	learned := p.speedModel(request.Model)
	return p.prefill(learned, request.PromptTokens/2) + p.decode(learned, p.expectedOutput(request), typicalPeers)
}

// typicalPeers is the batch that a held call is expected to join.
const typicalPeers = 8

// defaultServiceTime is the time of a call that nothing is known of.
const defaultServiceTime = time.Second

func (p *predictor) meanServiceTime(name string) time.Duration {
	if known := p.serviceTimes[name]; known != nil {
		return seconds(known.value)
	}
	return defaultServiceTime
}

// learn takes the time that a finished call was away, without its link.
func (p *predictor) learn(sent placedCall, usage api.Usage, elapsed time.Duration) {
	request := &sent.request
	if request.Kind == api.CallTool {
		p.learnServiceTime(request.Tool, elapsed)
		return
	}
	if usage.OutputTokens == 0 || elapsed <= 0 {
		return
	}
	p.learnServiceTime(request.Model, elapsed)
	key := outputKey{request.Tenant, request.Model}
	if p.outputs[key] == nil {
		p.outputs[key] = &movingAverage{}
	}
	p.outputs[key].add(float64(usage.OutputTokens))
	missing := max(usage.PromptTokens-usage.CachedTokens, 0)
	components := p.components(missing, float64(usage.OutputTokens), sent.peers)
	p.speedModel(request.Model).update(components, elapsed.Seconds())
}

func (p *predictor) learnServiceTime(name string, elapsed time.Duration) {
	if p.serviceTimes[name] == nil {
		p.serviceTimes[name] = &movingAverage{}
	}
	p.serviceTimes[name].add(elapsed.Seconds())
}

// update is one step of recursive least squares with forgetting.
func (s *speedModel) update(components [componentCount]float64, elapsed float64) {
	var gain [componentCount]float64
	noise := relativeNoise * elapsed
	scale := forgettingFactor * noise * noise
	expected := 0.0
	for i := range components {
		for j := range components {
			gain[i] += s.covariance[i][j] * components[j]
		}
		expected += components[i] * s.factors[i]
	}
	for i := range components {
		scale += components[i] * gain[i]
	}
	var next [componentCount][componentCount]float64
	for i := range components {
		for j := range components {
			next[i][j] = (s.covariance[i][j] - gain[i]*gain[j]/scale) / forgettingFactor
		}
		next[i][i] = min(next[i][i], priorVariance)
	}
	for i := range components {
		corrected := s.factors[i] + gain[i]/scale*(elapsed-expected)
		s.factors[i] = min(max(corrected, minFactor), maxFactor)
	}
	s.covariance = next
}

// seconds converts a float to a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
