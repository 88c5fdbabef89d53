package decider

import "context"

// Platform carries out the core's calls to the platform and delivers what it
// says as events.
type Platform interface {
	// Start begins work until the context ends; it returns at once.
	Start(ctx context.Context)
	// Call carries out one call; a PlatformAnswered event follows.
	Call(call CallPlatform)
	// Hold tells whether to watch the configuration and the list of VMs.
	Hold(hold bool)
}
