package placer

import "time"

// Engine describes the speed of a model engine.
type Engine struct {
	// PrefillTokensPerSecond is the number of prompt tokens processed per second.
	PrefillTokensPerSecond float64
	// Step is the base time of a decoding step, which generates one token of each
	// running request. PerRequest is the time that each running request adds.
	Step       time.Duration
	PerRequest time.Duration
	// Stride is the number of decoding steps after which the engine admits
	// waiting prompts.
	Stride int
}

// prefillTime returns the time that the engine takes to process a prompt.
func (e *Engine) prefillTime(tokens int) time.Duration {
	if e == nil || e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PrefillTokensPerSecond * float64(time.Second))
}

// admissionInterval returns the time between two points at which the engine admits
// waiting prompts, without the time of their prefill.
func (e *Engine) admissionInterval(running float64) time.Duration {
	step := float64(e.Step) + running*float64(e.PerRequest)
	return time.Duration(float64(max(e.Stride, 1)) * step)
}

// TimeToFirstToken predicts the time to the first token of a request: half an admission
// interval on average until the engine admits prompts, the prefill of waiting
// prompts and of its own, and one more interval.
func (e *Engine) TimeToFirstToken(running float64, waiting time.Duration, prompt int) time.Duration {
	if e == nil {
		return 0
	}
	interval := e.admissionInterval(running)
	return interval/2 + waiting + e.prefillTime(prompt) + interval
}

// updateCorrection adjusts the correction factor of a service to an observed time
// to the first token. Predictions are too short because a daemon does not know
// what the others have just sent, the more so the more daemons there are: in a
// large fleet, first tokens took 0.6 s where 0.35 s were predicted.
func (p *Placer) updateCorrection(pl Placement, took time.Duration) {
	if pl.Predicted <= 0 || pl.state.Engine == nil {
		return
	}
	if p.correction == nil {
		p.correction = map[string]float64{}
	}
	correction := max(p.correction[pl.state.Service], 1)
	observed := min(correction*float64(took)/float64(pl.Predicted), maxCorrection)
	p.correction[pl.state.Service] = max(correction+correctionGain*(observed-correction), 1)
}

// corrected multiplies a predicted time by the correction factor of the service.
func (p *Placer) corrected(service string, predicted time.Duration) time.Duration {
	return time.Duration(max(p.correction[service], 1) * float64(predicted))
}
