package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is a VM of the deployment: a server and the node beside it.
type machine struct {
	name, ip, zone, service, serverID string
	server                            *appServer
	cmd                               *exec.Cmd
}

// Ports of all machines; each has an address of its own.
const (
	portServer   = "8301"
	portReady    = "8302"
	portOutbound = "8304"
	portPeers    = "7620"
)

func (m *machine) at(port string) string { return m.ip + ":" + port }

// bounds are those of the settings of a small deployment.
var bounds = map[string]string{
	"addrReuseS": "2", "graceS": "6", "retryBudgetRatio": "0.2", "retrySlack": "49", "budgetWindowS": "10",
}

// settings fills in the template of the deploy file.
func (m *machine) settings(template, storeAddress string, zones map[string]string) string {
	text := func(v any) string {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		return string(b)
	}
	pairs := []string{
		"{{nodeName|json}}", text(m.name),
		"{{service|json}}", text(m.service),
		"{{region|json}}", text(zones[m.zone]),
		"{{zone|json}}", text(m.zone),
		"{{listenAddrs.outbound|json}}", text(m.at(portOutbound)),
		"{{listenAddrs.ready|json}}", text(m.at(portReady)),
		"{{ip}}", m.ip,
		"{{internalPorts.0}}", portPeers,
		"{{appAddr|json}}", text(m.at(portServer)),
		"{{seedNodes|json}}", "[]",
		"{{platform.address|json}}", text(storeAddress),
		"{{zones|json}}", text(zones),
		"{{limits.memoryMb}}", "284",
		"{{limits.maxFds}}", "4100",
	}
	for name, value := range bounds {
		pairs = append(pairs, "{{bounds."+name+"}}", value)
	}
	out := strings.NewReplacer(pairs...).Replace(template)
	if strings.Contains(out, "{{") {
		panic("the template of the deploy file has a field that this stand-in does not know")
	}
	return out
}

// start runs the node with the command of the deploy file.
func (m *machine) start(root, folder, storeAddress string, zones map[string]string) error {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.yaml"))
	if err != nil {
		return err
	}
	file := filepath.Join(folder, m.name+".boot")
	if err := os.WriteFile(file, []byte(m.settings(string(template), storeAddress, zones)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.cmd = exec.Command(filepath.Join(root, "target", "node"), "run", "--settings", file)
	m.cmd.Dir = root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CUMINHOLLOW_NODE_FILE=" + file}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return m.cmd.Start()
}

// kill ends the process.
func (m *machine) kill() {
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
	}
}

// awaitReady waits until the node answers 200 to the question whether it is ready.
func (m *machine) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + m.at(portReady) + "/-/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %s", m.name, limit)
}
