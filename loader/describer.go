package loader

// Description tells operators about one setting.
type Description struct{ setting setting }

// Describe returns the descriptions of all settings, section by section.
func Describe() []Description {
	var descriptions []Description
	for _, setting := range table() {
		descriptions = append(descriptions, Description{setting: setting})
	}
	return descriptions
}

// Section returns the section without its brackets.
func (description Description) Section() string { return description.setting.section }

// Name returns the name within the section.
func (description Description) Name() string { return description.setting.name }

// Unit returns the unit, or nothing for a setting without one.
func (description Description) Unit() string { return description.setting.unit }

// Allowed returns the range in words.
func (description Description) Allowed() string { return description.setting.allowed }

// Default returns the text that holds when the setting is missing, or nothing.
func (description Description) Default() string { return description.setting.fallback }

// Required tells whether the setting must stand in the file.
func (description Description) Required() bool { return description.setting.required }

// Meaning returns one sentence.
func (description Description) Meaning() string { return description.setting.meaning }
