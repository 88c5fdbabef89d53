package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// Buckets is the number of buckets. With the gap between writes it bounds
	// the rate of writes, whatever the rate of requests.
	Buckets = 32
	// writeGap is the mean time between a writer's writes to one bucket.
	writeGap = 200 * time.Millisecond
	// writeBurst is the number of writes that may follow each other at once.
	writeBurst = 4
	// lazyWait is how long steps that nobody waits for gather.
	lazyWait = 400 * time.Millisecond
	// stepLife is how long a step may wait at a writer.
	stepLife = 3 * time.Second
	// maxWaiting bounds the steps that wait for one bucket.
	maxWaiting = 2048
	// segmentBytes is the size of final records at which they are sealed.
	segmentBytes = 16 << 10
	// maxSegments bounds the segments of a bucket.
	maxSegments = 128
	// maxHeadBytes bounds the head well below the platform's megabyte.
	maxHeadBytes = 256 << 10
	// maxAnswerBytes bounds the answer that is kept with a claim.
	maxAnswerBytes = 4 << 10
	// failuresTillAway is after how many calls the platform counts as away.
	failuresTillAway = 3

	firstPause           = 20 * time.Millisecond
	longestPause         = time.Second
	conflictPause        = 4 * time.Millisecond
	longestConflictPause = 200 * time.Millisecond
	maxDoublings         = 10
)

// Operation is one step to be taken with the claim on a key.
type Operation struct {
	messenger.ClaimAsk
	// Holder is the process whose request it is.
	Holder definer.Member
}

// Verb tells what a call to the platform does.
type Verb string

const (
	// Read reads an object.
	Read Verb = "read"
	// Create writes an object that must not exist yet.
	Create Verb = "create"
	// Update writes an object that must have the named version.
	Update Verb = "update"
	// Delete deletes an object that must have the named version.
	Delete Verb = "delete"
)

// Result tells what became of a call to the platform.
type Result string

const (
	// Done calls took effect.
	Done Result = "done"
	// Lost calls may have taken effect.
	Lost Result = "lost"
	// Conflict calls met another version than they named.
	Conflict Result = "conflict"
	// Missing calls found no object.
	Missing Result = "missing"
	// Rejected calls had no effect.
	Rejected Result = "rejected"
)

// Answer is the platform's answer to a call. Version and Value are those of
// the object as it stands, also after a conflict.
type Answer struct {
	Result  Result
	Version uint64
	Value   []byte
}

// Call is a call to the platform that is wanted for a bucket.
type Call struct {
	Bucket  int
	Verb    Verb
	Name    string
	Version uint64
	Value   []byte
}

// Shell is what a writer needs done.
type Shell interface {
	// CallPlatform makes a call; its answer goes to Writer.Answered.
	CallPlatform(call Call)
	// WakeAt wants Writer.Fired for the bucket at the time.
	WakeAt(bucket int, at time.Time)
	// Settle tells the verdict on a step.
	Settle(operation Operation, verdict messenger.ClaimVerdict, answer *messenger.KeptAnswer)
	// Gone tells whether a process is known to have ended.
	Gone(member definer.Member) bool
}

// Writer groups steps of many requests into few conditional writes. Any number
// of writers may work on the same buckets.
type Writer struct {
	shell  Shell
	random *rand.Rand
	// keep is how long a final record is remembered; never 0.
	keep time.Duration
	// buckets holds those in use by this writer.
	buckets map[int]*bucket
}

// Option changes one setting of a Writer.
type Option func(*Writer)

// WithSeed sets the seed of the pauses' jitter.
func WithSeed(seed uint64) Option {
	return func(writer *Writer) { writer.random = rand.New(rand.NewPCG(seed, 0)) }
}

// DefaultKeep is how long final records are remembered if nothing is set.
const DefaultKeep = 10 * time.Minute

// New returns a writer that knows of no bucket yet.
func New(shell Shell, options ...Option) *Writer {
	writer := &Writer{shell: shell, keep: DefaultKeep, buckets: make(map[int]*bucket)}
	WithSeed(1)(writer)
	for _, option := range options {
		option(writer)
	}
	return writer
}

// SetKeep sets how long final records are remembered.
func (writer *Writer) SetKeep(keep time.Duration) { writer.keep = keep }

// BucketOf returns the bucket of a key.
func BucketOf(keyHash string) int { return int(xxhash.Sum64String(keyHash) % Buckets) }

// Submit takes in a step; Settle tells its verdict once. The same step may be
// submitted again while it waits.
func (writer *Writer) Submit(now time.Time, operation Operation) {
	index := BucketOf(operation.KeyHash)
	held, ok := writer.buckets[index]
	if !ok {
		held = &bucket{writer: writer, index: index, segments: make(map[int]segment), dropped: make(map[int]bool)}
		writer.buckets[index] = held
	}
	held.submit(now, operation)
}

// Answered takes in the platform's answer to the bucket's one call.
func (writer *Writer) Answered(now time.Time, index int, answer Answer) {
	if held, ok := writer.buckets[index]; ok {
		held.answered(now, answer)
	}
}

// Fired tells that a bucket's time has come.
func (writer *Writer) Fired(now time.Time, index int) {
	if held, ok := writer.buckets[index]; ok {
		held.wake = time.Time{}
		held.advance(now)
	}
}

// Waiting returns the number of steps that have no verdict yet.
func (writer *Writer) Waiting() int {
	count := 0
	for _, bucket := range writer.buckets {
		count += len(bucket.waiting)
	}
	return count
}

func headName(bucket int) string { return fmt.Sprintf("%02d", bucket) }

func segmentName(bucket, number int) string { return fmt.Sprintf("%02d-%d", bucket, number) }
