package definer

import (
	"encoding/hex"
	"strconv"
)

// VM is the name of an entry VM.
type VM string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a region, a group of data centres.
type Region string

// ClassName is the name of a Class.
type ClassName string

// PoolName is the name of a Pool.
type PoolName string

// UpstreamName is the name of an Upstream, which is an Engine or a Service.
type UpstreamName string

// SoftwareVersion is the version of an Upstream's software, as the upstream reports it; empty if it
// reports none. It is not the version of a model.
type SoftwareVersion string

// OrganisationName is the name of an Organisation.
type OrganisationName string

// RequestID identifies one request of a caller across the whole system.
type RequestID string

// RequestIdentity is a fingerprint of a request: a caller's attempts with equal target and
// body have equal identities, on every node and in every version of the software. It is a
// hash of RequestIdentityBytes bytes that reveals nothing about its input.
type RequestIdentity string

// StreamIdentity identifies a stream over all attempts of its caller, on every node. It is a hash of
// StreamIdentityBytes bytes, or empty for a stream that its caller does not identify.
type StreamIdentity string

// String returns the identity in hexadecimal, as logs show it.
func (identity StreamIdentity) String() string { return hex.EncodeToString([]byte(identity)) }

// StreamIdentityBytes is the length of a StreamIdentity that is not empty.
const StreamIdentityBytes = 16

// RequestIdentityBytes is the length of a RequestIdentity. Unless requests are crafted to
// collide, the chance that any two of 4 billion have equal identities is 1 in 2^64.
const RequestIdentityBytes = 16

// String returns the identity in hexadecimal, as logs and commands show it.
func (identity RequestIdentity) String() string { return hex.EncodeToString([]byte(identity)) }

// AttemptID identifies one attempt to run a request on an upstream.
type AttemptID string

// GrantID identifies one grant, the permission to use a slot of an upstream.
type GrantID string

// Incarnation distinguishes a run of a process from its earlier runs. It grows
// with each start.
type Incarnation uint64

// Member is one run of a process on a VM.
type Member struct {
	// VM is never empty.
	VM VM
	// Incarnation identifies the run.
	Incarnation Incarnation
}

// Outcome is what a caller learns about whether its request ran on an upstream.
type Outcome string

const (
	// NotRun guarantees that no part of the request ran on any upstream.
	NotRun Outcome = "notRun"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran.
	Ran Outcome = "ran"
)

// UpstreamStart identifies one run of an upstream. State known of an earlier run does not
// apply to a later one.
type UpstreamStart struct {
	Upstream UpstreamName
	// Incarnation grows with each start; 0 means unknown and orders before all others.
	Incarnation Incarnation
}

// String returns the name of the upstream, followed by # and the incarnation if it is known.
func (start UpstreamStart) String() string {
	if start.Incarnation == 0 {
		return string(start.Upstream)
	}
	return string(start.Upstream) + "#" + strconv.FormatUint(uint64(start.Incarnation), 10)
}
