package messenger

import "limpetcleat/definer"

// Frame is a tagged union that encodes one message on the wire: exactly one field
// is set.
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
	FallNotice            *FallNotice
	UsageReport           *UsageReport
	DutyNotice            *DutyNotice
	LimitNotice           *LimitNotice
	PermitAsk             *PermitAsk
	PermitAnswer          *PermitAnswer
	StreamOrigins         *StreamOrigins
	OriginAsk             *OriginAsk
	OriginAnswer          *OriginAnswer
}

// Envelope is a batch of messages from one member to another.
type Envelope struct {
	From       definer.Member
	DataCentre definer.DataCentre
	Frames     []Frame
	// Opening is set in the first envelope of a connection.
	Opening *Opening
}

// Opening identifies the connection of the sender that begins.
type Opening struct {
	// Number is the number of the connection among all that the sender's process has opened, from 1.
	Number uint64
	// Route identifies the address to which the sender connected.
	Route uint64
}

// Wrap returns the frame that encodes a message.
func Wrap(message Message) Frame {
	var frame Frame
	message.place(&frame)
	return frame
}

// Unwrap returns the message in a frame. The error is of kind Malformed unless
// the frame holds exactly one message.
func Unwrap(frame Frame) (Message, error) {
	candidates := []struct {
		set     bool
		message Message
	}{
		{frame.GrantAsk != nil, frame.GrantAsk},
		{frame.GrantAnswer != nil, frame.GrantAnswer},
		{frame.GrantRelease != nil, frame.GrantRelease},
		{frame.GrantWithdraw != nil, frame.GrantWithdraw},
		{frame.GrantReport != nil, frame.GrantReport},
		{frame.UpstreamNotice != nil, frame.UpstreamNotice},
		{frame.Heartbeat != nil, frame.Heartbeat},
		{frame.HeartbeatAnswer != nil, frame.HeartbeatAnswer},
		{frame.ConfigurationAnnounce != nil, frame.ConfigurationAnnounce},
		{frame.ConfigurationAsk != nil, frame.ConfigurationAsk},
		{frame.ConfigurationAnswer != nil, frame.ConfigurationAnswer},
		{frame.CallForward != nil, frame.CallForward},
		{frame.CallAnswer != nil, frame.CallAnswer},
		{frame.ClaimAsk != nil, frame.ClaimAsk},
		{frame.ClaimAnswer != nil, frame.ClaimAnswer},
		{frame.LoadReport != nil, frame.LoadReport},
		{frame.DefinitionAsk != nil, frame.DefinitionAsk},
		{frame.DefinitionPart != nil, frame.DefinitionPart},
		{frame.FallNotice != nil, frame.FallNotice},
		{frame.UsageReport != nil, frame.UsageReport},
		{frame.DutyNotice != nil, frame.DutyNotice},
		{frame.LimitNotice != nil, frame.LimitNotice},
		{frame.PermitAsk != nil, frame.PermitAsk},
		{frame.PermitAnswer != nil, frame.PermitAnswer},
		{frame.StreamOrigins != nil, frame.StreamOrigins},
		{frame.OriginAsk != nil, frame.OriginAsk},
		{frame.OriginAnswer != nil, frame.OriginAnswer},
	}
	var found []Message
	for _, candidate := range candidates {
		if candidate.set {
			found = append(found, candidate.message)
		}
	}
	if len(found) != 1 {
		return nil, fail("unwrap", Malformed, "frame holds %d messages instead of one", len(found))
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
