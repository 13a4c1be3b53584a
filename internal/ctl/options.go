package ctl

import (
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
)

const (
	// envOperatorKey is the environment variable with the operator's key.
	envOperatorKey = "HAWTHORNCTL_KEY"
	// envServers is the environment variable with the servers' base URLs, separated
	// by commas.
	envServers = "HAWTHORNCTL_SERVER"
	// defaultTimeout is the default time limit of a command.
	defaultTimeout = 20 * time.Second
)

// Values of the flag -output.
const (
	outputText = "text"
	outputJSON = "json"
)

// options holds the flags that all commands share.
type options struct {
	Streams
	getenv  func(string) string
	servers serverList
	keyFile string
	// authorityFile is the path of the trusted certificate authorities (PEM); empty
	// for the system's.
	authorityFile string
	output        string
	timeout       time.Duration
}

func newOptions(streams Streams, getenv func(string) string) *options {
	return &options{Streams: streams, getenv: getenv, output: outputText, timeout: defaultTimeout}
}

// registerFlags adds the shared flags, with their current values as defaults, so
// that they can be given before and after a command's name.
func (o *options) registerFlags(flags *flag.FlagSet) {
	flags.Var(&o.servers, "server", "base `URL` of a daemon's operators' address; repeat it or separate by commas for more; default $"+envServers)
	flags.StringVar(&o.keyFile, "key-file", o.keyFile, "`file` that holds the operator's key; default: the key in $"+envOperatorKey)
	flags.StringVar(&o.authorityFile, "authority", o.authorityFile, "`file` with the certificate authorities that daemons are trusted by; default: the system's")
	flags.StringVar(&o.output, "output", o.output, "`form` of the output: text or json")
	flags.DurationVar(&o.timeout, "timeout", o.timeout, "longest time of the command")
}

// serverList is a repeatable flag of base URLs separated by commas.
type serverList []string

// String implements flag.Value.
func (l *serverList) String() string {
	if l == nil {
		return ""
	}
	return strings.Join(*l, ",")
}

// Set implements flag.Value.
func (l *serverList) Set(text string) error {
	for _, server := range strings.Split(text, ",") {
		if server = strings.TrimSuffix(strings.TrimSpace(server), "/"); server != "" {
			*l = append(*l, server)
		}
	}
	return nil
}

// usageError reports wrong arguments, flags or environment variables.
type usageError struct {
	Problem string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.Problem
}

// client returns a client configured by the flags and the environment. It fails
// with *usageError.
func (o *options) client() (*client, error) {
	if o.output != outputText && o.output != outputJSON {
		return nil, &usageError{Problem: fmt.Sprintf("-output %q: want text or json", o.output)}
	}
	servers := o.servers
	if len(servers) == 0 {
		_ = servers.Set(o.getenv(envServers))
	}
	if len(servers) == 0 {
		return nil, &usageError{Problem: "name a daemon with -server URL or $" + envServers}
	}
	key, err := o.operatorKey()
	if err != nil {
		return nil, err
	}
	authorities, err := o.certificateAuthorities()
	if err != nil {
		return nil, err
	}
	return newClient(servers, key, authorities), nil
}

// certificateAuthorities returns the trusted certificate authorities, or nil for
// the system's.
func (o *options) certificateAuthorities() (*x509.CertPool, error) {
	if o.authorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.authorityFile)
	if err != nil {
		return nil, &usageError{Problem: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &usageError{Problem: o.authorityFile + " holds no certificate"}
	}
	return pool, nil
}

func (o *options) operatorKey() (string, error) {
	if o.keyFile == "" {
		if key := o.getenv(envOperatorKey); key != "" {
			return key, nil
		}
		return "", &usageError{Problem: "give the operator's key in $" + envOperatorKey + " or with -key-file"}
	}
	data, err := os.ReadFile(o.keyFile)
	if err != nil {
		return "", &usageError{Problem: err.Error()}
	}
	return strings.TrimSpace(string(data)), nil
}

// printResult writes a value as JSON, or calls printText, as -output selects.
func (o *options) printResult(value any, printText func()) subcommands.ExitStatus {
	if o.output != outputJSON {
		printText()
		return ExitSuccess
	}
	encoder := json.NewEncoder(o.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(o.Err, err)
		return ExitFailure
	}
	return ExitSuccess
}

func (o *options) printf(format string, values ...any) {
	fmt.Fprintf(o.Out, format, values...)
}
