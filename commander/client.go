package commander

import (
	"flag"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// clientNames returns the flags that a client settings file may give.
func clientNames() []string {
	return []string{"nodes", "tokenFile", "platform", "platformTokenFile"}
}

// clientFlag declares the flag that names a client settings file. It may be
// declared more than once.
func clientFlag(flags *flag.FlagSet) {
	if flags.Lookup("client") == nil {
		flags.String("client", "", "a `file`, in INI, that gives "+strings.Join(clientNames(), ", ")+" where they are not flags")
	}
}

// applyClient sets the flags that were not given from the client settings file,
// if one was named.
func applyClient(flags *flag.FlagSet) error {
	named := flags.Lookup("client")
	if named == nil || named.Value.String() == "" {
		return nil
	}
	path := named.Value.String()
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return fail("client", Failing, "%w", err)
	}
	given := make(map[string]bool)
	flags.Visit(func(flag *flag.Flag) { given[flag.Name] = true })
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if section.Name() != ini.DefaultSection || !slices.Contains(clientNames(), key.Name()) {
				return fail("client", Failing, "%s: found %q; allowed are %s, in no section", path, key.Name(), strings.Join(clientNames(), ", "))
			}
			if flags.Lookup(key.Name()) == nil || given[key.Name()] {
				continue
			}
			if err := flags.Set(key.Name(), key.Value()); err != nil {
				return fail("client", Failing, "%s: %s: %w", path, key.Name(), err)
			}
		}
	}
	return nil
}
