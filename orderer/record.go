package orderer

import (
	"encoding/json"

	"limpetcleat/definer"
)

// record is the value of a lease object. Its fields are exported for the codec.
type record struct {
	// VM and Incarnation name the holder; an empty VM holds nothing.
	VM          definer.VM          `json:"vm"`
	Incarnation definer.Incarnation `json:"incarnation"`
	// Write tells one holder's writes apart; it grows with each.
	Write uint64 `json:"write"`
	// DurationMs is how long the lease lasts after this write.
	DurationMs int64 `json:"durationMs"`
	// Configuration is the newest version that any holder has worked by.
	Configuration uint64 `json:"configuration"`
}

// holder returns the process that the record names.
func (record record) holder() definer.Member {
	return definer.Member{VM: record.VM, Incarnation: record.Incarnation}
}

func (record record) encode() []byte {
	data, err := json.Marshal(record)
	if err != nil {
		return nil
	}
	return data
}

func decode(data []byte) (record, error) {
	var decoded record
	if err := json.Unmarshal(data, &decoded); err != nil {
		return record{}, fail("decode", Malformed, "%w", err)
	}
	return decoded, nil
}
