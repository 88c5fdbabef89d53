// Package quarantiner finds queries of death: requests, or parts that prompts share, that crash the
// upstreams that run them. It quarantines these requests, and all with such a part, so that they are
// not sent to one upstream after the other.
//
// What a node knows is a set of facts of the form "this request, or a prompt with this part, was on
// that upstream when it crashed", each of which may be cleared. Nodes exchange their facts. Which requests are held
// off (quarantined) follows from the facts alone, so that nodes with equal facts hold off the
// same requests.
//
// All requests on an upstream that crashes are suspects, with the parts of their prompts, and one of
// them is the culprit. A suspect is held off once enough upstreams have crashed under it while none
// served it. The crashes under a suspect that is held off are attributed to it and no longer count
// against others.
package quarantiner
