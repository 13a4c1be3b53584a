package clustertest

import (
	"testing"

	"hawthornstream/internal/settings"
	"hawthornstream/testbench/fleet"
)

func TestDaemonsWithCertificatesFormAFleet(t *testing.T) {
	authority := newTestAuthority(t)
	opts := options(3)
	opts.AdjustSettings = func(s *settings.Settings) { s.TLS.Peers = authority.issueKeys(string(s.VM.Name)) }
	f := startFleetWith(t, opts)
	checkServed(t, f.Daemons...)
	if rejected := sumMetric(t, f.Daemons, "peer_certificates_rejected"); rejected > 0 {
		t.Errorf("%v certificates were rejected", rejected)
	}
}

func TestDaemonWithoutValidCertificateIsRefused(t *testing.T) {
	cases := []struct {
		name string
		// peerKeys returns keys that must not be accepted under the authority.
		peerKeys func(t *testing.T, authority *testAuthority) *settings.PeerKeys
	}{
		{"no TLS", func(*testing.T, *testAuthority) *settings.PeerKeys { return nil }},
		{"another authority", func(t *testing.T, authority *testAuthority) *settings.PeerKeys {
			keys := newTestAuthority(t).issueKeys("daemon-3")
			keys.Authority = authority.certificatePath()
			return keys
		}},
		{"another daemon's name", func(_ *testing.T, authority *testAuthority) *settings.PeerKeys {
			return authority.issueKeys("daemon-2")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInParallel(t)
			authority := newTestAuthority(t)
			opts := options(3)
			opts.AdjustSettings = func(s *settings.Settings) {
				s.TLS.Peers = authority.issueKeys(string(s.VM.Name))
				if s.VM.Name == "daemon-3" {
					s.TLS.Peers = c.peerKeys(t, authority)
				}
			}
			checkRefused(t, fleet.StartTest(t, opts))
		})
	}
}

// checkRefused fails the test unless the first two daemons refuse the sessions of
// the third.
func checkRefused(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	others := f.Daemons[:2]
	awaitAgreement(t, "the others", others...)
	awaitAgreement(t, "the isolated daemon", f.Daemons[2])
	fleet.Eventually(t, "the others refuse its sessions", func() bool {
		accepted := []string{"side", "accepted", "reason"}
		return sumMetric(t, others, "peer_sessions_closed", append(accepted, "refused")...)+
			sumMetric(t, others, "peer_sessions_closed", append(accepted, "tls-failed")...) > 0
	})
	surplus := sumMetric(t, others, "peer_sessions_accepted") - sumMetric(t, others, "peer_sessions_opened")
	if surplus > 0 {
		t.Errorf("the other daemons accepted %v sessions more than they opened to each other", surplus)
	}
	checkServed(t, f.Daemons...)
}
