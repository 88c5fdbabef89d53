package commander

import (
	"encoding/json"
	"flag"
	"io"
	"os"
	"strings"

	"limpetcleat/operator"
	"limpetcleat/storer"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// outputFlag declares the flag that chooses the form of a result.
func outputFlag(flags *flag.FlagSet) *string {
	return flags.String("output", outputText, "the result's `form`: text or json")
}

func checkOutput(output string) error {
	if output != outputText && output != outputJSON {
		return fail("output", WrongUsage, "-output is %q; allowed is text or json", output)
	}
	return nil
}

func writeJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	// Conditions of rules hold && and >, which are to stay readable.
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// access is how a command reaches a guarded server.
type access struct {
	addresses *string
	token     *string
	tokenFile *string
	// what names the server in messages.
	what string
}

// nodeFlags declares the flags that say which nodes to ask.
func nodeFlags(flags *flag.FlagSet) *access {
	clientFlag(flags)
	return &access{
		what:      "nodes",
		addresses: flags.String("nodes", "", "operators' `addresses` of the nodes, IP:port, with commas"),
		token:     flags.String("token", "", "the operators' `token`; -tokenFile keeps it out of the process list"),
		tokenFile: flags.String("tokenFile", "", "the `file` that holds the operators' token"),
	}
}

// platformFlags declares the flags that say how to reach the platform.
func platformFlags(flags *flag.FlagSet) *access {
	clientFlag(flags)
	return &access{
		what:      "platform",
		addresses: flags.String("platform", "", "`addresses` of the platform's object API, IP:port, with commas"),
		token:     flags.String("platformToken", "", "the platform's `token`"),
		tokenFile: flags.String("platformTokenFile", "", "the `file` that holds the platform's token"),
	}
}

// given tells whether there is any address.
func (access *access) given() bool { return *access.addresses != "" }

// list returns the addresses; the error is of kind WrongUsage when there is none.
func (access *access) list() ([]string, error) {
	if !access.given() {
		return nil, fail("flags", WrongUsage, "-%s is missing", access.what)
	}
	var addresses []string
	for _, address := range strings.Split(*access.addresses, ",") {
		addresses = append(addresses, strings.TrimSpace(address))
	}
	return addresses, nil
}

func (access *access) secret() (string, error) {
	if *access.tokenFile == "" {
		return *access.token, nil
	}
	data, err := os.ReadFile(*access.tokenFile)
	if err != nil {
		return "", fail("flags", Failing, "%w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// read returns the addresses and the secret.
func (access *access) read() (addresses []string, token string, err error) {
	if addresses, err = access.list(); err != nil {
		return nil, "", err
	}
	token, err = access.secret()
	return addresses, token, err
}

// client returns a client of the nodes.
func (access *access) client() (*operator.Client, error) {
	addresses, token, err := access.read()
	if err != nil {
		return nil, err
	}
	return operator.Dial(addresses, token), nil
}

// store returns a client of the platform.
func (access *access) store() (*storer.Storer, error) {
	addresses, token, err := access.read()
	if err != nil {
		return nil, err
	}
	return storer.New(addresses, token), nil
}
