package server

import (
	"sync"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// mailboxLength is the capacity of each channel of a mailbox. The core has no more than a few
// outstanding actions for a request.
const mailboxLength = 16

// mailbox carries messages to the goroutine that serves one request.
type mailbox struct {
	actions chan decider.Action
	// answers carries the messages of the peer that the call was forwarded to.
	answers chan *messenger.CallAnswer
}

// mailboxes holds the mailbox of each open request. It is safe for concurrent use.
type mailboxes struct {
	// mutex guards byRequest; no other lock is taken under it.
	mutex     sync.Mutex
	byRequest map[definer.RequestID]*mailbox
}

func newMailboxes() *mailboxes { return &mailboxes{byRequest: make(map[definer.RequestID]*mailbox)} }

// deliverAction puts an action into a request's mailbox. It drops the action if the request has
// ended or the mailbox is full.
func (mailboxes *mailboxes) deliverAction(request definer.RequestID, action decider.Action) {
	mailboxes.mutex.Lock()
	defer mailboxes.mutex.Unlock()
	mailbox, ok := mailboxes.byRequest[request]
	if !ok {
		return
	}
	select {
	case mailbox.actions <- action:
	default:
	}
}

// deliverAnswer puts a peer's answer into a request's mailbox. It drops the answer if the request
// has ended or the mailbox is full.
func (mailboxes *mailboxes) deliverAnswer(answer *messenger.CallAnswer) {
	mailboxes.mutex.Lock()
	defer mailboxes.mutex.Unlock()
	mailbox, ok := mailboxes.byRequest[answer.Request]
	if !ok {
		return
	}
	select {
	case mailbox.answers <- answer:
	default:
	}
}

// add returns a new mailbox for the request; remove deletes it.
func (mailboxes *mailboxes) add(request definer.RequestID) *mailbox {
	mailboxes.mutex.Lock()
	defer mailboxes.mutex.Unlock()
	mailbox := &mailbox{actions: make(chan decider.Action, mailboxLength), answers: make(chan *messenger.CallAnswer, mailboxLength)}
	mailboxes.byRequest[request] = mailbox
	return mailbox
}

func (mailboxes *mailboxes) remove(request definer.RequestID) {
	mailboxes.mutex.Lock()
	defer mailboxes.mutex.Unlock()
	delete(mailboxes.byRequest, request)
}

// DeliverAction delivers an action to the goroutine that serves the request. It never blocks; the
// action is dropped if the request has ended or its mailbox is full.
func (server *Server) DeliverAction(request definer.RequestID, action decider.Action) {
	server.mailboxes.deliverAction(request, action)
}

// DeliverAnswer delivers a peer's answer to the goroutine that serves the request. It never blocks;
// the peer sends a dropped answer again when the call is forwarded again.
func (server *Server) DeliverAnswer(answer *messenger.CallAnswer) {
	server.mailboxes.deliverAnswer(answer)
}
