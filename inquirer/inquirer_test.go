package inquirer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

func subject(name string) Subject {
	return Subject{Start: definer.UpstreamStart{Upstream: definer.UpstreamName(name)}}
}

// Guards against a question for each request: one is asked for all that wait, and its answer counts for the lifetime.
func TestQuestionsAreShared(t *testing.T) {
	for _, healthy := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			inquirer, asked := New(), 0
			ask := func(subject Subject) bool {
				return inquirer.Ask(t.Context(), t.Context(), subject, func(context.Context) bool {
					asked++
					<-time.After(time.Millisecond)
					return healthy
				})
			}
			var waiting conc.WaitGroup
			for range 20 {
				waiting.Go(func() { assert.Check(t, ask(subject("u")) == healthy) })
			}
			waiting.Wait()
			assert.Equal(t, asked, 1)
			assert.Equal(t, inquirer.Verdict(time.Now(), subject("u")) == Healthy, healthy)
			assert.Equal(t, inquirer.Verdict(time.Now(), subject("v")), Unknown)
			lifetime := AnswerLifetime
			if !healthy {
				lifetime = unhealthyLifetime
			}
			<-time.After(lifetime - 2*time.Millisecond)
			ask(subject("u"))
			assert.Equal(t, asked, 1)
			<-time.After(time.Millisecond)
			assert.Equal(t, inquirer.Verdict(time.Now(), subject("u")), Unknown)
			moved := subject("u")
			moved.Address = "127.0.0.1:1"
			ask(moved)
			assert.Equal(t, asked, 2, "the answer counts at its address only")
			ask(subject("u"))
			assert.Equal(t, asked, 3)
		})
	}
}

// Guards against an upstream that is used since its answer came when it did not count any more, against waits without
// end, and against a request that waits on after its own end.
func TestQuestionsThatTakeTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inquirer, began := New(), time.Now()
		var waiting conc.WaitGroup
		waiting.Go(func() {
			assert.Check(t, !inquirer.Ask(t.Context(), t.Context(), subject("u"), func(ctx context.Context) bool {
				<-ctx.Done()
				return true
			}))
			assert.Check(t, time.Since(began) <= questionTimeout)
		})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		assert.Check(t, !inquirer.Ask(ctx, t.Context(), subject("u"), nil))
		assert.Equal(t, time.Since(began), time.Millisecond)
		waiting.Wait()
	})
}

// Guards against memory and questions without bound.
func TestQuestionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inquirer := New()
		healthy := func(context.Context) bool { return true }
		for round := range 2 * maxAnswers / maxQuestions {
			for number := range 2 * maxQuestions {
				asked := inquirer.Ask(t.Context(), t.Context(), subject(fmt.Sprint(round, ".", number)), healthy)
				assert.Equal(t, asked, number < maxQuestions)
			}
			assert.Equal(t, inquirer.Verdict(time.Now(), subject(fmt.Sprint(round, ".", 0))), Healthy)
			assert.Equal(t, inquirer.Verdict(time.Now(), subject("new")), Unhealthy)
			assert.Check(t, len(inquirer.answers) <= maxAnswers)
			<-time.After(AnswerLifetime)
		}
	})
}
