package engine

import "time"

const (
	defaultModel              = "standin"
	defaultMaxRunning         = 8
	defaultMaxQueued          = 64
	defaultTokenInterval      = 20 * time.Millisecond
	defaultTokenIntervalSlope = time.Millisecond
	defaultPrefillTime        = 100 * time.Millisecond
	defaultCacheBlocks        = 4096
	defaultLoadLag            = 500 * time.Millisecond
	defaultResumeGrace        = 2 * time.Second
	defaultMinResponseTokens  = 8
	defaultMaxResponseTokens  = 256
)

type options struct {
	models             []string
	maxRunning         int
	maxQueued          int
	tokenInterval      time.Duration
	tokenIntervalSlope time.Duration
	prefillTime        time.Duration
	cacheBlocks        int
	loadLag            time.Duration
	resumeGrace        time.Duration
	minResponseTokens  int
	maxResponseTokens  int
	clockScale         float64
}

func defaultOptions() options {
	return options{
		models:             []string{defaultModel},
		maxRunning:         defaultMaxRunning,
		maxQueued:          defaultMaxQueued,
		tokenInterval:      defaultTokenInterval,
		tokenIntervalSlope: defaultTokenIntervalSlope,
		prefillTime:        defaultPrefillTime,
		cacheBlocks:        defaultCacheBlocks,
		loadLag:            defaultLoadLag,
		resumeGrace:        defaultResumeGrace,
		minResponseTokens:  defaultMinResponseTokens,
		maxResponseTokens:  defaultMaxResponseTokens,
		clockScale:         1,
	}
}

// applyClockScale divides all durations by clockScale; a factor of 0 or less leaves them unchanged.
func (options *options) applyClockScale() {
	if options.clockScale <= 0 {
		return
	}
	durations := []*time.Duration{
		&options.tokenInterval, &options.tokenIntervalSlope, &options.prefillTime, &options.loadLag, &options.resumeGrace,
	}
	for _, duration := range durations {
		*duration = time.Duration(float64(*duration) / options.clockScale)
	}
}

// Option configures an Engine.
type Option func(*options)

// WithModels sets the names of the models that the engine serves.
func WithModels(models ...string) Option {
	return func(options *options) { options.models = models }
}

// WithMaxRunning sets the maximum number of sequences in the running batch.
func WithMaxRunning(sequences int) Option {
	return func(options *options) { options.maxRunning = sequences }
}

// WithMaxQueued sets the maximum number of queued sequences that have not started.
func WithMaxQueued(sequences int) Option {
	return func(options *options) { options.maxQueued = sequences }
}

// WithTokenInterval sets the time between tokens of a sequence that runs alone, and the time that
// each additional running sequence adds to it.
func WithTokenInterval(base, slope time.Duration) Option {
	return func(options *options) { options.tokenInterval, options.tokenIntervalSlope = base, slope }
}

// WithPrefillTime sets the prefill time per 1,000 tokens that are not in the prefix cache.
func WithPrefillTime(perThousand time.Duration) Option {
	return func(options *options) { options.prefillTime = perThousand }
}

// WithPrefixCacheBlocks sets the capacity of the prefix cache in blocks of 16 tokens.
func WithPrefixCacheBlocks(blocks int) Option {
	return func(options *options) { options.cacheBlocks = blocks }
}

// WithLoadLag sets the age of the load that GET /load reports.
func WithLoadLag(lag time.Duration) Option {
	return func(options *options) { options.loadLag = lag }
}

// WithResumeGrace sets how long a sequence can be resumed after its client disconnected.
func WithResumeGrace(grace time.Duration) Option {
	return func(options *options) { options.resumeGrace = grace }
}

// WithResponseLengths sets the range of the natural response length, in tokens. A response has its
// natural length unless the request sets a lower limit or the prompt fixes the length.
func WithResponseLengths(shortest, longest int) Option {
	return func(options *options) { options.minResponseTokens, options.maxResponseTokens = shortest, longest }
}

// WithClockScale divides all durations of the engine by factor.
func WithClockScale(factor float64) Option {
	return func(options *options) { options.clockScale = factor }
}
