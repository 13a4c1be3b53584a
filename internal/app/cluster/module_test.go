package cluster

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"

	"hawthornstream/internal/app/workpool"
	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// failsafe ends a test whose condition never holds.
const failsafe = 60 * time.Second

// listServer answers as the platform's VM list.
type listServer struct {
	*httptest.Server
	mu  sync.Mutex
	vms []ports.VM
}

func startList(t *testing.T) *listServer {
	l := &listServer{}
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"vms": l.vms})
	}))
	t.Cleanup(l.Close)
	return l
}

func (l *listServer) set(vms []ports.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

// daemon is the cluster module of one daemon.
type daemon struct {
	app       *fxtest.App
	directory ports.Directory
	leaver    ports.Leaver
	revisions ports.RevisionExchange
	readiness []ports.ReadinessCheck
}

type readinessIn struct {
	fx.In
	Checks []ports.ReadinessCheck `group:"readiness"`
}

func newDaemon(t *testing.T, vm ports.VM, listURL string) *daemon {
	t.Helper()
	d := &daemon{}
	s := &settings.Settings{
		VM:       settings.VM{Name: vm.Name, FailureDomain: vm.Domain, Region: vm.Region},
		Listen:   settings.Listen{Peers: vm.Address},
		Platform: settings.Platform{VMList: listURL, VMListPeriod: configuration.Duration(100 * time.Millisecond)},
	}
	d.app = fxtest.New(t,
		fx.Supply(s, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}),
		fx.Provide(func(lifecycle fx.Lifecycle) *workpool.Pool {
			pool := workpool.New(2)
			lifecycle.Append(fx.StopHook(pool.Stop))
			return pool
		}),
		fx.Provide(func() tally.Scope { return tally.NewTestScope("", nil) }),
		Module,
		ListModule,
		fx.Populate(&d.directory, &d.leaver, &d.revisions),
		fx.Invoke(func(in readinessIn) { d.readiness = in.Checks }),
	)
	return d
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(failsafe); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func daemonVM(t *testing.T, name, domain string) ports.VM {
	return ports.VM{
		Name:    ports.VMName(name),
		Kind:    ports.VMKindDaemon,
		Domain:  ports.FailureDomain(domain),
		Region:  ports.Region("region-" + domain),
		Address: freeAddress(t),
	}
}

func backendVM(name, domain string) ports.VM {
	return ports.VM{
		Name:    ports.VMName(name),
		Kind:    ports.VMKindBackend,
		Domain:  ports.FailureDomain(domain),
		Region:  ports.Region("region-" + domain),
		Service: "sds-drafter",
		Address: "127.0.0.1:9",
	}
}

func TestDaemonsAgreeOnPlacementAndTakeOverRoles(t *testing.T) {
	list := startList(t)
	vms := []ports.VM{daemonVM(t, "vm-a", "a"), daemonVM(t, "vm-b", "b"), daemonVM(t, "vm-c", "c")}
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		vms = append(vms, backendVM(name, "a"))
	}
	list.set(vms)
	var daemons []*daemon
	for _, vm := range vms[:3] {
		daemons = append(daemons, newDaemon(t, vm, list.URL))
	}
	var observed sync.Map
	daemons[0].revisions.ExchangeRevisions(func() uint64 { return 1 }, func(from ports.DaemonID, revision uint64) {
		observed.Store(from, revision)
	})
	daemons[1].revisions.ExchangeRevisions(func() uint64 { return 7 }, func(ports.DaemonID, uint64) {})
	for _, d := range daemons {
		d.app.RequireStart()
	}
	for _, d := range daemons {
		eventually(t, "each daemon sees all and the shard's owner in its domain", func() bool {
			shards := d.directory.Shards("sds-drafter")
			return len(d.directory.Daemons()) == 3 && len(shards) == 1 && shards[0].Owner == "vm-a"
		})
		if reason := d.readiness[0].Reason(); reason != "" {
			t.Errorf("not ready: %s", reason)
		}
		if got, want := d.directory.KeyOwner("key"), daemons[0].directory.KeyOwner("key"); got != want {
			t.Errorf("key owner %s, want %s", got, want)
		}
	}
	eventually(t, "the revision rides on the probes", func() bool {
		revision, ok := observed.Load(ports.DaemonID("vm-b"))
		return ok && revision == uint64(7)
	})
	daemons[0].leaver.Leave()
	for _, d := range daemons {
		eventually(t, "another daemon owns the shard", func() bool {
			return d.directory.Shards("sds-drafter")[0].Owner != "vm-a"
		})
	}
	daemons[1].app.RequireStop()
	eventually(t, "the stopped daemon is gone", func() bool {
		return len(daemons[2].directory.Daemons()) == 1
	})
	daemons[0].app.RequireStop()
	daemons[2].app.RequireStop()
}

func TestDaemonWithoutListAndPeersIsNotReady(t *testing.T) {
	list := startList(t)
	list.Close()
	d := newDaemon(t, daemonVM(t, "vm-a", "a"), list.URL)
	d.app.RequireStart()
	if d.readiness[0].Reason() == "" {
		t.Error("ready without a VM list and without peers")
	}
	d.app.RequireStop()
}
