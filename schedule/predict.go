package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
)

// predictor learns the speed of each model's engines and the length of answers.
// It starts from the configured rates.
type predictor struct {
	rates Rates
	// models holds the learned speed of each model.
	models map[string]*speedModel
	// outputs holds the mean answer length, in tokens, by tenant and model.
	outputs map[outputKey]*movingAverage
	// serviceTimes holds the mean time of a call in a back end, in seconds, by
	// model or tool.
	serviceTimes map[string]*movingAverage
}

type outputKey struct{ tenant, model string }

// The components of a call's time in an engine.
const (
	componentPrefill = iota
	componentDecode
	componentPeers
	componentCount
)

// speedModel predicts the time of a call as the sum of its components at the
// configured rates, each multiplied by a factor. The factors start at one and
// are learned by recursive least squares.
type speedModel struct {
	factors    [componentCount]float64
	covariance [componentCount][componentCount]float64
}

// Parameters of the learning.
const (
	// priorVariance is the variance of the factors before the first call. It
	// corresponds to a standard deviation of 0.5.
	priorVariance = 0.25
	// relativeNoise is the standard deviation of a call's time around its
	// prediction, as a share of that time.
	relativeNoise = 0.3
	// forgettingFactor is the factor by which the weight of all earlier calls
	// shrinks with each new call.
	forgettingFactor = 0.999
	// minFactor and maxFactor bound the learned factors.
	minFactor = 0.1
	maxFactor = 10
	// minSampleWeight is the minimum weight of a new value in a moving average.
	minSampleWeight = 0.05
	// priorOutputShare is the expected length of an answer as a share of its
	// cap, while no answer has been observed.
	priorOutputShare = 0.4
)

// movingAverage is an exponentially weighted mean. While it has few values, it
// is their arithmetic mean.
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

// components returns the components of a call's time at the configured rates,
// in seconds.
func (p *predictor) components(missing int, output float64, peers int) [componentCount]float64 {
	return [componentCount]float64{
		componentPrefill: float64(missing) * p.rates.PrefillPerToken.Seconds(),
		componentDecode:  output * p.rates.DecodePerToken.Seconds(),
		componentPeers:   output * float64(peers) * p.rates.DecodePerPeer.Seconds(),
	}
}

// speedModel returns the speed model of a language model, and creates it if
// needed.
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

// prefill predicts the time to prefill a number of tokens.
func (p *predictor) prefill(learned *speedModel, tokens int) time.Duration {
	return time.Duration(float64(tokens) * float64(p.rates.PrefillPerToken) * learned.factors[componentPrefill])
}

// decode predicts the time to decode an answer with peers other sequences in
// the batch.
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

// timePerPeer predicts how much longer a call takes for each other sequence in
// the batch.
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

// typicalPeers is the expected number of other sequences in the batch that a
// held call joins.
const typicalPeers = 8

// defaultServiceTime is the mean service time of a model or tool while no call
// of it has been observed.
const defaultServiceTime = time.Second

func (p *predictor) meanServiceTime(name string) time.Duration {
	if known := p.serviceTimes[name]; known != nil {
		return seconds(known.value)
	}
	return defaultServiceTime
}

// learn updates the predictions with a finished call. elapsed is the time from
// placement to the end, without link delays.
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
