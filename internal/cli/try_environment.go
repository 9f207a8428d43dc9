package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"sloequay/internal/emulator"
	"sloequay/internal/emulator/consul"
)

const (
	tryZone         = "endpoints.try." // zone of the DNS frontend
	tryAgents       = 2                // number of agents of the emulated Consul
	tryWaitTimeout  = 5 * time.Second
	tryPollInterval = 10 * time.Millisecond
)

// tryEndpoint describes an emulated endpoint as it is registered in the catalogue.
type tryEndpoint struct {
	id      string
	service string
	class   string
	site    string
}

var tryEndpoints = []tryEndpoint{
	{"c1", "cache", "std", "edge"},
	{"c2", "cache", "std", "edge"},
	{"c3", "cache", "std", "edge"},
	{"c4", "cache", "std", "edge"},
	{"c5", "cache", "std", "edge"},
	{"p1", "trunk", "parent", "hub"},
	{"p2", "trunk", "parent", "hub"},
	{"o1", "archive", "origin", "hub"},
}

// tryConfig is the platform configuration of the proxy.
type tryConfig struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Seed     string          `json:"seed"`
	Limits   tryLimits       `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

// tryLimits is the block of the platform configuration with the resource limits of the process.
type tryLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// trySettings is the format of the proxy's own settings. Its operands are the address and zone of the DNS frontend, and
// the addresses of the two Consul agents.
const trySettings = `dns {
    listen %s
    zone %s
}
catalogue {
    agent %s %s
    service cache {
    }
    service trunk {
    }
    service archive {
    }
    register {
        service proxy
    }
}
`

// tryEnvironment is a proxy with emulated endpoints and an emulated Consul. The proxy runs in a separate process, which
// is this executable's command `serve`.
type tryEnvironment struct {
	endpoints  *emulator.Endpoints
	cluster    *consul.Cluster
	agents     []*consul.Agent
	address    string // of the RPC frontend
	dnsAddress string // of the DNS frontend
	dir        string // of the configuration files and the log
	proxy      *exec.Cmd
	exited     chan error // receives the result of Wait when the process exits
}

func (environment *tryEnvironment) configPath() string {
	return filepath.Join(environment.dir, "config.json")
}

func (environment *tryEnvironment) settingsPath() string {
	return filepath.Join(environment.dir, "sloequay.conf")
}

func (environment *tryEnvironment) logPath() string { return filepath.Join(environment.dir, "log") }

// start starts the emulators and the proxy, and waits until the proxy is ready.
func (environment *tryEnvironment) start() error {
	if err := environment.startEmulators(); err != nil {
		return err
	}
	if err := environment.writeFiles(); err != nil {
		return err
	}
	if err := environment.startProxy(); err != nil {
		return err
	}
	return environment.waitUntilReady()
}

// startEmulators starts the endpoints and the Consul in which they are registered.
func (environment *tryEnvironment) startEmulators() error {
	environment.endpoints = emulator.NewEndpoints(emulator.CachingResponder("o1"))
	environment.cluster = consul.NewCluster()
	for _, endpoint := range tryEndpoints {
		listener, err := environment.endpoints.Add(endpoint.id, "127.0.0.1:0")
		if err != nil {
			return err
		}
		address := listener.Addr().(*net.TCPAddr)
		environment.cluster.Put(consul.Instance{
			Node:    "node-" + endpoint.id,
			Service: endpoint.service,
			ID:      endpoint.id,
			Address: address.IP.String(),
			Port:    address.Port,
			Meta:    map[string]string{"site": endpoint.site, "class": endpoint.class},
			Weights: consul.Weights{Passing: 8, Warning: 1},
		})
	}
	for i := range tryAgents {
		agent, err := environment.cluster.NewAgent(fmt.Sprint("agent", i))
		if err != nil {
			return err
		}
		environment.agents = append(environment.agents, agent)
	}
	return nil
}

// writeFiles picks free addresses for the proxy to listen on, and writes its platform configuration and settings.
func (environment *tryEnvironment) writeFiles() error {
	var err error
	if environment.address, err = freeAddress(); err != nil {
		return err
	}
	if environment.dnsAddress, err = freeAddress(); err != nil {
		return err
	}
	if environment.dir, err = os.MkdirTemp("", "sloequay-try-"); err != nil {
		return err
	}
	config, err := json.Marshal(tryConfig{
		Name:     "try",
		Listen:   environment.address,
		Seed:     "1",
		Limits:   tryLimits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: json.RawMessage(emulator.Settings),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(environment.configPath(), config, 0o600); err != nil {
		return err
	}
	settings := fmt.Sprintf(trySettings, environment.dnsAddress, tryZone,
		environment.agents[0].Address(), environment.agents[1].Address())
	return os.WriteFile(environment.settingsPath(), []byte(settings), 0o600)
}

// freeAddressAttempts is the maximum number of ports that freeAddress tries.
const freeAddressAttempts = 20

// freeAddress returns a loopback address whose port is free for both TCP and UDP.
func freeAddress() (string, error) {
	for range freeAddressAttempts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if conn, err := net.ListenPacket("udp", address); err == nil {
			_ = conn.Close()
			return address, nil
		}
	}
	return "", errors.New("found no loopback port that is free for both TCP and UDP")
}

// startProxy starts the proxy process, with its log in a file.
func (environment *tryEnvironment) startProxy() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := os.Create(environment.logPath())
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(self, "serve", "--config", environment.configPath(), "--conf", environment.settingsPath())
	process.Stderr = log
	if err := process.Start(); err != nil {
		return err
	}
	environment.proxy = process
	environment.exited = make(chan error, 1)
	go func() { environment.exited <- process.Wait() }()
	return nil
}

// waitUntilReady waits until the proxy reports that it is ready and has added all endpoints.
func (environment *tryEnvironment) waitUntilReady() error {
	for deadline := time.Now().Add(tryWaitTimeout); ; time.Sleep(tryPollInterval) {
		log, _ := os.ReadFile(environment.logPath())
		added := bytes.Count(log, []byte("event=endpoint-added"))
		if emulator.Ready(environment.address) && added >= len(tryEndpoints) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the proxy was not ready within %v; its log:\n%s", tryWaitTimeout, log)
		}
	}
}

// close stops everything, the proxy first as an operator would, and removes the files.
func (environment *tryEnvironment) close() error {
	err := environment.stopProxy()
	for _, agent := range environment.agents {
		agent.Close()
	}
	if environment.endpoints != nil {
		environment.endpoints.Close()
	}
	if environment.dir != "" {
		err = errors.Join(err, os.RemoveAll(environment.dir))
	}
	return err
}

// stopProxy shuts the proxy down by SIGTERM, and kills it if it does not exit within tryWaitTimeout.
func (environment *tryEnvironment) stopProxy() error {
	if environment.proxy == nil {
		return nil
	}
	_ = environment.proxy.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-environment.exited:
		return err
	case <-time.After(tryWaitTimeout):
		_ = environment.proxy.Process.Kill()
		return errors.New("the proxy did not exit in time after SIGTERM and was killed")
	}
}
