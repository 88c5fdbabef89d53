package decider

import (
	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

// configurer keeps the configuration in force. The version applied only grows,
// and only a configuration that passed every check is applied.
type configurer struct {
	*core
	// head is that of the configuration in force.
	head Head
	// contents holds the sections of head by hash.
	contents map[string][]byte
}

func newConfigurer(core *core) *configurer {
	return &configurer{core: core, contents: make(map[string][]byte)}
}

func (configurer *configurer) priority() int { return configurerPriority }

func (configurer *configurer) handle(event Event) {
	switch event := event.(type) {
	case started:
		configurer.act(WatchPlatform{Hold: true})
	case ConfigurationFound:
		configurer.found(event)
	}
}

// found applies a configuration if it is newer, whole and passes its checks.
func (configurer *configurer) found(event ConfigurationFound) {
	if event.Head.Version <= configurer.head.Version {
		return
	}
	contents := configurer.gather(event)
	configuration, compiled, err := check(event.Head, contents)
	if err != nil {
		configurer.log(EventConfigurationRejected, "version", event.Head.Version, "cause", err)
		return
	}
	configurer.head = event.Head
	configurer.contents = contents
	configurer.core.configuration = configuration
	configurer.core.matcher = compiled
	configurer.act(ConfigurationApplied{Configuration: configuration})
	configurer.log(EventConfigurationApplied, "version", event.Head.Version)
	configurer.notify(configurationChanged{})
}

// gather returns the sections that the event's head names, from the event and
// from those already held.
func (configurer *configurer) gather(event ConfigurationFound) map[string][]byte {
	contents := make(map[string][]byte, len(event.Head.Sections))
	for _, sum := range event.Head.Sections {
		if data, ok := configurer.contents[sum.Hash]; ok {
			contents[sum.Hash] = data
		}
	}
	for _, section := range event.Contents {
		contents[section.Hash] = section.Data
	}
	return contents
}

// check joins the sections of a version and returns what they hold, checked.
func check(head Head, contents map[string][]byte) (*definer.Configuration, *matcher.Matcher, error) {
	sections := make([]messenger.Section, 0, len(head.Sections))
	for _, sum := range head.Sections {
		sections = append(sections, messenger.Section{Hash: sum.Hash, Data: contents[sum.Hash]})
	}
	document, err := sectioner.Join(head.Sections, sections)
	if err != nil {
		return nil, nil, err
	}
	configuration, err := definer.Build(head.Version, document)
	if err != nil {
		return nil, nil, err
	}
	compiled, err := matcher.New(configuration.Rules())
	if err != nil {
		return nil, nil, err
	}
	return configuration, compiled, nil
}
