package claimer

import (
	"encoding/json"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// claimState tells how far a claim has come.
type claimState string

const (
	// claimed is the state while the request may be running.
	claimed claimState = "claimed"
	// finished is the state after the request ran.
	finished claimState = "finished"
	// unknown is the state when the request may or may not have run.
	unknown claimState = "unknown"
)

// record is a claim as it is stored.
type record struct {
	Key         string                `json:"key"`
	Body        string                `json:"body"`
	Request     definer.RequestID     `json:"request"`
	VM          definer.VM            `json:"vm"`
	Incarnation definer.Incarnation   `json:"incarnation"`
	State       claimState            `json:"state"`
	At          int64                 `json:"at"`
	Answer      *messenger.KeptAnswer `json:"answer,omitempty"`
}

// recordBytes is the approximate stored size of a record without its answer.
const recordBytes = 240

func (record *record) holder() definer.Member {
	return definer.Member{VM: record.VM, Incarnation: record.Incarnation}
}

// final reports whether the request is no longer taken to be running.
func (record *record) final() bool { return record.State != claimed }

// heldBy reports whether the record was stored by the request of the operation.
func (record *record) heldBy(operation Operation) bool {
	return record.Request == operation.Request && record.holder() == operation.Holder
}

// age returns the time since the last change of the record.
func (record *record) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(record.At))
}

// expired reports whether the record is final and older than the retention.
func (record *record) expired(now time.Time, retention time.Duration) bool {
	return record.final() && record.age(now) > retention
}

// size returns the approximate stored size of the record in bytes. Base64 makes the
// answer 4/3 as large.
func (record *record) size() int { return recordBytes + answerSize(record.Answer)*4/3 }

// answerSize returns the size of an answer in bytes before it is encoded.
func answerSize(answer *messenger.KeptAnswer) int {
	if answer == nil {
		return 0
	}
	size := len(answer.Body)
	for name, values := range answer.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// StorableAnswer returns the answer if it is small enough to be stored with its claim, at
// most maxAnswerBytes, and nil otherwise.
func StorableAnswer(answer *messenger.KeptAnswer) *messenger.KeptAnswer {
	if answerSize(answer) > maxAnswerBytes {
		return nil
	}
	return answer
}

// segment is an object with final records. It is immutable once created.
type segment struct {
	Records []record `json:"records"`
}

// listedSegment is the entry of a segment in the head of its bucket.
type listedSegment struct {
	Number  int    `json:"number"`
	Version uint64 `json:"version"`
	// Newest is the time of the last change of any record of the segment, in
	// milliseconds since the Unix epoch.
	Newest int64 `json:"newest"`
}

// expired reports whether all records of the segment are older than the retention.
func (listedSegment listedSegment) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(time.UnixMilli(listedSegment.Newest)) > retention
}

// head is the only mutable object of a bucket. It holds the records that are not
// final, the final records that are in no segment yet, and the list of segments.
type head struct {
	Next     int             `json:"next"`
	Segments []listedSegment `json:"segments,omitempty"`
	Records  []record        `json:"records,omitempty"`
}

// clone returns a copy with lists of its own.
func (head head) clone() head {
	head.Segments = slices.Clone(head.Segments)
	head.Records = slices.Clone(head.Records)
	return head
}

// find returns the record of the key, or nil.
func (head *head) find(key string) *record {
	for index := range head.Records {
		if head.Records[index].Key == key {
			return &head.Records[index]
		}
	}
	return nil
}

func (head *head) remove(key string) {
	head.Records = slices.DeleteFunc(head.Records, func(record record) bool { return record.Key == key })
}

// finals returns the final records and their approximate stored size in bytes.
func (head *head) finals() ([]record, int) {
	var records []record
	size := 0
	for _, record := range head.Records {
		if record.final() {
			records = append(records, record)
			size += record.size()
		}
	}
	return records, size
}

// size returns the approximate stored size of all records in bytes.
func (head *head) size() int {
	size := 0
	for index := range head.Records {
		size += head.Records[index].size()
	}
	return size
}

func decode[Form any](data []byte) (Form, error) {
	var form Form
	if err := json.Unmarshal(data, &form); err != nil {
		return form, fail("decode", Malformed, "%w", err)
	}
	return form, nil
}

func encode(form any) ([]byte, error) {
	data, err := json.Marshal(form)
	if err != nil {
		return nil, fail("encode", Malformed, "%w", err)
	}
	return data, nil
}
