package commander

import (
	"flag"
	"fmt"
	"strings"

	"limpetcleat/standin/authority"
)

// authorityVerb is the stand-in that writes files in place of serving.
const authorityVerb = "authority"

// authorityFlags are the flags of standin authority.
type authorityFlags struct {
	directory *string
	names     *string
}

func newAuthorityFlags(flags *flag.FlagSet) authorityFlags {
	return authorityFlags{
		directory: flags.String("dir", "", "authority: `directory` to write to"),
		names:     flags.String("names", "", "authority: `names` of the nodes, with commas"),
	}
}

// writeAuthority writes the certificates between the nodes of a trial.
func (commander *Commander) writeAuthority(chosen authorityFlags) error {
	if *chosen.directory == "" {
		return fail("standin", WrongUsage, "-dir is missing")
	}
	if *chosen.names == "" {
		return fail("standin", WrongUsage, "-names is missing")
	}
	made, err := authority.New()
	if err != nil {
		return fail("standin", Failing, "%w", err)
	}
	paths, err := made.WriteNodes(*chosen.directory, strings.Split(*chosen.names, ",")...)
	for _, path := range paths {
		_, _ = fmt.Fprintln(commander.out, path)
	}
	if err != nil {
		return fail("standin", Failing, "%w", err)
	}
	return nil
}
