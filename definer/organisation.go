package definer

// Organisation is a customer whose callers share API keys, a weight and a rate limit.
type Organisation struct {
	// document has passed all checks of Build.
	document OrganisationDocument
}

// Name returns the name of the organisation.
func (organisation *Organisation) Name() OrganisationName {
	return OrganisationName(organisation.document.Name)
}

// Weight returns the share of the organisation relative to other organisations
// of the same tier; 1 if none is set.
func (organisation *Organisation) Weight() float64 {
	if organisation.document.Weight == 0 {
		return 1
	}
	return organisation.document.Weight
}

// RequestsPerSecond returns the rate limit at each entry VM; 0 means no limit.
func (organisation *Organisation) RequestsPerSecond() float64 {
	return organisation.document.RequestsPerSecond
}
