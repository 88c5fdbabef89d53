// Package quarantiner finds queries of death: requests that crash the upstreams that run them.
// It quarantines these requests, so that they are not sent to one upstream after the other.
//
// What a node knows is a set of facts of the form "this request was on that upstream when it
// crashed", each of which may be cleared. Nodes exchange their facts. Which requests are held
// off (quarantined) follows from the facts alone, so that nodes with equal facts hold off the
// same requests.
//
// All requests on an upstream that crashes are suspects, and one of them is the culprit. A
// request is held off once enough upstreams have crashed under it while none served it. The
// crashes under a held-off request are attributed to it and no longer count against others.
package quarantiner
