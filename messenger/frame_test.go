package messenger_test

import (
	"errors"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
)

func TestUnwrapWantsOneMessage(t *testing.T) {
	cases := []struct {
		name  string
		frame messenger.Frame
		whole bool
	}{
		{"none", messenger.Frame{}, false},
		{"two", messenger.Frame{Heartbeat: &messenger.Heartbeat{}, CallAnswer: &messenger.CallAnswer{}}, false},
		{"one", messenger.Frame{CallAnswer: &messenger.CallAnswer{}}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := messenger.Unwrap(test.frame)
			var failure *messenger.Error
			assert.Equal(t, err == nil, test.whole)
			assert.Equal(t, errors.As(err, &failure) && failure.Kind() == messenger.Malformed, !test.whole)
		})
	}
}

// TestUnwrapKnowsEveryField sets each field of a frame alone: Unwrap must return its
// message, and Wrap of that message must set the field again. It guards against a
// new field that Unwrap leaves out.
func TestUnwrapKnowsEveryField(t *testing.T) {
	fields := reflect.TypeFor[messenger.Frame]()
	for index := range fields.NumField() {
		t.Run(fields.Field(index).Name, func(t *testing.T) {
			var frame messenger.Frame
			reflect.ValueOf(&frame).Elem().Field(index).Set(reflect.New(fields.Field(index).Type.Elem()))
			message, err := messenger.Unwrap(frame)
			assert.NilError(t, err)
			assert.DeepEqual(t, messenger.Wrap(message), frame)
		})
	}
}
