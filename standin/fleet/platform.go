package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
)

func (f *Fleet) startPlatform() error {
	address := NewHost().PlatformAddress()
	f.PlatformAddress = address
	args := []string{"--listen", address}
	if f.plan.PlatformRate > 0 {
		args = append(args, "--rate", fmt.Sprint(f.plan.PlatformRate))
	}
	var err error
	f.Platform, err = startProcess(filepath.Join(f.bin, "platform"), filepath.Join(f.dir, "platform.log"), args...)
	if err != nil {
		return err
	}
	return f.waitFor(func() bool {
		res, err := f.client.Get("http://" + address + "/admin/reads")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return true
	})
}

func (f *Fleet) publishAll() error {
	for kind, text := range f.plan.Records {
		if err := f.Publish("records/"+kind, text); err != nil {
			return err
		}
	}
	for _, s := range f.plan.Services {
		if err := f.PublishRoster(s.Name); err != nil {
			return err
		}
	}
	return nil
}

// PublishRoster publishes the roster of a service at its next revision.
func (f *Fleet) PublishRoster(service string) error {
	f.rosterRevisions[service]++
	var vms []*VM
	for _, v := range f.VMs {
		if v.Service == service {
			vms = append(vms, v)
		}
	}
	return f.Publish("vms/"+service, formatRoster(f.rosterRevisions[service], service, vms))
}

// Publish stores a document under key on the platform.
func (f *Fleet) Publish(key, text string) error {
	q, err := http.NewRequest(http.MethodPut, "http://"+f.PlatformAddress+"/admin/value?key="+key, strings.NewReader(text))
	if err != nil {
		return err
	}
	return f.expectOK(q)
}

// SetPlatformMode sets the mode of the platform: "up", "down" (every read fails)
// or "stale" (reads return the copy that SnapshotPlatform saved).
func (f *Fleet) SetPlatformMode(mode string) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+f.PlatformAddress+"/admin/mode?mode="+mode, nil)
	if err != nil {
		return err
	}
	return f.expectOK(q)
}

// SnapshotPlatform saves the current documents as the copy that mode "stale"
// serves.
func (f *Fleet) SnapshotPlatform() error {
	q, err := http.NewRequest(http.MethodPost, "http://"+f.PlatformAddress+"/admin/mark", nil)
	if err != nil {
		return err
	}
	return f.expectOK(q)
}

// PlatformReads returns the read counter of the platform. Reads that its rate
// limit rejects do not count; a watch counts once for each time it wakes up.
func (f *Fleet) PlatformReads() (int, error) {
	return f.getInt("http://" + f.PlatformAddress + "/admin/reads")
}

// Attempts returns the number of calls that reached a VM's upstream, including
// those that it rejected.
func (f *Fleet) Attempts(v *VM) (int, error) {
	return f.getInt("http://" + v.UpstreamAddress + "/admin/attempts")
}

func (f *Fleet) getInt(url string) (int, error) {
	res, err := f.client.Get(url)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	var n int
	err = json.NewDecoder(res.Body).Decode(&n)
	return n, err
}

// SetUpstream changes the behaviour of a VM's upstream. The query holds any of
// service-time, failing and draining, for example "service-time=1s".
func (f *Fleet) SetUpstream(v *VM, query string) error {
	q, err := http.NewRequest(http.MethodPost, "http://"+v.UpstreamAddress+"/admin/set?"+query, nil)
	if err != nil {
		return err
	}
	return f.expectOK(q)
}

func (f *Fleet) expectOK(q *http.Request) error {
	res, err := f.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", q.Method, q.URL, res.StatusCode)
	}
	return nil
}
