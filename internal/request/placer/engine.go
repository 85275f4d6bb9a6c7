package placer

import "time"

// Engine is the speed of a model engine.
type Engine struct {
	// ReadPerSecond is the number of prompt tokens read in a second.
	ReadPerSecond float64
	// Step is the time of one token of each running answer, and PerRequest what
	// each running answer adds to it.
	Step       time.Duration
	PerRequest time.Duration
	// Stride is the number of steps between two looks at waiting prompts.
	Stride int
}

// reading is the time in which the engine reads a prompt.
func (e *Engine) reading(tokens int) time.Duration {
	if e == nil || e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadPerSecond * float64(time.Second))
}

// pass is the time between two looks at waiting prompts without any prompt.
func (e *Engine) pass(running float64) time.Duration {
	step := float64(e.Step) + running*float64(e.PerRequest)
	return time.Duration(float64(max(e.Stride, 1)) * step)
}

// FirstToken predicts the time to the first token of a request: the rest of the
// running pass, the prompts that wait, its own prompt and one pass.
func (e *Engine) FirstToken(running float64, waiting time.Duration, prompt int) time.Duration {
	if e == nil {
		return 0
	}
	pass := e.pass(running)
	return pass/2 + waiting + e.reading(prompt) + pass
}

// learn corrects predictions by the first tokens that were seen. Daemons do not
// see what others have just sent, and the more of them there are the more that
// is: on tmfpa grown first tokens took 0.6 s where 0.35 s were predicted.
func (p *Placer) learn(pl Placement, took time.Duration) {
	if pl.Predicted <= 0 || pl.state.Engine == nil {
		return
	}
	if p.bias == nil {
		p.bias = map[string]float64{}
	}
	bias := max(p.bias[pl.state.Service], 1)
	seen := min(bias*float64(took)/float64(pl.Predicted), maxBias)
	p.bias[pl.state.Service] = max(bias+biasGain*(seen-bias), 1)
}

func (p *Placer) biased(service string, predicted time.Duration) time.Duration {
	return time.Duration(max(p.bias[service], 1) * float64(predicted))
}
