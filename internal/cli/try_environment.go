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
	tryZone      = "endpoints.try." // of the DNS frontend
	tryAgents    = 2                // of the emulated Consul
	tryWaitLimit = 5 * time.Second
	tryWaitPoll  = 10 * time.Millisecond
)

// tryEndpoint is one emulated endpoint, as the catalogue has it.
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

// tryConfig is the platform's configuration of the proxy.
type tryConfig struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Seed     string          `json:"seed"`
	Limits   tryLimits       `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

// tryLimits is the configuration's block of what the process may use.
type tryLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// trySettings are our settings: the DNS frontend's address and zone, and the two agents of the catalogue.
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

// tryEnvironment is a proxy with emulators for all that it talks to. The proxy is this program's own `serve`, as a
// process of its own.
type tryEnvironment struct {
	endpoints  *emulator.Endpoints
	cluster    *consul.Cluster
	agents     []*consul.Agent
	address    string // of the platform's frontend
	dnsAddress string
	dir        string // of the files
	proxy      *exec.Cmd
	exited     chan error // takes the process's end
}

func (environment *tryEnvironment) configPath() string {
	return filepath.Join(environment.dir, "config.json")
}

func (environment *tryEnvironment) settingsPath() string {
	return filepath.Join(environment.dir, "sloequay.conf")
}

func (environment *tryEnvironment) logPath() string { return filepath.Join(environment.dir, "log") }

// start starts the emulators and the proxy, and waits until that is ready.
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
	return environment.awaitReady()
}

// startEmulators starts the endpoints and the Consul that lists them.
func (environment *tryEnvironment) startEmulators() error {
	environment.endpoints = emulator.NewEndpoints(emulator.CachingResponder("o1"))
	environment.cluster = consul.NewCluster()
	for _, endpoint := range tryEndpoints {
		listener, err := environment.endpoints.Add(endpoint.id, "127.0.0.1:0")
		if err != nil {
			return err
		}
		at := listener.Addr().(*net.TCPAddr)
		environment.cluster.Put(consul.Instance{
			Node:    "node-" + endpoint.id,
			Service: endpoint.service,
			ID:      endpoint.id,
			Address: at.IP.String(),
			Port:    at.Port,
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

// writeFiles finds addresses for the proxy to listen on, and writes its configuration and settings.
func (environment *tryEnvironment) writeFiles() error {
	var err error
	if environment.address, err = vacantAddress(); err != nil {
		return err
	}
	if environment.dnsAddress, err = vacantAddress(); err != nil {
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

// vacantAddressAttempts is how many ports are tried.
const vacantAddressAttempts = 20

// vacantAddress finds a loopback address that is free for both TCP and UDP.
func vacantAddress() (string, error) {
	for range vacantAddressAttempts {
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
	return "", errors.New("no free port on loopback")
}

// startProxy starts the process, with its log in a file.
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

// awaitReady waits until the proxy answers and knows all endpoints.
func (environment *tryEnvironment) awaitReady() error {
	for deadline := time.Now().Add(tryWaitLimit); ; time.Sleep(tryWaitPoll) {
		log, _ := os.ReadFile(environment.logPath())
		added := bytes.Count(log, []byte("event=endpoint-added"))
		if emulator.Ready(environment.address) && added >= len(tryEndpoints) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the proxy was not ready within %v; its log:\n%s", tryWaitLimit, log)
		}
	}
}

// close ends all of it: the proxy first, as an operator would.
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

// stopProxy tells the proxy to end, and kills it if it does not.
func (environment *tryEnvironment) stopProxy() error {
	if environment.proxy == nil {
		return nil
	}
	_ = environment.proxy.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-environment.exited:
		return err
	case <-time.After(tryWaitLimit):
		_ = environment.proxy.Process.Kill()
		return errors.New("the proxy did not end by itself")
	}
}
