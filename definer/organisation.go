package definer

// Organisation is a customer whose callers share keys, a weight and limits.
type Organisation struct {
	// document has passed all checks of Build.
	document OrganisationDocument
}

// Name returns the organisation's name.
func (organisation *Organisation) Name() OrganisationName {
	return OrganisationName(organisation.document.Name)
}

// Weight returns its share against others of the same tier; 1 if none is set.
func (organisation *Organisation) Weight() float64 {
	if organisation.document.Weight == 0 {
		return 1
	}
	return organisation.document.Weight
}

// RequestsPerSecond returns the bound on its rate; 0 is no bound.
func (organisation *Organisation) RequestsPerSecond() float64 {
	return organisation.document.RequestsPerSecond
}
