package definer

import (
	"encoding/hex"
	"strconv"
)

// VM names one entry VM of the system.
type VM string

// DataCentre names one data centre.
type DataCentre string

// ClassName names one class of request.
type ClassName string

// PoolName names one pool of upstreams.
type PoolName string

// UpstreamName names one upstream, an Engine or a Service.
type UpstreamName string

// OrganisationName names one organisation.
type OrganisationName string

// RequestID identifies one caller's request in the whole system.
type RequestID string

// RequestIdentity names what a request asks for: attempts of the same caller with the same
// target and body have the same one, at every node and in every version. It is a hash of
// RequestIdentityBytes bytes and tells nothing of what went into it.
type RequestIdentity string

// RequestIdentityBytes is the length of a RequestIdentity. Two requests that nobody has
// chosen for it share one with a chance of 1 in 2^64 among 4 billion.
const RequestIdentityBytes = 16

// String returns the identity as logs and commands have it.
func (identity RequestIdentity) String() string { return hex.EncodeToString([]byte(identity)) }

// AttemptID identifies one attempt to run a request on an upstream.
type AttemptID string

// GrantID identifies one permission to use a slot of an upstream.
type GrantID string

// Incarnation tells one run of a process on a VM from its earlier runs.
// It grows with each start.
type Incarnation uint64

// Member is one run of a process on a VM.
type Member struct {
	// VM is never empty.
	VM VM
	// Incarnation is that of the process's current run.
	Incarnation Incarnation
}

// Outcome tells a caller whether its request ran on an upstream.
type Outcome string

const (
	// NotRun promises that no part of the request ran on any upstream.
	NotRun Outcome = "notRun"
	// Unknown says that the request may or may not have run.
	Unknown Outcome = "unknown"
	// Ran says that the request ran.
	Ran Outcome = "ran"
)

// UpstreamStart is one start of an upstream under its name: what was true of an earlier
// one is not of it.
type UpstreamStart struct {
	Upstream UpstreamName
	// Incarnation grows with each start; 0 is unknown, and before all others.
	Incarnation Incarnation
}

// String returns the name, with the number of the start behind a # where it is known.
func (start UpstreamStart) String() string {
	if start.Incarnation == 0 {
		return string(start.Upstream)
	}
	return string(start.Upstream) + "#" + strconv.FormatUint(uint64(start.Incarnation), 10)
}
