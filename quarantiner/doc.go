// Package quarantiner tells which requests make the upstreams that run them end, so that
// such a request is not sent to one upstream after the other: it is held off.
//
// What is known is a set of facts, "this request was on that upstream when it ended", each of
// which may be cleared. Nodes tell each other their facts; which requests are held off
// follows from the facts alone, so that nodes with the same facts hold off the same ones.
//
// All requests on an upstream that ends are suspects and one is guilty. A request is held off
// once enough upstreams have ended under it and it was served by none meanwhile. The ends
// under a request that is held off are explained by it and no longer count against others.
package quarantiner
