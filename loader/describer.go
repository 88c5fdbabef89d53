package loader

// Description describes one setting for operators.
type Description struct{ setting setting }

// Describe returns the descriptions of all settings, ordered by section.
func Describe() []Description {
	var descriptions []Description
	for _, setting := range table() {
		descriptions = append(descriptions, Description{setting: setting})
	}
	return descriptions
}

// Section returns the name of the section, without brackets.
func (description Description) Section() string { return description.setting.section }

// Name returns the name of the setting within its section.
func (description Description) Name() string { return description.setting.name }

// Unit returns the unit of the value, or an empty string if it has none.
func (description Description) Unit() string { return description.setting.unit }

// Allowed describes the allowed values.
func (description Description) Allowed() string { return description.setting.allowed }

// Default returns the value used if the setting is missing, or an empty string if there is none.
func (description Description) Default() string { return description.setting.defaultValue }

// Required reports whether the file must contain the setting.
func (description Description) Required() bool { return description.setting.required }

// Meaning returns one sentence on what the setting is for.
func (description Description) Meaning() string { return description.setting.meaning }
