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

// desk is a shell that answers at once from a map of objects, unless it holds
// the answers back.
type desk struct {
	objects  map[string]Answer
	calls    []Call
	verdicts map[definer.RequestID]messenger.ClaimVerdict
	answers  map[definer.RequestID]*messenger.KeptAnswer
	wake     map[int]time.Time
	gone     map[definer.VM]bool
}

func newDesk(objects map[string]Answer) *desk {
	return &desk{
		objects: objects, verdicts: make(map[definer.RequestID]messenger.ClaimVerdict), wake: make(map[int]time.Time),
		answers: make(map[definer.RequestID]*messenger.KeptAnswer), gone: make(map[definer.VM]bool),
	}
}

func (desk *desk) CallPlatform(call Call)             { desk.calls = append(desk.calls, call) }
func (desk *desk) WakeAt(bucket int, at time.Time)    { desk.wake[bucket] = at }
func (desk *desk) Gone(member definer.Member) bool    { return desk.gone[member.VM] }
func (desk *desk) do(call Call) Answer                { return do(desk.objects, call) }
func (desk *desk) next() Call                         { call := desk.calls[0]; desk.calls = desk.calls[1:]; return call }
func (desk *desk) told(request definer.RequestID) any { return desk.verdicts[request] }

func (desk *desk) Settle(operation Operation, verdict messenger.ClaimVerdict, answer *messenger.KeptAnswer) {
	desk.verdicts[operation.Request] = verdict
	desk.answers[operation.Request] = answer
}

func do(objects map[string]Answer, call Call) Answer {
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

// bench is a writer with its desk under a stepped clock.
type bench struct {
	*desk
	writer *Writer
	now    time.Time
}

func newBench(objects map[string]Answer) *bench {
	desk := newDesk(objects)
	return &bench{desk: desk, writer: New(desk), now: time.Unix(1_800_000_000, 0)}
}

// settle answers every call and lets time pass until nothing waits.
func (bench *bench) settle() {
	for range 1000 {
		for len(bench.calls) > 0 {
			call := bench.next()
			bench.writer.Answered(bench.now, call.Bucket, bench.do(call))
		}
		if bench.writer.Waiting() == 0 {
			return
		}
		bench.now = bench.now.Add(50 * time.Millisecond)
		for bucket, at := range bench.wake {
			if !at.After(bench.now) {
				delete(bench.wake, bucket)
				bench.writer.Fired(bench.now, bucket)
			}
		}
	}
}

func operation(step messenger.ClaimStep, key, request string, bytes int) Operation {
	ask := messenger.ClaimAsk{Step: step, KeyHash: key, BodyHash: "b", Request: definer.RequestID(request)}
	if bytes > 0 {
		ask.Answer = &messenger.KeptAnswer{Status: 200, Body: []byte(strings.Repeat("x", bytes))}
	}
	return Operation{ClaimAsk: ask, Holder: definer.Member{VM: "a", Incarnation: 1}}
}

// keys returns keys of one bucket.
func keys(count int) []string {
	var found []string
	for index := 0; len(found) < count; index++ {
		if key := fmt.Sprintf("key%d", index); BucketOf(key) == 3 {
			found = append(found, key)
		}
	}
	return found
}

func (bench *bench) run(key string, bytes int) {
	bench.writer.Submit(bench.now, operation(messenger.TakeClaim, key, "of-"+key, 0))
	bench.settle()
	bench.writer.Submit(bench.now, operation(messenger.FinishClaim, key, "of-"+key, bytes))
	bench.settle()
}

func TestStepsOfAWriteUnderWayAreKept(t *testing.T) {
	bench := newBench(make(map[string]Answer))
	key := keys(2)
	bench.writer.Submit(bench.now, operation(messenger.TakeClaim, key[0], "r1", 0))
	read := bench.next()
	bench.writer.Answered(bench.now, read.Bucket, bench.do(read))
	write := bench.next()
	bench.now = bench.now.Add(2 * stepLife)
	bench.writer.Submit(bench.now, operation(messenger.TakeClaim, key[1], "r2", 0))
	assert.Equal(t, bench.told("r1"), messenger.ClaimVerdict(""))
	bench.writer.Answered(bench.now, write.Bucket, bench.do(write))
	bench.settle()
	assert.Equal(t, bench.told("r1"), messenger.ClaimGranted)
	assert.Equal(t, bench.told("r2"), messenger.ClaimGranted)
}

func TestSegments(t *testing.T) {
	objects := make(map[string]Answer)
	one, other := newBench(objects), newBench(objects)
	all := keys(60)
	for index, key := range all {
		bench := []*bench{one, other}[index/4%2]
		bench.now = one.now.Add(max(0, other.now.Sub(one.now)))
		bench.run(key, 1500)
	}
	segments := len(objects) - 1
	assert.Check(t, segments >= 4, "%d segments", segments)
	assert.Check(t, len(objects[headName(3)].Value) < 2*segmentBytes)

	// A third writer that knows nothing finds every answer.
	third := newBench(objects)
	third.now = other.now
	for _, key := range all {
		third.writer.Submit(third.now, operation(messenger.TakeClaim, key, "again-"+key, 0))
		third.settle()
		assert.Equal(t, third.told(definer.RequestID("again-"+key)), messenger.ClaimReplay)
	}
	// Long after, they are forgotten and their objects deleted.
	third.now = third.now.Add(3 * DefaultKeep)
	for index, key := range keys(80)[60:] {
		third.run(key, 0)
		third.now = third.now.Add(time.Duration(index) * time.Second)
	}
	assert.Equal(t, len(objects), 1)
}

func TestSealedSegmentIsAdopted(t *testing.T) {
	for _, lost := range []bool{false, true} {
		objects := make(map[string]Answer)
		dying, heir := newBench(objects), newBench(objects)
		all := keys(40)
		index := 0
		for ; len(objects) < 2; index++ {
			dying.writer.Submit(dying.now, operation(messenger.TakeClaim, all[index], "of-"+all[index], 0))
			dying.settle()
			dying.writer.Submit(dying.now, operation(messenger.FinishClaim, all[index], "of-"+all[index], 3000))
			for len(objects) < 2 && dying.writer.Waiting() > 0 {
				if len(dying.calls) > 0 {
					call := dying.next()
					answer := dying.do(call)
					if len(objects) == 2 && lost {
						answer = Answer{Result: Lost}
					}
					if len(objects) < 2 || lost {
						dying.writer.Answered(dying.now, call.Bucket, answer)
					}
					continue
				}
				dying.now = dying.now.Add(time.Second / 2)
				dying.writer.Fired(dying.now, 3)
			}
		}
		// The writer that sealed ends here, or reads back; the heir goes on.
		if lost {
			dying.settle()
		}
		heir.now = dying.now.Add(time.Second)
		for _, key := range all[:index] {
			heir.writer.Submit(heir.now, operation(messenger.TakeClaim, key, "again-"+key, 0))
			heir.settle()
			verdict := heir.told(definer.RequestID("again-" + key))
			last := key == all[index-1] && !lost
			assert.Check(t, verdict == messenger.ClaimReplay || last && verdict == messenger.ClaimInUse, "%s: %s", key, verdict)
		}
		heir.run(all[index], 3000)
		heir.run(all[index+1], 0)
		assert.Equal(t, len(objects), 2)
		head, err := decode[head](objects[headName(3)].Value)
		assert.NilError(t, err)
		assert.Equal(t, head.Next, 1)
	}
}

func TestFullBucket(t *testing.T) {
	bench := newBench(make(map[string]Answer))
	all := keys(1401)
	last := messenger.ClaimGranted
	for index := 0; index < 1400 && last == messenger.ClaimGranted; index += 100 {
		for _, key := range all[index : index+100] {
			bench.writer.Submit(bench.now, operation(messenger.TakeClaim, key, key, 0))
		}
		bench.settle()
		last = bench.verdicts[definer.RequestID(all[index+99])]
	}
	assert.Equal(t, last, messenger.ClaimFull)
	assert.Check(t, len(bench.objects[headName(3)].Value) < 1<<20)
	// The end of a request makes room again once it is sealed.
	for _, key := range all[:200] {
		bench.writer.Submit(bench.now, operation(messenger.FinishClaim, key, key, 0))
	}
	bench.settle()
	bench.run(all[1400], 0)
	assert.Equal(t, bench.told(definer.RequestID("of-"+all[1400])), messenger.ClaimStored)
}

func TestSpoiltObjectClaimsNothing(t *testing.T) {
	bench := newBench(map[string]Answer{headName(3): {Result: Done, Version: 4, Value: []byte("{")}})
	bench.writer.Submit(bench.now, operation(messenger.TakeClaim, keys(1)[0], "r1", 0))
	bench.settle()
	assert.Equal(t, bench.told("r1"), messenger.ClaimAway)
	assert.Equal(t, bench.objects[headName(3)].Version, uint64(4))
}

func TestKeyHash(t *testing.T) {
	assert.Check(t, KeyHash("ab", "c") != KeyHash("a", "bc"))
	assert.Check(t, KeyHash("a", "k") != KeyHash("b", "k"))
	assert.Check(t, !strings.Contains(KeyHash("a", "secret"), "secret"))
}

func TestParseLocal(t *testing.T) {
	local := NewLocal(definer.Member{VM: "vm.1", Incarnation: 7}, time.Unix(0, 0), 1)
	issued := local.Issue(time.Unix(2, 0))
	parsed, ok := ParseLocal(issued.String())
	assert.Check(t, ok)
	assert.Equal(t, parsed, issued)
	for _, wrong := range []string{"", "local.", "local.a.1.2", "local.a.x.1.2", "local.a.1.x.2", "mine.a.1.2.3"} {
		_, ok := ParseLocal(wrong)
		assert.Check(t, !ok, "%s", wrong)
	}
}

func TestLocalTableIsBounded(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	self := definer.Member{VM: "a", Incarnation: 1}
	local := NewLocal(self, start, 1)
	claim := func(now time.Time, request string) messenger.ClaimVerdict {
		verdict, _ := local.Claim(now, local.Issue(now), operation(messenger.TakeClaim, request, request, 0), true)
		return verdict
	}
	for index := range maxLocal {
		key := fmt.Sprint(index)
		assert.Equal(t, claim(start, key), messenger.ClaimGranted)
		local.Settle(start, operation(messenger.FinishClaim, key, key, 2000))
	}
	assert.Equal(t, claim(start, "more"), messenger.ClaimFull)
	assert.Check(t, local.answerBytes <= maxLocalAnswers)
	// The oldest answers went first; that the key ran is still known.
	first, _ := local.Claim(start, local.Issue(start), operation(messenger.TakeClaim, "0", "x", 0), true)
	assert.Equal(t, first, messenger.ClaimUnkept)
	later := start.Add(localLife + time.Second)
	assert.Equal(t, claim(later, "more"), messenger.ClaimGranted)
	old := LocalKey{holder: self, number: "1"}
	verdict, _ := local.Claim(later, old, operation(messenger.TakeClaim, "0", "x", 0), true)
	assert.Equal(t, verdict, messenger.ClaimExpired)
}
