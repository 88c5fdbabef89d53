package loader

import (
	"net/netip"
	"time"

	"limpetcleat/definer"
)

// Settings are the validated settings of one node. They are immutable.
type Settings struct {
	node       Node
	callers    Callers
	operators  Operators
	inner      Inner
	platform   Platform
	peers      []Peer
	drain      Drain
	dispatch   Dispatch
	scheduling Policy
	log        Log
}

// Node returns the name and the data centre of this node.
func (settings *Settings) Node() *Node { return &settings.node }

// Callers returns the settings for serving callers.
func (settings *Settings) Callers() *Callers { return &settings.callers }

// Operators returns the settings for serving operators.
func (settings *Settings) Operators() *Operators { return &settings.operators }

// Inner returns the settings of the inner protocol, which the nodes use among each other.
func (settings *Settings) Inner() *Inner { return &settings.inner }

// Platform returns the settings for calls to the platform.
func (settings *Settings) Platform() *Platform { return &settings.platform }

// Peers returns the VMs to contact before the platform's list has been read.
func (settings *Settings) Peers() []Peer { return settings.peers }

// Drain returns the settings of a planned stop.
func (settings *Settings) Drain() *Drain { return &settings.drain }

// Dispatch returns the settings for calls to upstreams.
func (settings *Settings) Dispatch() *Dispatch { return &settings.dispatch }

// Policy returns the scheduling policy.
func (settings *Settings) Policy() Policy { return settings.scheduling }

// Log returns the settings of the log.
func (settings *Settings) Log() *Log { return &settings.log }

// Node is the section [node].
type Node struct {
	name       definer.VM
	dataCentre definer.DataCentre
}

// Name returns the name of the VM.
func (node *Node) Name() definer.VM { return node.name }

// DataCentre returns the data centre of the VM.
func (node *Node) DataCentre() definer.DataCentre { return node.dataCentre }

// Callers is the section [callers].
type Callers struct {
	listen            netip.AddrPort
	maxBodyBytes      int
	maxHeaderBytes    int
	readHeaderTimeout time.Duration
	bodyTimeout       time.Duration
	idleTimeout       time.Duration
	maxConnections    int
	// tlsCertificate and tlsKey are both empty or both set.
	tlsCertificate string
	tlsKey         string
}

// Listen returns the address that callers connect to.
func (callers *Callers) Listen() netip.AddrPort { return callers.listen }

// MaxBodyBytes returns the maximum size of a request's body.
func (callers *Callers) MaxBodyBytes() int { return callers.maxBodyBytes }

// MaxHeaderBytes returns the maximum size of a request's headers.
func (callers *Callers) MaxHeaderBytes() int { return callers.maxHeaderBytes }

// ReadHeaderTimeout returns the maximum time to read the headers.
func (callers *Callers) ReadHeaderTimeout() time.Duration { return callers.readHeaderTimeout }

// BodyTimeout returns the maximum time to read the body.
func (callers *Callers) BodyTimeout() time.Duration { return callers.bodyTimeout }

// IdleTimeout returns the time after which an idle connection is closed.
func (callers *Callers) IdleTimeout() time.Duration { return callers.idleTimeout }

// MaxConnections returns the maximum number of open connections.
func (callers *Callers) MaxConnections() int { return callers.maxConnections }

// TLSCertificate returns the path of the certificate's file; empty means plain HTTP.
func (callers *Callers) TLSCertificate() string { return callers.tlsCertificate }

// TLSKey returns the path of the private key's file; empty means plain HTTP.
func (callers *Callers) TLSKey() string { return callers.tlsKey }

// Operators is the section [operators].
type Operators struct {
	listen netip.AddrPort
	// secret is never empty.
	secret Secret
}

// Listen returns the address that operators connect to.
func (operators *Operators) Listen() netip.AddrPort { return operators.listen }

// Token returns the token that operators present.
func (operators *Operators) Token() Secret { return operators.secret }

// Inner is the section [inner].
type Inner struct {
	listen netip.AddrPort
	// address is never the unspecified address.
	address        netip.AddrPort
	tlsCertificate string
	tlsKey         string
	tlsAuthority   string
	plain          bool
	plainAnywhere  bool
}

// Listen returns the address on which this node accepts connections of peers.
func (inner *Inner) Listen() netip.AddrPort { return inner.listen }

// Address returns the address at which peers reach this node.
func (inner *Inner) Address() netip.AddrPort { return inner.address }

// TLSCertificate returns the path of the file with this node's certificate; empty means no TLS.
func (inner *Inner) TLSCertificate() string { return inner.tlsCertificate }

// TLSKey returns the path of the file with this node's private key; empty means no TLS.
func (inner *Inner) TLSKey() string { return inner.tlsKey }

// TLSAuthority returns the path of the file with the certificates of the authority that must have
// signed the peers' certificates; empty means no TLS.
func (inner *Inner) TLSAuthority() string { return inner.tlsAuthority }

// Plain reports whether the inner protocol runs without TLS.
func (inner *Inner) Plain() bool { return inner.plain }

// Exposed reports whether the inner protocol runs without TLS beyond loopback. The node must log
// this.
func (inner *Inner) Exposed() bool {
	loopback := inner.listen.Addr().IsLoopback() && inner.address.Addr().IsLoopback()
	return inner.plain && !loopback
}

// Platform is the section [platform].
type Platform struct {
	// addresses contains at least one URL; the host of each is an IP address.
	addresses []string
	secret    Secret
	timeout   time.Duration
}

// Addresses returns the base URLs of the platform, which are tried in turn.
func (platform *Platform) Addresses() []string { return platform.addresses }

// Token returns the token presented to the platform; it may be empty.
func (platform *Platform) Token() Secret { return platform.secret }

// Timeout returns the maximum duration of one call to the platform.
func (platform *Platform) Timeout() time.Duration { return platform.timeout }

// Peer is a VM to contact before the platform's list has been read.
type Peer struct {
	name       definer.VM
	dataCentre definer.DataCentre
	address    netip.AddrPort
}

// Name returns the name of the VM.
func (peer Peer) Name() definer.VM { return peer.name }

// DataCentre returns the data centre of the VM.
func (peer Peer) DataCentre() definer.DataCentre { return peer.dataCentre }

// Address returns the address of the VM's inner protocol.
func (peer Peer) Address() netip.AddrPort { return peer.address }

// Drain is the section [drain].
type Drain struct {
	balancerDelay time.Duration
	timeout       time.Duration
}

// BalancerDelay returns how long the node reports that it is not ready before a planned stop
// refuses new requests.
func (drain *Drain) BalancerDelay() time.Duration { return drain.balancerDelay }

// Timeout returns the maximum time to wait for requests in flight.
func (drain *Drain) Timeout() time.Duration { return drain.timeout }

// Dispatch is the section [dispatch].
type Dispatch struct {
	firstByteTimeout          time.Duration
	stallTimeout              time.Duration
	longestBackoff            time.Duration
	maxPerUpstreamConnections int
}

// FirstByteTimeout returns the maximum time until the first byte of an upstream's response.
func (dispatch *Dispatch) FirstByteTimeout() time.Duration { return dispatch.firstByteTimeout }

// StallTimeout returns the maximum pause within an upstream's response.
func (dispatch *Dispatch) StallTimeout() time.Duration { return dispatch.stallTimeout }

// LongestBackoff returns the maximum time for which an upstream may request a backoff.
func (dispatch *Dispatch) LongestBackoff() time.Duration { return dispatch.longestBackoff }

// MaxPerUpstreamConnections returns the maximum number of connections to one upstream.
func (dispatch *Dispatch) MaxPerUpstreamConnections() int { return dispatch.maxPerUpstreamConnections }

// Policy names a scheduling policy.
type Policy string

const (
	// ServiceLevels observes tiers, floors and targets; it is the default.
	ServiceLevels Policy = "serviceLevels"
	// StrictTiers orders requests by tier alone, as a baseline for measurements.
	StrictTiers Policy = "strictTiers"
	// FirstCome orders requests by arrival alone, as a baseline for measurements.
	FirstCome Policy = "firstCome"
)

// Level is the minimum severity of the events that are logged.
type Level string

// The levels, from least to most severe.
const (
	Debug   Level = "debug"
	Info    Level = "info"
	Warning Level = "warn"
	Failure Level = "error"
)

// Format is the encoding of log lines.
type Format string

const (
	// Logfmt writes name=value pairs.
	Logfmt Format = "logfmt"
	// JSON writes one JSON object per line.
	JSON Format = "json"
)

// Log is the section [log].
type Log struct {
	level  Level
	format Format
}

// Level returns the minimum severity of the events that are logged.
func (log *Log) Level() Level { return log.level }

// Format returns the encoding of log lines.
func (log *Log) Format() Format { return log.format }
