package commander

import (
	"flag"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// clientFileFlags returns the names of the flags that a client settings file may set.
func clientFileFlags() []string {
	return []string{"nodes", "tokenFile", "platform", "platformTokenFile"}
}

// clientFlag declares the flag for the client settings file, unless it is declared already.
func clientFlag(flags *flag.FlagSet) {
	if flags.Lookup("client") == nil {
		flags.String("client", "", "an INI `file` that sets "+strings.Join(clientFileFlags(), ", ")+" unless given as flags")
	}
}

// applyClientFile sets the flags that are absent from the command line to the values in the client
// settings file, if there is one.
func applyClientFile(flags *flag.FlagSet) error {
	named := flags.Lookup("client")
	if named == nil || named.Value.String() == "" {
		return nil
	}
	path := named.Value.String()
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return fail("client", Failed, "%w", err)
	}
	given := make(map[string]bool)
	flags.Visit(func(flag *flag.Flag) { given[flag.Name] = true })
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if section.Name() != ini.DefaultSection || !slices.Contains(clientFileFlags(), key.Name()) {
				return fail("client", Failed, "%s: found %q; allowed are %s, outside any section", path, key.Name(), strings.Join(clientFileFlags(), ", "))
			}
			if flags.Lookup(key.Name()) == nil || given[key.Name()] {
				continue
			}
			if err := flags.Set(key.Name(), key.Value()); err != nil {
				return fail("client", Failed, "%s: %s: %w", path, key.Name(), err)
			}
		}
	}
	return nil
}
