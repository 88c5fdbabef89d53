package messenger

import "limpetcleat/definer"

// Frame is the form of one message on the wire: exactly one field is set.
type Frame struct {
	GrantAsk              *GrantAsk
	GrantAnswer           *GrantAnswer
	GrantRelease          *GrantRelease
	GrantWithdraw         *GrantWithdraw
	GrantReport           *GrantReport
	UpstreamNotice        *UpstreamNotice
	Heartbeat             *Heartbeat
	HeartbeatAnswer       *HeartbeatAnswer
	ConfigurationAnnounce *ConfigurationAnnounce
	ConfigurationAsk      *ConfigurationAsk
	ConfigurationAnswer   *ConfigurationAnswer
	CallForward           *CallForward
	CallAnswer            *CallAnswer
	ClaimAsk              *ClaimAsk
	ClaimAnswer           *ClaimAnswer
	LoadReport            *LoadReport
	DefinitionAsk         *DefinitionAsk
	DefinitionPart        *DefinitionPart
}

// Envelope carries messages from one member to another.
type Envelope struct {
	From       definer.Member
	DataCentre definer.DataCentre
	Frames     []Frame
}

// Wrap returns the wire form of a message.
func Wrap(message Message) Frame {
	var frame Frame
	message.place(&frame)
	return frame
}

// Unwrap returns the one message in a frame. The error is of kind Malformed
// when there is none or more than one.
func Unwrap(frame Frame) (Message, error) {
	var found []Message
	if frame.GrantAsk != nil {
		found = append(found, frame.GrantAsk)
	}
	if frame.GrantAnswer != nil {
		found = append(found, frame.GrantAnswer)
	}
	if frame.GrantRelease != nil {
		found = append(found, frame.GrantRelease)
	}
	if frame.GrantWithdraw != nil {
		found = append(found, frame.GrantWithdraw)
	}
	if frame.GrantReport != nil {
		found = append(found, frame.GrantReport)
	}
	if frame.UpstreamNotice != nil {
		found = append(found, frame.UpstreamNotice)
	}
	if frame.Heartbeat != nil {
		found = append(found, frame.Heartbeat)
	}
	if frame.HeartbeatAnswer != nil {
		found = append(found, frame.HeartbeatAnswer)
	}
	if frame.ConfigurationAnnounce != nil {
		found = append(found, frame.ConfigurationAnnounce)
	}
	if frame.ConfigurationAsk != nil {
		found = append(found, frame.ConfigurationAsk)
	}
	if frame.ConfigurationAnswer != nil {
		found = append(found, frame.ConfigurationAnswer)
	}
	if frame.CallForward != nil {
		found = append(found, frame.CallForward)
	}
	if frame.CallAnswer != nil {
		found = append(found, frame.CallAnswer)
	}
	if frame.ClaimAsk != nil {
		found = append(found, frame.ClaimAsk)
	}
	if frame.ClaimAnswer != nil {
		found = append(found, frame.ClaimAnswer)
	}
	if frame.LoadReport != nil {
		found = append(found, frame.LoadReport)
	}
	if frame.DefinitionAsk != nil {
		found = append(found, frame.DefinitionAsk)
	}
	if frame.DefinitionPart != nil {
		found = append(found, frame.DefinitionPart)
	}
	if len(found) != 1 {
		return nil, fail("unwrap", Malformed, "a frame holds %d messages", len(found))
	}
	return found[0], nil
}

func (grantAsk *GrantAsk) place(frame *Frame)               { frame.GrantAsk = grantAsk }
func (grantAnswer *GrantAnswer) place(frame *Frame)         { frame.GrantAnswer = grantAnswer }
func (grantRelease *GrantRelease) place(frame *Frame)       { frame.GrantRelease = grantRelease }
func (grantWithdraw *GrantWithdraw) place(frame *Frame)     { frame.GrantWithdraw = grantWithdraw }
func (grantReport *GrantReport) place(frame *Frame)         { frame.GrantReport = grantReport }
func (upstreamNotice *UpstreamNotice) place(frame *Frame)   { frame.UpstreamNotice = upstreamNotice }
func (heartbeat *Heartbeat) place(frame *Frame)             { frame.Heartbeat = heartbeat }
func (heartbeatAnswer *HeartbeatAnswer) place(frame *Frame) { frame.HeartbeatAnswer = heartbeatAnswer }
func (configurationAnnounce *ConfigurationAnnounce) place(frame *Frame) {
	frame.ConfigurationAnnounce = configurationAnnounce
}

func (configurationAsk *ConfigurationAsk) place(frame *Frame) {
	frame.ConfigurationAsk = configurationAsk
}

func (configurationAnswer *ConfigurationAnswer) place(frame *Frame) {
	frame.ConfigurationAnswer = configurationAnswer
}
func (callForward *CallForward) place(frame *Frame) { frame.CallForward = callForward }
func (callAnswer *CallAnswer) place(frame *Frame)   { frame.CallAnswer = callAnswer }
