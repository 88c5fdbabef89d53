package commander

import (
	"flag"
	"fmt"
	"strings"

	"limpetcleat/standin/authority"
)

// authorityVerb is the verb of standin that writes certificates and serves nothing.
const authorityVerb = "authority"

// authorityOptions holds the flags of standin authority.
type authorityOptions struct {
	directory *string
	names     *string
}

func authorityFlags(flags *flag.FlagSet) authorityOptions {
	return authorityOptions{
		directory: flags.String("dir", "", "authority: `directory` to write to"),
		names:     flags.String("names", "", "authority: comma-separated `names` of the nodes"),
	}
}

// writeAuthority creates a certificate authority for tests and writes its certificate, and a
// certificate and key for each node name. It prints the path of each file that it wrote, also
// after an error.
func (commander *Commander) writeAuthority(options authorityOptions) error {
	if *options.directory == "" {
		return fail("standin", InvalidUsage, "-dir is missing")
	}
	if *options.names == "" {
		return fail("standin", InvalidUsage, "-names is missing")
	}
	trialAuthority, err := authority.New()
	if err != nil {
		return fail("standin", Failed, "%w", err)
	}
	paths, err := trialAuthority.WriteNodes(*options.directory, strings.Split(*options.names, ",")...)
	for _, path := range paths {
		_, _ = fmt.Fprintln(commander.out, path)
	}
	if err != nil {
		return fail("standin", Failed, "%w", err)
	}
	return nil
}
