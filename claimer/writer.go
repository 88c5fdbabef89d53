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
	// Buckets is the number of buckets. Together with writeGap it bounds the rate of
	// writes independently of the rate of requests.
	Buckets = 32
	// writeGap is the mean time between the writes of a writer to a bucket under load.
	writeGap = 200 * time.Millisecond
	// writeBurst is the number of writes that may follow each other without a gap.
	writeBurst = 4
	// batchDelay is how long steps whose verdict no request waits for are collected
	// for one write.
	batchDelay = 400 * time.Millisecond
	// stepTimeout is how long a step may wait at a writer before it is dropped.
	stepTimeout = 3 * time.Second
	// maxWaiting bounds the number of steps that wait for one bucket.
	maxWaiting = 2048
	// segmentBytes is the size of the final records in a head above which they are
	// moved to a segment.
	segmentBytes = 16 << 10
	// maxSegments bounds the number of segments of a bucket.
	maxSegments = 128
	// maxHeadBytes bounds the size of a head, well below the platform's limit of one
	// megabyte for an object.
	maxHeadBytes = 256 << 10
	// maxAnswerBytes bounds the size of an answer that is stored with its claim.
	maxAnswerBytes = 4 << 10
	// failuresUntilAway is the number of failed calls in a row after which the
	// platform is taken to be unavailable.
	failuresUntilAway = 3

	firstPause           = 20 * time.Millisecond
	longestPause         = time.Second
	conflictPause        = 4 * time.Millisecond
	longestConflictPause = 200 * time.Millisecond
	maxDoublings         = 10
)

// Operation is a step in the life of a claim on a key, asked for by one request.
type Operation struct {
	messenger.ClaimAsk
	// Holder is the process that serves the request.
	Holder definer.Member
}

// Verb is the kind of a call to the platform.
type Verb string

const (
	// Read reads an object.
	Read Verb = "read"
	// Create writes an object if it does not exist yet.
	Create Verb = "create"
	// Update writes an object if it has the version given.
	Update Verb = "update"
	// Delete deletes an object if it has the version given.
	Delete Verb = "delete"
)

// Result is the outcome of a call to the platform.
type Result string

const (
	// Done is the result of a call that took effect.
	Done Result = "done"
	// Lost is the result of a call without an answer, which may have taken effect.
	Lost Result = "lost"
	// Conflict is the result of a call without effect because the object has
	// another version.
	Conflict Result = "conflict"
	// Missing is the result of a call for an object that does not exist.
	Missing Result = "missing"
	// Rejected is the result of a call that was refused and had no effect.
	Rejected Result = "rejected"
)

// Answer is the platform's answer to a call. Version and Value are those of the
// object as it is stored now, also after a conflict.
type Answer struct {
	Result  Result
	Version uint64
	Value   []byte
}

// Call is a call to the platform on behalf of a bucket.
type Call struct {
	Bucket  int
	Verb    Verb
	Name    string
	Version uint64
	Value   []byte
}

// Shell performs the effects of a Writer.
type Shell interface {
	// CallPlatform starts a call; its answer must be passed to Writer.HandleAnswer.
	CallPlatform(call Call)
	// WakeAt sets a timer that calls Writer.HandleTimer for the bucket at the time.
	WakeAt(bucket int, at time.Time)
	// Settle passes on the verdict on a step, with the stored answer if it is to be
	// replayed.
	Settle(operation Operation, verdict messenger.ClaimVerdict, answer *messenger.KeptAnswer)
	// Gone reports whether a process is known to have ended.
	Gone(member definer.Member) bool
}

// Writer batches the steps of many requests into few conditional writes. Any number
// of writers may work on the same buckets at the same time. A Writer itself is not
// safe for concurrent use.
type Writer struct {
	shell  Shell
	random *rand.Rand
	// retention is how long a final record is kept; never 0.
	retention time.Duration
	// buckets holds the buckets for which this writer got steps, by index.
	buckets map[int]*bucket
}

// Option changes one setting of a Writer.
type Option func(*Writer)

// WithSeed sets the seed of the jitter of pauses.
func WithSeed(seed uint64) Option {
	return func(writer *Writer) { writer.random = rand.New(rand.NewPCG(seed, 0)) }
}

// DefaultRetention is how long final records are kept unless SetRetention is called.
const DefaultRetention = 10 * time.Minute

// New returns a Writer without buckets, whose effects the shell performs.
func New(shell Shell, options ...Option) *Writer {
	writer := &Writer{shell: shell, retention: DefaultRetention, buckets: make(map[int]*bucket)}
	WithSeed(1)(writer)
	for _, option := range options {
		option(writer)
	}
	return writer
}

// SetRetention sets how long final records are kept; the time must be positive.
func (writer *Writer) SetRetention(retention time.Duration) { writer.retention = retention }

// BucketOf returns the index of the bucket of a key, from 0 to Buckets-1.
func BucketOf(keyHash string) int { return int(xxhash.Sum64String(keyHash) % Buckets) }

// Submit queues a step; its verdict is passed to Shell.Settle once. Submitting the
// step again while it waits has no effect.
func (writer *Writer) Submit(now time.Time, operation Operation) {
	index := BucketOf(operation.KeyHash)
	held, ok := writer.buckets[index]
	if !ok {
		held = &bucket{writer: writer, index: index, segments: make(map[int]segment), deleted: make(map[int]bool)}
		writer.buckets[index] = held
	}
	held.submit(now, operation)
}

// HandleAnswer handles the platform's answer to the outstanding call of a bucket.
func (writer *Writer) HandleAnswer(now time.Time, index int, answer Answer) {
	if held, ok := writer.buckets[index]; ok {
		held.answered(now, answer)
	}
}

// HandleTimer handles the timer of a bucket that was set by Shell.WakeAt.
func (writer *Writer) HandleTimer(now time.Time, index int) {
	if held, ok := writer.buckets[index]; ok {
		held.wakeTime = time.Time{}
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
