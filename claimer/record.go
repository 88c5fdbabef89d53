package claimer

import (
	"encoding/json"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// state tells how far a claim has come.
type state string

const (
	// claimed records belong to a request that may be running.
	claimed state = "claimed"
	// finished records belong to a request that ran.
	finished state = "finished"
	// unknown records belong to a request that may have run.
	unknown state = "unknown"
)

// record is one claim in its stored form.
type record struct {
	Key         string                `json:"key"`
	Body        string                `json:"body"`
	Request     definer.RequestID     `json:"request"`
	VM          definer.VM            `json:"vm"`
	Incarnation definer.Incarnation   `json:"incarnation"`
	State       state                 `json:"state"`
	At          int64                 `json:"at"`
	Answer      *messenger.KeptAnswer `json:"answer,omitempty"`
}

// recordBytes is about what a record without its answer takes.
const recordBytes = 240

func (record *record) holder() definer.Member {
	return definer.Member{VM: record.VM, Incarnation: record.Incarnation}
}

func (record *record) final() bool { return record.State != claimed }

// heldBy tells whether the record was put there by that request.
func (record *record) heldBy(operation Operation) bool {
	return record.Request == operation.Request && record.holder() == operation.Holder
}

// age is counted from the record's last change.
func (record *record) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(record.At))
}

func (record *record) expired(now time.Time, keep time.Duration) bool {
	return record.final() && record.age(now) > keep
}

// size is about the number of bytes that the record takes when stored.
func (record *record) size() int { return recordBytes + answerSize(record.Answer)*4/3 }

// answerSize returns the bytes of an answer before they are encoded.
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

// Keepable returns the answer if it is small enough to be kept, or nil.
func Keepable(answer *messenger.KeptAnswer) *messenger.KeptAnswer {
	if answerSize(answer) > maxAnswerBytes {
		return nil
	}
	return answer
}

// segment is an object of final records; once created it never changes.
type segment struct {
	Records []record `json:"records"`
}

// listed is how the head names a segment.
type listed struct {
	Number  int    `json:"number"`
	Version uint64 `json:"version"`
	// Newest is the last change of the segment's records, in milliseconds.
	Newest int64 `json:"newest"`
}

func (listed listed) expired(now time.Time, keep time.Duration) bool {
	return now.Sub(time.UnixMilli(listed.Newest)) > keep
}

// head is a bucket's one object that changes. It holds every record that is
// not final, the final ones that are in no segment yet, and the segments.
type head struct {
	Next     int      `json:"next"`
	Segments []listed `json:"segments,omitempty"`
	Records  []record `json:"records,omitempty"`
}

// clone returns a head whose lists can be changed.
func (head head) clone() head {
	head.Segments = slices.Clone(head.Segments)
	head.Records = slices.Clone(head.Records)
	return head
}

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

// finals returns the final records and about how many bytes they take.
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
