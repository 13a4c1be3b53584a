package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
)

const validSettings = `{
  "vm": {"name": "vm-1", "failureDomain": "ub-a", "region": "ulaanbaatar"},
  "listen": {"callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081", "peers": "127.0.0.1:8082"},
  "platform": {"objectAPI": "http://127.0.0.1:9000", "vmList": "http://127.0.0.1:9001/vms"},
  "operators": {"keyDigests": {"alice": "` + digest + `"}}
}`

const digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.MaxBodySize != mebibyte || s.Stop.AnnouncePeriod.Value() != 2*time.Second || s.Log.Level != "info" {
		t.Errorf("defaults are missing: %+v", s)
	}
}

func TestParseKeepsExplicitZero(t *testing.T) {
	text := strings.Replace(validSettings, `"operators": {"key`, `"stop": {"announce": "0s"}, "operators": {"key`, 1)
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Stop.AnnouncePeriod != 0 {
		t.Errorf("announce is %v, want 0s", s.Stop.AnnouncePeriod.Value())
	}
}

func TestHandoverAddressIsChecked(t *testing.T) {
	tests := map[string]bool{
		"127.0.0.1:8084": true, "127.0.0.1:8080-8090": true, "[::1]:8080-8090": true, "127.0.0.1:8084-8084": true,
		"127.0.0.1:8090-8080": false, "127.0.0.1": false, "127.0.0.1:8080-": false, "host:1-2": false, "127.0.0.1:8080-70000": false,
	}
	for address, valid := range tests {
		text := strings.Replace(validSettings, `"peers":`, `"handover": "`+address+`", "readiness": "127.0.0.1:8083", "peers":`, 1)
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s is accepted with the interface %q", address, InterfaceOwn)
		}
		text = strings.Replace(text, `"platform": {`, `"platform": {"interface": "objects", `, 1)
		if _, err := Parse([]byte(text)); (err == nil) != valid {
			t.Errorf("%s: %v, want valid %t", address, err, valid)
		}
	}
}

func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	text := `{
	  "vm": {"name": "", "failureDomain": 7, "region": "r", "zone": "z"},
	  "listen": {"callers": "localhost", "operators": "127.0.0.1:8081", "peers": "127.0.0.1:8082", "peers": "x"},
	  "platform": {"objectAPI": "ftp://x", "vmList": "http://127.0.0.1:9001/vms", "vmListPeriod": "1h"},
	  "operators": {"keyDigests": {"alice": "short"}},
	  "limits": {"body": "1GiB", "connections": 0, "receiveWithin": 5},
	  "stop": null,
	  "warmUp": {"tolerance": 0.5, "excess": -1},
	  "log": {"level": "loud"},
	  "experimental": {"exchangePeriod": "-1s"}
	}`
	want := map[string]string{
		"vm.name":                     "1 to 63 letters",
		"vm.failureDomain":            "a string",
		"vm.zone":                     "no such field",
		"listen.callers":              "an IP address and port",
		"listen.peers":                "each name once",
		"platform.objectAPI":          "a URL",
		"platform.vmListPeriod":       "100ms to 1m",
		"operators.keyDigests[alice]": "64 characters",
		"limits.body":                 "1KiB to 64MiB",
		"limits.connections":          "1 to 65536",
		"limits.receiveWithin":        "a string with a unit",
		"stop":                        "an object",
		"warmUp.tolerance":            "1 to 10",
		"warmUp.excess":               "0 to 1000",
		"log.level":                   "one of debug, info, warn, error",
		"experimental.exchangePeriod": "10ms to 1m",
	}
	_, err := Parse([]byte(text))
	var invalid *InvalidSettingsError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	for _, fault := range invalid.Faults {
		allowed, expected := want[fault.Path]
		if !expected || !strings.Contains(fault.Allowed, allowed) {
			t.Errorf("unexpected fault %v", fault)
		}
		delete(want, fault.Path)
	}
	if len(want) > 0 {
		t.Errorf("faults not reported: %v", want)
	}
}

func TestLoadReportsMissingFile(t *testing.T) {
	_, err := Load(t.TempDir() + "/none.json")
	var unreadable *UnreadableSettingsError
	if !errors.As(err, &unreadable) {
		t.Errorf("got %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"vm":[],"limits":{"body":"1KiB"}}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		var invalid *InvalidSettingsError
		if (s == nil) != errors.As(err, &invalid) {
			t.Errorf("Parse returned %v, %v", s, err)
		}
	})
}

func TestExamplesAreValid(t *testing.T) {
	for _, deployment := range []string{"agency", "hoamai"} {
		directory := "../../examples/" + deployment
		if _, err := Load(directory + "/settings.json"); err != nil {
			t.Error(err)
		}
		document, err := os.ReadFile(directory + "/configuration.json")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configuration.Parse(document); err != nil {
			t.Errorf("%s: %v", deployment, err)
		}
	}
}

// parseWith parses valid settings with one more section.
func parseWith(section string) (*Settings, error) {
	return Parse([]byte(strings.Replace(validSettings, `"operators": {`, section+`, "operators": {`, 1)))
}

// The daemon did not start on a machine with more than 1 GiB.
func TestMemoryOfLargeMachines(t *testing.T) {
	for size, valid := range map[string]bool{"15MiB": false, "16MiB": true, "1024MiB": true, "2048MiB": true, "1024GiB": true, "1025GiB": false} {
		s, err := parseWith(`"limits": {"memory": "` + size + `"}`)
		if (err == nil) != valid {
			t.Errorf("%s: got %+v, %v", size, s, err)
		}
	}
}

// The platform gives bounds with fractions, and the daemon did not start with one.
func TestFractionOfFleetFloor(t *testing.T) {
	s, err := parseWith(`"retries": {"part": 0.2, "fleetFloor": 54.5}`)
	if err != nil || s.Retries.MinFleetRetries != 54.5 {
		t.Errorf("got %+v, %v", s, err)
	}
}
