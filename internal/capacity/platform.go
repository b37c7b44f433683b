package capacity

import (
	"context"
	"time"

	"siskinrouter/internal/platform"
)

const platformPhase = 10 * time.Second

// measurePlatform counts the platform calls of a watch holder. A VM alone in its failure domain is one.
func measurePlatform(ctx context.Context, r *run) error {
	calls, err := r.platformCalls(ctx, elsewhere(plannedVMs(r.count(int(Default().VMs)))))
	r.set("platform.holder", calls)
	return err
}

// platformCalls returns the calls per second of a daemon after its start.
func (r *run) platformCalls(ctx context.Context, vms []platform.VM) (float64, error) {
	d := deployment(1, 1)
	g, addresses, err := targets(d)
	if err != nil {
		return 0, err
	}
	defer g.Close()
	st := newStore()
	n, err := startNode(d, addresses, st, probeSlow)
	if err != nil {
		return 0, err
	}
	defer n.stop()
	peer, _, err := peerOf(n.fleet)
	if err != nil {
		return 0, err
	}
	if err := joined(ctx, peer, st, vms); err != nil {
		return 0, err
	}
	before := st.calls.Load()
	time.Sleep(r.time(platformPhase))
	return float64(st.calls.Load()-before) / r.time(platformPhase).Seconds(), nil
}
