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

// outputFlag declares the flag for the output format.
func outputFlag(flags *flag.FlagSet) *string {
	return flags.String("output", outputText, "output `format`: text or json")
}

func checkOutput(output string) error {
	if output != outputText && output != outputJSON {
		return fail("output", InvalidUsage, "-output is %q; allowed is text or json", output)
	}
	return nil
}

func writeJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	// Keeps && and > in the conditions of rules readable.
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// endpoint holds the flags for the addresses of servers and their bearer token.
type endpoint struct {
	addresses *string
	token     *string
	tokenFile *string
	// flagName is the flag of the addresses, without a dash, for messages.
	flagName string
}

// nodeFlags declares the flags for the nodes to query.
func nodeFlags(flags *flag.FlagSet) *endpoint {
	clientFlag(flags)
	return &endpoint{
		flagName:  "nodes",
		addresses: flags.String("nodes", "", "comma-separated operators' `addresses` of the nodes, IP:port"),
		token:     flags.String("token", "", "the operators' `token`; -tokenFile keeps it out of the process list"),
		tokenFile: flags.String("tokenFile", "", "the `file` that contains the operators' token"),
	}
}

// platformFlags declares the flags for access to the platform.
func platformFlags(flags *flag.FlagSet) *endpoint {
	clientFlag(flags)
	return &endpoint{
		flagName:  "platform",
		addresses: flags.String("platform", "", "comma-separated `addresses` of the platform's object API, IP:port"),
		token:     flags.String("platformToken", "", "the platform's `token`"),
		tokenFile: flags.String("platformTokenFile", "", "the `file` that contains the platform's token"),
	}
}

// isSet reports whether any address is given.
func (endpoint *endpoint) isSet() bool { return *endpoint.addresses != "" }

// addressList returns the addresses. The error is of kind InvalidUsage if none is given.
func (endpoint *endpoint) addressList() ([]string, error) {
	if !endpoint.isSet() {
		return nil, fail("flags", InvalidUsage, "-%s is missing", endpoint.flagName)
	}
	var addresses []string
	for _, address := range strings.Split(*endpoint.addresses, ",") {
		addresses = append(addresses, strings.TrimSpace(address))
	}
	return addresses, nil
}

func (endpoint *endpoint) readToken() (string, error) {
	if *endpoint.tokenFile == "" {
		return *endpoint.token, nil
	}
	data, err := os.ReadFile(*endpoint.tokenFile)
	if err != nil {
		return "", fail("flags", Failed, "%w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// resolve returns the addresses and the token.
func (endpoint *endpoint) resolve() (addresses []string, token string, err error) {
	if addresses, err = endpoint.addressList(); err != nil {
		return nil, "", err
	}
	token, err = endpoint.readToken()
	return addresses, token, err
}

// operatorClient returns a client of the nodes' operators' interfaces.
func (endpoint *endpoint) operatorClient() (*operator.Client, error) {
	addresses, token, err := endpoint.resolve()
	if err != nil {
		return nil, err
	}
	return operator.NewClient(addresses, token), nil
}

// storeClient returns a client of the platform; the caller closes it.
func (endpoint *endpoint) storeClient() (*storer.Storer, error) {
	addresses, token, err := endpoint.resolve()
	if err != nil {
		return nil, err
	}
	return storer.New(addresses, token), nil
}
