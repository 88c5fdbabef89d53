package commander

import (
	"flag"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// clientNames returns the flags that a client settings file may give.
func clientFileFlags() []string {
	return []string{"nodes", "tokenFile", "platform", "platformTokenFile"}
}

// clientFlag declares the flag that names a client settings file. It may be
// declared more than once.
func clientFlag(flags *flag.FlagSet) {
	if flags.Lookup("client") == nil {
		flags.String("client", "", "a `file`, in INI, that gives "+strings.Join(clientFileFlags(), ", ")+" where they are not flags")
	}
}

// applyClient sets the flags that were not given from the client settings file,
// if one was named.
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
				return fail("client", Failed, "%s: found %q; allowed are %s, in no section", path, key.Name(), strings.Join(clientFileFlags(), ", "))
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
