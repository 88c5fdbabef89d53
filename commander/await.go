package commander

import (
	"context"
	"fmt"
	"time"

	"limpetcleat/operator"
)

const (
	defaultPutWait  = 17 * time.Second
	putPollInterval = 200 * time.Millisecond
	// silentFor is how long a node may give no answer before it counts as one
	// that cannot be reached.
	unreachableAfter = 3 * time.Second
)

// spread tells on which nodes a version is in force.
type rollout struct {
	inForce []string
	// late nodes answer and apply an older version.
	outdated []string
	// silent nodes give no answer.
	unanswered []string
}

// awaitInForce returns once every node that answers applies the result's
// version. Its error is of kind NotEverywhere and names the nodes that are late
// when the time is over, and those that gave no answer.
func (commander *Commander) awaitInForce(ctx context.Context, options rulesOptions, result *putResult) error {
	if !options.nodes.isSet() {
		_, _ = fmt.Fprintln(commander.errOut, "whether it is in force was not looked at, since -nodes is missing")
		return nil
	}
	client, err := options.nodes.operatorClient()
	if err != nil {
		return err
	}
	current := pollVersions(ctx, client, result.Version, *options.wait)
	result.InForce = append(result.InForce, current.inForce...)
	result.Behind = append(append(result.Behind, current.outdated...), current.unanswered...)
	switch {
	case len(current.outdated) > 0:
		return fail("put", Partial, "version %d is accepted, but not yet in force on %v; no answer from %v", result.Version, current.outdated, current.unanswered)
	case len(current.unanswered) > 0:
		return fail("put", Partial, "version %d is accepted and in force on the nodes that answer; no answer from %v", result.Version, current.unanswered)
	}
	return nil
}

// poll asks the nodes again and again until nothing more is to be waited for.
func pollVersions(ctx context.Context, client *operator.Client, version uint64, wait time.Duration) rollout {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	start := time.Now()
	for {
		current := checkVersions(ctx, client, version)
		settled := len(current.unanswered) == 0 || time.Since(start) >= unreachableAfter
		if len(current.outdated) == 0 && settled {
			return current
		}
		select {
		case <-waitCtx.Done():
			return current
		case <-time.After(putPollInterval):
		}
	}
}

// look asks every node once which version it applies.
func checkVersions(ctx context.Context, client *operator.Client, version uint64) rollout {
	var current rollout
	for _, answer := range client.Status(ctx) {
		switch {
		case answer.Failure() != nil:
			current.unanswered = append(current.unanswered, answer.Address())
		case answer.Value().Configuration < version:
			current.outdated = append(current.outdated, answer.Address())
		default:
			current.inForce = append(current.inForce, answer.Address())
		}
	}
	return current
}
