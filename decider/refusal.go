package decider

import (
	"net/http"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// refusalTemplate is the HTTP status and the message of one reason.
type refusalTemplate struct {
	status  int
	message string
}

// refusalTemplates returns the answer to a caller for each reason.
func refusalTemplates() map[messenger.RefusalReason]refusalTemplate {
	return map[messenger.RefusalReason]refusalTemplate{
		messenger.NoUpstream:     {http.StatusServiceUnavailable, "no live upstream can serve the request"},
		messenger.QueueFull:      {http.StatusTooManyRequests, "the request could not start within its bound"},
		messenger.Shed:           {http.StatusTooManyRequests, "requests of higher precedence took the place"},
		messenger.DeadlineMissed: {http.StatusTooManyRequests, "the deadline cannot be met"},
		messenger.WaitExceeded:   {http.StatusServiceUnavailable, "the request waited for its longest wait"},
		messenger.RateLimited:    {http.StatusTooManyRequests, "the organisation is above its rate"},
		messenger.NoRule:         {http.StatusNotFound, "no rule matches the request"},
		messenger.NoModel:        {http.StatusNotFound, "the model does not exist or is not served"},
		messenger.RuleRefused:    {http.StatusForbidden, "a rule refuses the request"},
		messenger.NotReady:       {http.StatusServiceUnavailable, "the node has no configuration yet"},
		messenger.Draining:       {http.StatusServiceUnavailable, "the node is stopping"},
		messenger.OwnerLost:      {http.StatusServiceUnavailable, "the scheduler of the pool could not be reached"},
		messenger.PlatformAway:   {http.StatusServiceUnavailable, "the key cannot be claimed while the platform is away"},
		messenger.KeyInUse:       {http.StatusConflict, "a request with the same key is under way"},
		messenger.KeyMismatch:    {http.StatusUnprocessableEntity, "the key was used for a different request"},
		messenger.KeyUnknown:     {http.StatusConflict, "it is not known whether an earlier request with the key ran; it is not run again"},
		messenger.KeyHolderAway:  {http.StatusServiceUnavailable, "the process that the key is bound to cannot be reached"},
		messenger.KeyExpired:     {http.StatusUnprocessableEntity, "the key is too old or was not handed out for this call"},
		messenger.AnswerNotKept:  {http.StatusConflict, "an earlier request with the key ran; its answer was not kept"},
		messenger.ClaimsFull:     {http.StatusServiceUnavailable, "there is no room to claim another key"},
		messenger.HeldOff:        {http.StatusServiceUnavailable, "upstreams ended one after the other while they ran this request; it is sent to no other until the time given by Retry-After, or until an operator lifts this"},
		messenger.UpstreamFailed: {http.StatusBadGateway, "the upstream did not give a whole answer"},
		// The caller has disconnected; the status is only counted.
		messenger.CallerGone: {http.StatusRequestTimeout, "the caller left"},
	}
}

// refusalFor returns the refusal for a reason.
func refusalFor(reason messenger.RefusalReason, outcome definer.Outcome, retryAfter time.Duration) Refusal {
	template := refusalTemplates()[reason]
	return Refusal{Status: template.status, Reason: reason, Message: template.message, Outcome: outcome, RetryAfter: retryAfter}
}
