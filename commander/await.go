package commander

import (
	"context"
	"fmt"
	"time"

	"limpetcleat/operator"
)

const (
	putWait      = 17 * time.Second
	putPollEvery = 200 * time.Millisecond
	// silentFor is how long a node may give no answer before it counts as one
	// that cannot be reached.
	silentFor = 3 * time.Second
)

// spread tells on which nodes a version is in force.
type spread struct {
	inForce []string
	// late nodes answer and apply an older version.
	late []string
	// silent nodes give no answer.
	silent []string
}

// awaitInForce returns once every node that answers applies the result's
// version. Its error is of kind NotEverywhere and names the nodes that are late
// when the time is over, and those that gave no answer.
func (commander *Commander) awaitInForce(ctx context.Context, chosen ruleFlags, result *putResult) error {
	if !chosen.nodes.given() {
		_, _ = fmt.Fprintln(commander.problems, "whether it is in force was not looked at, since -nodes is missing")
		return nil
	}
	client, err := chosen.nodes.client()
	if err != nil {
		return err
	}
	seen := poll(ctx, client, result.Version, *chosen.wait)
	result.InForce = append(result.InForce, seen.inForce...)
	result.Behind = append(append(result.Behind, seen.late...), seen.silent...)
	switch {
	case len(seen.late) > 0:
		return fail("put", NotEverywhere, "version %d is accepted, but not yet in force on %v; no answer from %v", result.Version, seen.late, seen.silent)
	case len(seen.silent) > 0:
		return fail("put", NotEverywhere, "version %d is accepted and in force on the nodes that answer; no answer from %v", result.Version, seen.silent)
	}
	return nil
}

// poll asks the nodes again and again until nothing more is to be waited for.
func poll(ctx context.Context, client *operator.Client, version uint64, wait time.Duration) spread {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	began := time.Now()
	for {
		seen := look(ctx, client, version)
		quiet := len(seen.silent) == 0 || time.Since(began) >= silentFor
		if len(seen.late) == 0 && quiet {
			return seen
		}
		select {
		case <-limited.Done():
			return seen
		case <-time.After(putPollEvery):
		}
	}
}

// look asks every node once which version it applies.
func look(ctx context.Context, client *operator.Client, version uint64) spread {
	var seen spread
	for _, answer := range client.Status(ctx) {
		switch {
		case answer.Failure() != nil:
			seen.silent = append(seen.silent, answer.Address())
		case answer.Value().Configuration < version:
			seen.late = append(seen.late, answer.Address())
		default:
			seen.inForce = append(seen.inForce, answer.Address())
		}
	}
	return seen
}
