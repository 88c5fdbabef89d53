package predictor

import "time"

const (
	// initialSpeed is the assumed prefill speed, in tokens per millisecond, until one is
	// observed; models of 30 to 120 billion parameters read 20 to 100.
	initialSpeed = 40.0
	// speedStep is the relative change of a figure for one observation: forty of them correct
	// a factor of three, and an outlier counts no more than any other observation.
	speedStep = 0.03
	// minObservedTokens is the least number of tokens for which the speed is observed: with
	// fewer, the parts of the latency other than prefill would distort it.
	minObservedTokens = 2000
	// maxBaseTokens is the largest number of tokens for which the base latency is observed.
	maxBaseTokens = 1000
	// minBase is the base latency below which its changes do not become smaller.
	minBase = 10 * time.Millisecond
	// maxReadingTime bounds the predicted times, so that counts from peers cannot make them
	// overflow.
	maxReadingTime = 24 * time.Hour
	// initialInterval is the assumed time between two events of a stream until one is observed.
	initialInterval = 40 * time.Millisecond
)

// Service estimates the figures that the engines of a service have in common. Each of them
// tracks the median of its observations.
type Service struct {
	// speed is the prefill speed in tokens per millisecond, above 0.
	speed float64
	// throughput is the prefill speed as it shows from outside, in tokens per millisecond, above 0:
	// it includes the base latency and whatever else delays first events.
	throughput float64
	// base is the part of the time to the first event that does not depend on the tokens to be
	// prefilled, at least 0.
	base time.Duration
	// interval is the usual time between two events of a stream, above 0.
	interval time.Duration
}

// NewService returns the estimates that apply until something is observed.
func NewService() *Service {
	return &Service{speed: initialSpeed, throughput: initialSpeed, interval: initialInterval}
}

// PrefillTime returns how long an engine of usual speed takes to prefill the tokens.
func (service *Service) PrefillTime(tokens int) time.Duration {
	return readingTime(tokens, service.speed)
}

// Work returns the engine time that counts for the prefill of the tokens, where load is added up:
// with all that delays first events.
func (service *Service) Work(tokens int) time.Duration {
	return readingTime(tokens, service.throughput)
}

// readingTime returns the time for the tokens at a speed in tokens per millisecond, at most
// maxReadingTime.
func readingTime(tokens int, speed float64) time.Duration {
	return time.Duration(min(float64(tokens)/speed*float64(time.Millisecond), float64(maxReadingTime)))
}

// Speed returns the prefill speed in tokens per millisecond.
func (service *Service) Speed() float64 { return service.speed }

// Base returns the part of the time to the first event that does not depend on the tokens.
func (service *Service) Base() time.Duration { return service.base }

// Interval returns the usual time between two events of a stream.
func (service *Service) Interval() time.Duration { return service.interval }

// firstEvent returns the time to the first event at an engine of usual speed.
func (service *Service) firstEvent(tokens int) time.Duration {
	return service.base + service.PrefillTime(tokens)
}

// observeFirstEvent adjusts the speed or the base latency by one observation: the first event came
// after the time took, with that many tokens to be prefilled before it.
func (service *Service) observeFirstEvent(tokens int, took time.Duration) {
	if tokens >= minObservedTokens {
		service.throughput = adjusted(service.throughput, took < service.Work(tokens))
	}
	early := took < service.firstEvent(tokens)
	switch {
	case tokens >= minObservedTokens:
		service.speed = adjusted(service.speed, early)
	case tokens <= maxBaseTokens && early:
		service.base = max(service.base-service.baseStep(), 0)
	case tokens <= maxBaseTokens:
		service.base += service.baseStep()
	}
}

// adjusted returns a speed after an observation that was faster or slower.
func adjusted(speed float64, faster bool) float64 {
	if faster {
		return speed * (1 + speedStep)
	}
	return speed / (1 + speedStep)
}

func (service *Service) baseStep() time.Duration {
	return time.Duration(speedStep * float64(max(service.base, minBase)))
}

// ObserveStream adjusts the usual interval by a stream with the number of events that took the
// time from its first event to its last.
func (service *Service) ObserveStream(events int, took time.Duration) {
	if events < 2 || took <= 0 {
		return
	}
	if took/time.Duration(events-1) < service.interval {
		service.interval = time.Duration(float64(service.interval) / (1 + speedStep))
		return
	}
	service.interval = time.Duration(float64(service.interval) * (1 + speedStep))
}
