// Package announcer holds what upstreams have announced of how they want to be asked, and
// shares it with peers, so that a node heeds it before an answer has told it so itself.
package announcer
