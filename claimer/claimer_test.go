package claimer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// fakeShell is a Shell that queues calls, which tests answer from a map of objects, and
// records verdicts and timers.
type fakeShell struct {
	objects  map[string]Answer
	calls    []Call
	verdicts map[definer.RequestID]messenger.ClaimVerdict
	answers  map[definer.RequestID]*messenger.KeptAnswer
	wake     map[int]time.Time
	gone     map[definer.VM]bool
}

func newFakeShell(objects map[string]Answer) *fakeShell {
	return &fakeShell{
		objects: objects, verdicts: make(map[definer.RequestID]messenger.ClaimVerdict), wake: make(map[int]time.Time),
		answers: make(map[definer.RequestID]*messenger.KeptAnswer), gone: make(map[definer.VM]bool),
	}
}

func (fakeShell *fakeShell) CallPlatform(call Call)          { fakeShell.calls = append(fakeShell.calls, call) }
func (fakeShell *fakeShell) WakeAt(bucket int, at time.Time) { fakeShell.wake[bucket] = at }
func (fakeShell *fakeShell) Gone(member definer.Member) bool { return fakeShell.gone[member.VM] }
func (fakeShell *fakeShell) do(call Call) Answer             { return applyCall(fakeShell.objects, call) }
func (fakeShell *fakeShell) next() Call {
	call := fakeShell.calls[0]
	fakeShell.calls = fakeShell.calls[1:]
	return call
}

func (fakeShell *fakeShell) verdict(request definer.RequestID) any {
	return fakeShell.verdicts[request]
}

func (fakeShell *fakeShell) Settle(operation Operation, verdict messenger.ClaimVerdict, answer *messenger.KeptAnswer) {
	fakeShell.verdicts[operation.Request] = verdict
	fakeShell.answers[operation.Request] = answer
}

func applyCall(objects map[string]Answer, call Call) Answer {
	object, ok := objects[call.Name]
	switch {
	case call.Verb == Read && !ok, call.Verb != Read && call.Version != object.Version && !ok:
		return Answer{Result: Missing}
	case call.Verb == Read:
		return object
	case call.Version != object.Version:
		object.Result = Conflict
		return object
	case call.Verb == Delete:
		delete(objects, call.Name)
		return Answer{Result: Done}
	}
	objects[call.Name] = Answer{Result: Done, Version: object.Version + 1, Value: call.Value}
	return objects[call.Name]
}

// testBench is a Writer with a fakeShell and a clock that tests advance.
type testBench struct {
	*fakeShell
	writer *Writer
	now    time.Time
}

func newTestBench(objects map[string]Answer) *testBench {
	fakeShell := newFakeShell(objects)
	return &testBench{fakeShell: fakeShell, writer: New(fakeShell), now: time.Unix(1_800_000_000, 0)}
}

// settle answers all calls and advances the clock until no step waits.
func (testBench *testBench) settle() {
	for range 1000 {
		for len(testBench.calls) > 0 {
			call := testBench.next()
			testBench.writer.HandleAnswer(testBench.now, call.Bucket, testBench.do(call))
		}
		if testBench.writer.Waiting() == 0 {
			return
		}
		testBench.now = testBench.now.Add(50 * time.Millisecond)
		for bucket, at := range testBench.wake {
			if !at.After(testBench.now) {
				delete(testBench.wake, bucket)
				testBench.writer.HandleTimer(testBench.now, bucket)
			}
		}
	}
}

func newOperation(step messenger.ClaimStep, key, request string, bytes int) Operation {
	ask := messenger.ClaimAsk{Step: step, KeyHash: key, BodyHash: "b", Request: definer.RequestID(request)}
	if bytes > 0 {
		ask.Answer = &messenger.KeptAnswer{Status: 200, Body: []byte(strings.Repeat("x", bytes))}
	}
	return Operation{ClaimAsk: ask, Holder: definer.Member{VM: "a", Incarnation: 1}}
}

// bucketKeys returns keys of the bucket with index 3.
func bucketKeys(count int) []string {
	var found []string
	for index := 0; len(found) < count; index++ {
		if key := fmt.Sprintf("key%d", index); BucketOf(key) == 3 {
			found = append(found, key)
		}
	}
	return found
}

func (testBench *testBench) run(key string, bytes int) {
	testBench.writer.Submit(testBench.now, newOperation(messenger.TakeClaim, key, "of-"+key, 0))
	testBench.settle()
	testBench.writer.Submit(testBench.now, newOperation(messenger.FinishClaim, key, "of-"+key, bytes))
	testBench.settle()
}

// TestStepsOfAWriteUnderWayAreKept guards against dropping a step that timed out while
// the write that carries it was outstanding: the claim would be stored, but refused.
func TestStepsOfAWriteUnderWayAreKept(t *testing.T) {
	testBench := newTestBench(make(map[string]Answer))
	key := bucketKeys(2)
	testBench.writer.Submit(testBench.now, newOperation(messenger.TakeClaim, key[0], "r1", 0))
	read := testBench.next()
	testBench.writer.HandleAnswer(testBench.now, read.Bucket, testBench.do(read))
	write := testBench.next()
	testBench.now = testBench.now.Add(2 * stepTimeout)
	testBench.writer.Submit(testBench.now, newOperation(messenger.TakeClaim, key[1], "r2", 0))
	assert.Equal(t, testBench.verdict("r1"), messenger.ClaimVerdict(""))
	testBench.writer.HandleAnswer(testBench.now, write.Bucket, testBench.do(write))
	testBench.settle()
	assert.Equal(t, testBench.verdict("r1"), messenger.ClaimGranted)
	assert.Equal(t, testBench.verdict("r2"), messenger.ClaimGranted)
}

// TestSegments checks that two writers on one bucket move final records to segments, that
// another writer finds their answers there, and that expired segments are deleted.
func TestSegments(t *testing.T) {
	objects := make(map[string]Answer)
	one, other := newTestBench(objects), newTestBench(objects)
	all := bucketKeys(60)
	for index, key := range all {
		testBench := []*testBench{one, other}[index/4%2]
		testBench.now = one.now.Add(max(0, other.now.Sub(one.now)))
		testBench.run(key, 1500)
	}
	segments := len(objects) - 1
	assert.Check(t, segments >= 4, "%d segments", segments)
	assert.Check(t, len(objects[headName(3)].Value) < 2*segmentBytes)

	// A third writer that has read nothing yet finds every answer.
	third := newTestBench(objects)
	third.now = other.now
	for _, key := range all {
		third.writer.Submit(third.now, newOperation(messenger.TakeClaim, key, "again-"+key, 0))
		third.settle()
		assert.Equal(t, third.verdict(definer.RequestID("again-"+key)), messenger.ClaimReplay)
	}
	// Long after the retention, the records are dropped and their segments deleted.
	third.now = third.now.Add(3 * DefaultRetention)
	for index, key := range bucketKeys(80)[60:] {
		third.run(key, 0)
		third.now = third.now.Add(time.Duration(index) * time.Second)
	}
	assert.Equal(t, len(objects), 1)
}

// TestSealedSegmentIsAdopted guards against losing the records of a segment whose writer
// ended, or lost the answer, after it created the segment and before the head listed it.
func TestSealedSegmentIsAdopted(t *testing.T) {
	for _, lost := range []bool{false, true} {
		objects := make(map[string]Answer)
		predecessor, successor := newTestBench(objects), newTestBench(objects)
		all := bucketKeys(40)
		index := 0
		for ; len(objects) < 2; index++ {
			predecessor.writer.Submit(predecessor.now, newOperation(messenger.TakeClaim, all[index], "of-"+all[index], 0))
			predecessor.settle()
			predecessor.writer.Submit(predecessor.now, newOperation(messenger.FinishClaim, all[index], "of-"+all[index], 3000))
			for len(objects) < 2 && predecessor.writer.Waiting() > 0 {
				if len(predecessor.calls) > 0 {
					call := predecessor.next()
					answer := predecessor.do(call)
					if len(objects) == 2 && lost {
						answer = Answer{Result: Lost}
					}
					if len(objects) < 2 || lost {
						predecessor.writer.HandleAnswer(predecessor.now, call.Bucket, answer)
					}
					continue
				}
				predecessor.now = predecessor.now.Add(time.Second / 2)
				predecessor.writer.HandleTimer(predecessor.now, 3)
			}
		}
		// The writer that created the segment ends here, or reads the segment back if
		// its answer was lost; the other writer goes on.
		if lost {
			predecessor.settle()
		}
		successor.now = predecessor.now.Add(time.Second)
		for _, key := range all[:index] {
			successor.writer.Submit(successor.now, newOperation(messenger.TakeClaim, key, "again-"+key, 0))
			successor.settle()
			verdict := successor.verdict(definer.RequestID("again-" + key))
			last := key == all[index-1] && !lost
			assert.Check(t, verdict == messenger.ClaimReplay || last && verdict == messenger.ClaimInUse, "%s: %s", key, verdict)
		}
		successor.run(all[index], 3000)
		successor.run(all[index+1], 0)
		assert.Equal(t, len(objects), 2)
		head, err := decode[head](objects[headName(3)].Value)
		assert.NilError(t, err)
		assert.Equal(t, head.Next, 1)
	}
}

// TestFullBucket checks that a full head refuses claims within its bound of size, and
// accepts them again once requests have finished.
func TestFullBucket(t *testing.T) {
	testBench := newTestBench(make(map[string]Answer))
	all := bucketKeys(1401)
	last := messenger.ClaimGranted
	for index := 0; index < 1400 && last == messenger.ClaimGranted; index += 100 {
		for _, key := range all[index : index+100] {
			testBench.writer.Submit(testBench.now, newOperation(messenger.TakeClaim, key, key, 0))
		}
		testBench.settle()
		last = testBench.verdicts[definer.RequestID(all[index+99])]
	}
	assert.Equal(t, last, messenger.ClaimFull)
	assert.Check(t, len(testBench.objects[headName(3)].Value) < 1<<20)
	// Records of finished requests free space once they are moved to a segment.
	for _, key := range all[:200] {
		testBench.writer.Submit(testBench.now, newOperation(messenger.FinishClaim, key, key, 0))
	}
	testBench.settle()
	testBench.run(all[1400], 0)
	assert.Equal(t, testBench.verdict(definer.RequestID("of-"+all[1400])), messenger.ClaimStored)
}

// TestSpoiltObjectClaimsNothing checks that a head that cannot be decoded is not
// overwritten and that no claim on it is granted.
func TestSpoiltObjectClaimsNothing(t *testing.T) {
	testBench := newTestBench(map[string]Answer{headName(3): {Result: Done, Version: 4, Value: []byte("{")}})
	testBench.writer.Submit(testBench.now, newOperation(messenger.TakeClaim, bucketKeys(1)[0], "r1", 0))
	testBench.settle()
	assert.Equal(t, testBench.verdict("r1"), messenger.ClaimAway)
	assert.Equal(t, testBench.objects[headName(3)].Version, uint64(4))
}

func TestKeyHash(t *testing.T) {
	assert.Check(t, KeyHash("ab", "c") != KeyHash("a", "bc"))
	assert.Check(t, KeyHash("a", "k") != KeyHash("b", "k"))
	assert.Check(t, !strings.Contains(KeyHash("a", "secret"), "secret"))
}

func TestParseLocal(t *testing.T) {
	local := NewLocal(definer.Member{VM: "vm.1", Incarnation: 7}, time.Unix(0, 0), 1)
	issued := local.Issue(time.Unix(2, 0))
	parsed, ok := ParseLocalKey(issued.String())
	assert.Check(t, ok)
	assert.Equal(t, parsed, issued)
	for _, wrong := range []string{"", "local.", "local.a.1.2", "local.a.x.1.2", "local.a.1.x.2", "mine.a.1.2.3"} {
		_, ok := ParseLocalKey(wrong)
		assert.Check(t, !ok, "%s", wrong)
	}
}

// TestLocalTableIsBounded checks the bounds on keys and answers, and that expired keys are
// refused and free their place.
func TestLocalTableIsBounded(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	self := definer.Member{VM: "a", Incarnation: 1}
	local := NewLocal(self, start, 1)
	claim := func(now time.Time, request string) messenger.ClaimVerdict {
		verdict, _ := local.Claim(now, local.Issue(now), newOperation(messenger.TakeClaim, request, request, 0), true)
		return verdict
	}
	for index := range maxLocalKeys {
		key := fmt.Sprint(index)
		assert.Equal(t, claim(start, key), messenger.ClaimGranted)
		local.Settle(start, newOperation(messenger.FinishClaim, key, key, 2000))
	}
	assert.Equal(t, claim(start, "more"), messenger.ClaimFull)
	assert.Check(t, local.answerBytes <= maxLocalAnswerBytes)
	// The oldest answers were dropped first; that their requests ran is still known.
	first, _ := local.Claim(start, local.Issue(start), newOperation(messenger.TakeClaim, "0", "x", 0), true)
	assert.Equal(t, first, messenger.ClaimUnkept)
	later := start.Add(localKeyLifetime + time.Second)
	assert.Equal(t, claim(later, "more"), messenger.ClaimGranted)
	old := LocalKey{holder: self, number: "1"}
	verdict, _ := local.Claim(later, old, newOperation(messenger.TakeClaim, "0", "x", 0), true)
	assert.Equal(t, verdict, messenger.ClaimExpired)
}
