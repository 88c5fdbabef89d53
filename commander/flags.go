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
		return fail("output", InvalidUsage, "-output is %q; allowed is text or json", output)
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
type endpoint struct {
	addresses *string
	token     *string
	tokenFile *string
	// what names the server in messages.
	flagName string
}

// nodeFlags declares the flags that say which nodes to ask.
func nodeFlags(flags *flag.FlagSet) *endpoint {
	clientFlag(flags)
	return &endpoint{
		flagName:  "nodes",
		addresses: flags.String("nodes", "", "operators' `addresses` of the nodes, IP:port, with commas"),
		token:     flags.String("token", "", "the operators' `token`; -tokenFile keeps it out of the process list"),
		tokenFile: flags.String("tokenFile", "", "the `file` that holds the operators' token"),
	}
}

// platformFlags declares the flags that say how to reach the platform.
func platformFlags(flags *flag.FlagSet) *endpoint {
	clientFlag(flags)
	return &endpoint{
		flagName:  "platform",
		addresses: flags.String("platform", "", "`addresses` of the platform's object API, IP:port, with commas"),
		token:     flags.String("platformToken", "", "the platform's `token`"),
		tokenFile: flags.String("platformTokenFile", "", "the `file` that holds the platform's token"),
	}
}

// given tells whether there is any address.
func (endpoint *endpoint) isSet() bool { return *endpoint.addresses != "" }

// list returns the addresses; the error is of kind WrongUsage when there is none.
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

// read returns the addresses and the secret.
func (endpoint *endpoint) resolve() (addresses []string, token string, err error) {
	if addresses, err = endpoint.addressList(); err != nil {
		return nil, "", err
	}
	token, err = endpoint.readToken()
	return addresses, token, err
}

// client returns a client of the nodes.
func (endpoint *endpoint) operatorClient() (*operator.Client, error) {
	addresses, token, err := endpoint.resolve()
	if err != nil {
		return nil, err
	}
	return operator.Dial(addresses, token), nil
}

// store returns a client of the platform.
func (endpoint *endpoint) storeClient() (*storer.Storer, error) {
	addresses, token, err := endpoint.resolve()
	if err != nil {
		return nil, err
	}
	return storer.New(addresses, token), nil
}
