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
	// unreachableAfter is the time after which polling no longer waits for a node that does not
	// answer.
	unreachableAfter = 3 * time.Second
)

// rollout groups the addresses of nodes by whether they apply a version.
type rollout struct {
	inForce []string
	// outdated nodes answer but apply an older version.
	outdated []string
	// unanswered holds the nodes whose status request failed.
	unanswered []string
}

// awaitInForce waits until every node that answers applies the result's version, and records the
// nodes in result. After the timeout, or if a node does not answer, it returns an error of kind
// Partial that names the outdated nodes and those that did not answer. Without node addresses it
// prints a notice and returns nil.
func (commander *Commander) awaitInForce(ctx context.Context, options rulesOptions, result *putResult) error {
	if !options.nodes.isSet() {
		_, _ = fmt.Fprintln(commander.errOut, "did not check whether the version is in force, since -nodes is missing")
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

// pollVersions queries the nodes repeatedly until all of them apply the version, or until the wait
// is over. Nodes that do not answer delay the result by unreachableAfter at most.
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

// checkVersions queries each node once for the version that it applies.
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
