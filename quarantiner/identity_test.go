package quarantiner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/quarantiner"
)

func subject() quarantiner.RequestParts {
	return quarantiner.RequestParts{Organisation: "guild", Method: "POST", Host: "h.example", Target: "/a/b?c=d", Body: []byte("text")}
}

// TestIdentityIsSharedByAllVersions compares the identity of one request with a fixed value:
// nodes of two versions that run side by side must compute the same identity.
func TestIdentityIsSharedByAllVersions(t *testing.T) {
	fixed := subject()
	assert.Equal(t, quarantiner.Identify(&fixed).String(), "b6395a5b60074526d23dd6487c4a3336")
}

// TestIdentityTellsRequestsApart checks which changes of a request change its identity.
func TestIdentityTellsRequestsApart(t *testing.T) {
	cases := []struct {
		name   string
		change func(subject *quarantiner.RequestParts)
		same   bool
	}{
		{"nothing", func(*quarantiner.RequestParts) {}, true},
		{"the spelling of the host", func(subject *quarantiner.RequestParts) { subject.Host = "H.Example" }, true},
		{"the organisation", func(subject *quarantiner.RequestParts) { subject.Organisation = "other" }, false},
		{"the method", func(subject *quarantiner.RequestParts) { subject.Method = "PUT" }, false},
		{"the host", func(subject *quarantiner.RequestParts) { subject.Host = "i.example" }, false},
		{"the query", func(subject *quarantiner.RequestParts) { subject.Target = "/a/b?c=e" }, false},
		{"the body", func(subject *quarantiner.RequestParts) { subject.Body = []byte("texts") }, false},
		{"a byte moved from body to target", func(subject *quarantiner.RequestParts) {
			subject.Target, subject.Body = "/a/b?c=dt", []byte("ext")
		}, false},
		{"an organisation whose name goes on in the method", func(subject *quarantiner.RequestParts) {
			subject.Organisation, subject.Method = "guildPO", "ST"
		}, false},
	}
	original := subject()
	want := quarantiner.Identify(&original)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			changed := subject()
			test.change(&changed)
			got := quarantiner.Identify(&changed)
			assert.Equal(t, len(got), definer.RequestIdentityBytes)
			assert.Equal(t, got == want, test.same)
		})
	}
}

func BenchmarkIdentify(bench *testing.B) {
	asked := subject()
	asked.Body = make([]byte, 4<<10)
	bench.SetBytes(int64(len(asked.Body)))
	for bench.Loop() {
		quarantiner.Identify(&asked)
	}
}
