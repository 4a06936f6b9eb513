package proof

import (
	"testing"
	"time"

	"cuminhollow.example/standin/fleet"
)

// faultDuration is how long a fault of a pair lasts.
const faultDuration = 900 * time.Millisecond

// TestTwoFaults plays pairs of faults at once under load and checks that no work
// runs twice and that every reported outcome is correct.
func TestTwoFaults(t *testing.T) {
	stop := func(t *testing.T, p *fleet.Process) {
		if err := p.Terminate(5 * time.Second); err != nil {
			t.Errorf("planned stop: got %v, want exit status 0", err)
		}
		restart(t, p)
	}
	kill := func(t *testing.T, p *fleet.Process) {
		p.Kill()
		time.Sleep(faultDuration / 3)
		restart(t, p)
	}
	pause := func(p *fleet.Process) {
		p.Pause()
		time.Sleep(faultDuration)
		p.Resume()
	}
	tests := []struct {
		name string
		// loss is the share of answers that upstreams lose.
		loss          float64
		first, second func(t *testing.T, f *fleet.Fleet, owner, entry *fleet.VM)
	}{
		{
			name:  "owner stops, another one's connections break",
			first: func(t *testing.T, _ *fleet.Fleet, owner, _ *fleet.VM) { stop(t, owner.Node) },
			second: func(_ *testing.T, f *fleet.Fleet, _, _ *fleet.VM) {
				for range 4 {
					time.Sleep(faultDuration / 4)
					f.Relay(f.ServiceVMs("certifying")[1]).CloseConnections()
				}
			},
		},
		{
			name:   "entry pauses, owner is killed",
			first:  func(_ *testing.T, _ *fleet.Fleet, _, entry *fleet.VM) { pause(entry.Node) },
			second: func(t *testing.T, _ *fleet.Fleet, owner, _ *fleet.VM) { kill(t, owner.Node) },
		},
		{
			name:   "owner pauses, entry stops",
			first:  func(_ *testing.T, _ *fleet.Fleet, owner, _ *fleet.VM) { pause(owner.Node) },
			second: func(t *testing.T, _ *fleet.Fleet, _, entry *fleet.VM) { stop(t, entry.Node) },
		},
		{
			name: "answers are lost, owner stops", loss: 0.1,
			first:  func(t *testing.T, _ *fleet.Fleet, owner, _ *fleet.VM) { stop(t, owner.Node) },
			second: func(*testing.T, *fleet.Fleet, *fleet.VM, *fleet.VM) {},
		},
		{
			name: "platform is down, owner is killed and another one silent",
			first: func(t *testing.T, f *fleet.Fleet, owner, _ *fleet.VM) {
				if err := f.SetPlatformMode("down"); err != nil {
					t.Error(err)
				}
				kill(t, owner.Node)
			},
			second: func(_ *testing.T, f *fleet.Fleet, _, _ *fleet.VM) { f.Relay(f.ServiceVMs("certifying")[1]).Blackhole() },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := certifyPlan(3, 20*time.Millisecond, 2)
			plan.Services[1].Loss = tt.loss
			f := startFleet(t, plan)
			owner, entry := f.ServiceVMs("certifying")[0], f.ServiceVMs("desk")[0]
			results := generateLoadFor(f.ServiceVMs("desk"), "certificate", 16, 3*faultDuration, func() {
				time.Sleep(faultDuration / 2)
				done := make(chan struct{})
				go func() {
					defer close(done)
					tt.second(t, f, owner, entry)
				}()
				tt.first(t, f, owner, entry)
				<-done
			})
			checkOutcomes(t, f, "certificate", results.all())
			if got, want := results.count("answered"), 200; got < want {
				t.Errorf("answered: got %d, want at least %d", got, want)
			}
		})
	}
}

func restart(t *testing.T, p *fleet.Process) {
	t.Helper()
	if err := p.Restart(); err != nil {
		t.Error(err)
	}
}
