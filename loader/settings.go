package loader

import (
	"net/netip"
	"time"

	"limpetcleat/definer"
)

// Settings are the checked settings of one node. They never change once read.
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

// Node returns what this process is.
func (settings *Settings) Node() *Node { return &settings.node }

// Callers returns how callers are served.
func (settings *Settings) Callers() *Callers { return &settings.callers }

// Operators returns how operators are served.
func (settings *Settings) Operators() *Operators { return &settings.operators }

// Inner returns how peers talk to this node.
func (settings *Settings) Inner() *Inner { return &settings.inner }

// Platform returns how the platform is reached.
func (settings *Settings) Platform() *Platform { return &settings.platform }

// Peers returns the VMs known before the platform's list can be read.
func (settings *Settings) Peers() []Peer { return settings.peers }

// Drain returns how a planned stop goes.
func (settings *Settings) Drain() *Drain { return &settings.drain }

// Dispatch returns how upstreams are called.
func (settings *Settings) Dispatch() *Dispatch { return &settings.dispatch }

// Policy returns the scheduling policy.
func (settings *Settings) Policy() Policy { return settings.scheduling }

// Log returns what is logged and how.
func (settings *Settings) Log() *Log { return &settings.log }

// Node is the section [node].
type Node struct {
	name       definer.VM
	dataCentre definer.DataCentre
}

// Name returns the name of the VM.
func (node *Node) Name() definer.VM { return node.name }

// DataCentre returns where the VM runs.
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

// Listen returns the address for callers.
func (callers *Callers) Listen() netip.AddrPort { return callers.listen }

// MaxBodyBytes returns the bound on a request's body.
func (callers *Callers) MaxBodyBytes() int { return callers.maxBodyBytes }

// MaxHeaderBytes returns the bound on a request's headers.
func (callers *Callers) MaxHeaderBytes() int { return callers.maxHeaderBytes }

// ReadHeaderTimeout returns the bound on the time to read the headers.
func (callers *Callers) ReadHeaderTimeout() time.Duration { return callers.readHeaderTimeout }

// BodyTimeout returns the bound on the time to read the body.
func (callers *Callers) BodyTimeout() time.Duration { return callers.bodyTimeout }

// IdleTimeout returns how long an unused connection stays open.
func (callers *Callers) IdleTimeout() time.Duration { return callers.idleTimeout }

// MaxConnections returns the bound on open connections.
func (callers *Callers) MaxConnections() int { return callers.maxConnections }

// TLSCertificate returns the certificate's file; empty means plain HTTP.
func (callers *Callers) TLSCertificate() string { return callers.tlsCertificate }

// TLSKey returns the private key's file; empty means plain HTTP.
func (callers *Callers) TLSKey() string { return callers.tlsKey }

// Operators is the section [operators].
type Operators struct {
	listen netip.AddrPort
	// secret is never empty.
	secret Secret
}

// Listen returns the address for operators.
func (operators *Operators) Listen() netip.AddrPort { return operators.listen }

// Token returns the secret that operators present.
func (operators *Operators) Token() Secret { return operators.secret }

// Inner is the section [inner].
type Inner struct {
	listen netip.AddrPort
	// address names one IP address, never the unspecified one.
	address        netip.AddrPort
	tlsCertificate string
	tlsKey         string
	tlsAuthority   string
	plain          bool
	plainAnywhere  bool
}

// Listen returns the address for peers.
func (inner *Inner) Listen() netip.AddrPort { return inner.listen }

// Address returns where peers reach this node.
func (inner *Inner) Address() netip.AddrPort { return inner.address }

// TLSCertificate returns the file of this node's certificate.
func (inner *Inner) TLSCertificate() string { return inner.tlsCertificate }

// TLSKey returns the file of this node's private key.
func (inner *Inner) TLSKey() string { return inner.tlsKey }

// TLSAuthority returns the file of the certificates that peers must be signed by.
func (inner *Inner) TLSAuthority() string { return inner.tlsAuthority }

// Plain tells whether the inner protocol goes without TLS.
func (inner *Inner) Plain() bool { return inner.plain }

// Exposed tells whether the inner protocol goes without TLS beyond loopback,
// which the node has to log.
func (inner *Inner) Exposed() bool {
	loopback := inner.listen.Addr().IsLoopback() && inner.address.Addr().IsLoopback()
	return inner.plain && !loopback
}

// Platform is the section [platform].
type Platform struct {
	// addresses holds at least one URL whose host is an IP address.
	addresses []string
	secret    Secret
	timeout   time.Duration
}

// Addresses returns the base URLs of the platform, to be tried in turn.
func (platform *Platform) Addresses() []string { return platform.addresses }

// Token returns the secret presented to the platform; it may be empty.
func (platform *Platform) Token() Secret { return platform.secret }

// Timeout returns the bound on one call to the platform.
func (platform *Platform) Timeout() time.Duration { return platform.timeout }

// Peer is one VM known before the platform's list can be read.
type Peer struct {
	name       definer.VM
	dataCentre definer.DataCentre
	address    netip.AddrPort
}

// Name returns the name of the VM.
func (peer Peer) Name() definer.VM { return peer.name }

// DataCentre returns where the VM runs.
func (peer Peer) DataCentre() definer.DataCentre { return peer.dataCentre }

// Address returns where the VM's inner protocol is reached.
func (peer Peer) Address() netip.AddrPort { return peer.address }

// Drain is the section [drain].
type Drain struct {
	balancerDelay time.Duration
	timeout       time.Duration
}

// BalancerDelay returns how long readiness fails before the stop begins.
func (drain *Drain) BalancerDelay() time.Duration { return drain.balancerDelay }

// Timeout returns the bound on the wait for requests in flight.
func (drain *Drain) Timeout() time.Duration { return drain.timeout }

// Dispatch is the section [dispatch].
type Dispatch struct {
	firstByteTimeout          time.Duration
	stallTimeout              time.Duration
	longestBackoff            time.Duration
	maxPerUpstreamConnections int
}

// FirstByteTimeout returns the bound on the wait for an upstream's first byte.
func (dispatch *Dispatch) FirstByteTimeout() time.Duration { return dispatch.firstByteTimeout }

// StallTimeout returns the bound on a pause within an upstream's answer.
func (dispatch *Dispatch) StallTimeout() time.Duration { return dispatch.stallTimeout }

// LongestBackoff returns the bound on how long an upstream may ask not to be sent anything.
func (dispatch *Dispatch) LongestBackoff() time.Duration { return dispatch.longestBackoff }

// MaxPerUpstreamConnections returns the bound on connections to one upstream.
func (dispatch *Dispatch) MaxPerUpstreamConnections() int { return dispatch.maxPerUpstreamConnections }

// Policy names a scheduling policy.
type Policy string

const (
	// ServiceLevels keeps tiers, floors and targets; it is the default.
	ServiceLevels Policy = "serviceLevels"
	// StrictTiers serves by tier alone, as a base line for measurements.
	StrictTiers Policy = "strictTiers"
	// FirstCome serves by arrival alone, as a base line for measurements.
	FirstCome Policy = "firstCome"
)

// Level is the least severity that is logged.
type Level string

// The levels of the log, from most to fewest lines.
const (
	Debug   Level = "debug"
	Info    Level = "info"
	Warning Level = "warn"
	Failure Level = "error"
)

// Format is the form of a log line.
type Format string

const (
	// Logfmt writes name=value pairs.
	Logfmt Format = "logfmt"
	// JSON writes one object a line.
	JSON Format = "json"
)

// Log is the section [log].
type Log struct {
	level  Level
	format Format
}

// Level returns the least severity that is logged.
func (log *Log) Level() Level { return log.level }

// Format returns the form of a log line.
func (log *Log) Format() Format { return log.format }
