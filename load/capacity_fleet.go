package main

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cuminhollow.example/depot"
	"cuminhollow.example/standin/fleet"
)

// localFleet is a fleet of nodes that run in this process, with the platform in
// a child process.
type localFleet struct {
	nodes           []*depot.Node
	platformAddress string
	platformCommand *exec.Cmd
	// stopNodes cancels the context of the nodes; nodeGroup waits for them.
	stopNodes context.CancelFunc
	nodeGroup *errgroup.Group
}

// startFleet starts the platform and the nodes. Each node has its own loopback
// address.
func startFleet(ctx context.Context, bin string, nodes, records int) (*localFleet, error) {
	address := fleet.NewHost().PlatformAddress()
	f := &localFleet{platformAddress: address}
	f.platformCommand = exec.CommandContext(ctx, filepath.Join(bin, "platform"), "--listen", address, "--rate", "100000")
	f.platformCommand.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.platformCommand.Start(); err != nil {
		return nil, err
	}
	if err := f.publishAll(ctx, nodes, records); err != nil {
		f.close()
		return nil, err
	}
	ctx, f.stopNodes = context.WithCancel(ctx)
	f.nodeGroup, ctx = errgroup.WithContext(ctx)
	for i := range nodes {
		s, err := depot.ParseSettings("crowd", []byte(nodeSettings(i, address)))
		if err != nil {
			f.close()
			return nil, err
		}
		n, err := depot.New(s)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		f.nodeGroup.Go(func() error { return n.Run(ctx) })
	}
	return f, nil
}

// nodeHost returns the loopback address of the i-th node.
func nodeHost(i int) string { return fmt.Sprintf("127.9.%d.%d", i/250, i%250+1) }

// nodeSettings returns the settings of the i-th node in YAML.
func nodeSettings(i int, platform string) string {
	host := nodeHost(i)
	return fmt.Sprintf(`vm: crowd-%d
service: crowd
region: r
zone: z-%d
listen: {callers: "%s:7001", upstream: "%s:7002", peers: "%s:7003", operators: "%s:7004"}
upstream: {address: "%s:8001", slots: 10, connections: 10}
platform: [%q]
transport: {plain: true}
`, i, i%capacityZones, host, host, host, host, host, platform)
}

// publishAll publishes the roster and the records. It retries the roster until
// the platform accepts connections.
func (f *localFleet) publishAll(ctx context.Context, nodes, records int) error {
	for range 100 {
		if f.publish(ctx, "vms/crowd", rosterYAML(nodes)) == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i := range records {
		name := fmt.Sprintf("kind-%d", i)
		if err := f.publish(ctx, "records/"+name, recordYAML(name, 1)); err != nil {
			return err
		}
	}
	return nil
}

// rosterYAML returns the roster of the fleet in YAML.
func rosterYAML(nodes int) string {
	var b strings.Builder
	b.WriteString("schema: 1\nrevision: 1\nservice: crowd\nvms:\n")
	for i := range nodes {
		fmt.Fprintf(&b, "  - {name: crowd-%d, region: r, zone: z-%d, address: \"%s:7003\", state: live}\n",
			i, i%capacityZones, nodeHost(i))
	}
	return b.String()
}

// recordYAML returns the record of a kind in YAML.
func recordYAML(name string, revision int) string {
	return fleet.FormatRecord(revision, fleet.Kind{Name: name, Service: "crowd", TargetTime: time.Second, Retries: 1, Idempotent: true})
}

// publish stores a document on the platform under key.
func (f *localFleet) publish(ctx context.Context, key, text string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.platformAddress+"/admin/value?key="+key, strings.NewReader(text))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// waitForStatus waits until done holds for the status of every node.
func (f *localFleet) waitForStatus(done func(depot.Status) bool) error {
	deadline := time.Now().Add(2 * time.Minute)
	for _, n := range f.nodes {
		for !done(n.Status()) {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("fleet did not reach the expected status in time")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// controlTraffic returns the control traffic that all nodes have sent so far.
func (f *localFleet) controlTraffic() (bytes, messages int64) {
	for _, n := range f.nodes {
		b, m := n.ControlTraffic()
		bytes += b
		messages += m
	}
	return bytes, messages
}

// waitForRevision waits until every node holds the record of a kind in at least
// the given revision.
func (f *localFleet) waitForRevision(kind string, revision uint64) error {
	deadline := time.Now().Add(propagationTimeout)
	for _, n := range f.nodes {
		for n.Revision(kind) < revision {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("record change did not reach all nodes within %s", propagationTimeout)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// platformReads returns the number of reads that the platform has served.
func (f *localFleet) platformReads(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.platformAddress+"/admin/reads", nil)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	var n int
	_, err = fmt.Fscan(res.Body, &n)
	return n, err
}

// close stops the nodes and the platform.
func (f *localFleet) close() {
	if f.stopNodes != nil {
		f.stopNodes()
		_ = f.nodeGroup.Wait()
	}
	_ = f.platformCommand.Process.Kill()
	_ = f.platformCommand.Wait()
	http.DefaultClient.CloseIdleConnections()
}
