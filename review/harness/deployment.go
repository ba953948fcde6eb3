package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
)

// deployment is a small deployment: the platform's store, servers and machines.
type deployment struct {
	root, dir string // The repository, and a temporary folder.
	rec       *record
	store     *rcfakestore.Store
	storeAddr string
	servers   []*server
	nodes     []*node
	octet     int // Third number of the addresses of machines.

	mu        sync.Mutex
	storeDown bool
}

func newDeployment(root string, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, rec: rec, store: rcfakestore.New(), octet: 1 + os.Getpid()%250}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = l.Addr().String()
	go http.Serve(l, d.store) // Ends with this process.
	return d, nil
}

// close ends all processes. The logs of the machines are kept if keepLogs is set.
func (d *deployment) close() {
	for _, m := range d.nodes {
		m.stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(d.dir) // What is left lies in a temporary folder.
		return
	}
	fmt.Println("logs are in", d.dir)
}

// setStoreDown takes the store away, without an answer to any call, or brings it back.
func (d *deployment) setStoreDown(down bool) {
	d.mu.Lock()
	d.storeDown = down
	d.mu.Unlock()
	d.rec.add("store: down %v", down)
	if down {
		d.store.SetFault(rcfakestore.Unresponsive)
	} else {
		d.store.SetFault(rcfakestore.None)
	}
}

func (d *deployment) storeIsUp() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.storeDown
}

// addServer starts a server of a service.
func (d *deployment) addServer(s *server, software string) error {
	s.d, s.id = d, fmt.Sprintf("i-%02d", len(d.servers)+1)
	d.servers = append(d.servers, s)
	return s.start(software)
}

// addNodes starts machines and waits until they are ready.
func (d *deployment) addNodes(n, memoryMB int) error {
	for k := range n {
		m, err := newNode(d, k+1)
		if err != nil {
			return err
		}
		m.memoryMB = memoryMB
		d.nodes = append(d.nodes, m)
	}
	for _, m := range d.nodes {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range d.nodes {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// putConfig writes a desired state as the operator does.
func (d *deployment) putConfig(c config) {
	d.store.Put("op", "config", c)
	d.rec.add("operator: desired state %d acknowledged", c.Version)
}

// config is a desired state.
type config struct {
	Version  int
	Routes   []route
	Services []map[string]any
	Limits   map[string]int
	Tenants  []tenant
}

type route struct {
	Name, Hostname, Prefix, Kind         string
	TimeoutMs, TargetLatencyMs, Priority int
	Service                              string
	MaxAttempts                          int
	AllowAnonymous, Sticky, Resumable    bool
	GapAimMs                             int `json:",omitempty"`
}

type tenant struct {
	Name     string
	APIKeys  []string `json:"ApiKeys"`
	Priority int
	Isolated bool
}

const (
	modelName    = "daka510000"
	modelService = "advisor"
	plainService = "desk"
	adviceHost   = "advice.example"
	deskHost     = "desk.example"
	advicePath   = "/advice/1"
	lookupPath   = "/lookup/1"
	bookingPath  = "/booking/1"
)

// newConfig returns the desired state of a small deployment like that of Riga.
func newConfig() config {
	return config{
		Version: 3,
		Routes: []route{
			{Name: "r-advice", Hostname: adviceHost, Prefix: "/advice/", Kind: "streaming", TimeoutMs: 6000, TargetLatencyMs: 600, Priority: 1, Service: modelService, MaxAttempts: 2, Sticky: true, Resumable: true, GapAimMs: 300},
			{Name: "r-lookup", Hostname: deskHost, Prefix: "/lookup/", Kind: "idempotent", TimeoutMs: 800, TargetLatencyMs: 150, Priority: 2, Service: plainService, MaxAttempts: 2},
			{Name: "r-booking", Hostname: deskHost, Prefix: "/booking/", Kind: "non_idempotent", TimeoutMs: 800, TargetLatencyMs: 150, Priority: 2, Service: plainService, MaxAttempts: 1},
		},
		Services: []map[string]any{
			{"Name": modelService, "HealthCheckPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCapacityTokens": 105812, "KvTokenBytes": 163840, "LinkMbps": 740000.0, "MaxInFlight": 12, "Models": []any{map[string]any{"Name": modelName}},
			}},
			{"Name": plainService, "HealthCheckPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false},
		},
		Limits: map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		Tenants: []tenant{
			{Name: "sese880", APIKeys: []string{"ctnfzs989anu6wsjnban"}, Priority: 1},
			{Name: "toto113", APIKeys: []string{"fqasnmgkcuyj8pjbvk9m"}, Priority: 1},
		},
	}
}

// advice returns a first client attempt on the resumable route.
func advice(id string, key string) request {
	return request{
		id: id, method: http.MethodPost, host: adviceHost, path: advicePath, key: key, body: []byte("prompt of " + id), deadline: 6 * time.Second,
		model: modelName, parts: "5c1e07a2:800,91bd3f06:410,e44" + id + ":250", usage: "1460,80",
	}
}
