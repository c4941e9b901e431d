package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"fireflyshift/internal/standin/fleet"
	"fireflyshift/platform"
	"fireflyshift/platform/platformtest"
)

// The demo of the users' platform runs a stand-in for the store, two engines and a plain service inside this process,
// and three daemons, each at its own loopback address.
const (
	loopbackPrefix = "127.79.0."
	demoDomain     = "demo.example"
	apiKey         = "demo-key"
	streamEvents   = 6
)

func (d *demo) runPlatform() error {
	var err error
	if d.workDir, err = os.MkdirTemp("", "fireflyshift-demo-"); err != nil {
		return err
	}
	store := platformtest.NewStore()
	storeAddr := loopbackPrefix + "250:18225"
	defer fleet.ServeAt(storeAddr, store)()
	store.Put("op/config", platformtest.Config(1, []platformtest.Route{
		{Host: demoDomain, Prefix: "/review/", Kind: "streaming", Service: "models", TimeoutMS: 8000, TargetMS: 800, Attempts: 2, Resumable: true},
		{Host: demoDomain, Prefix: "/check/", Kind: "idempotent", Service: "web", TimeoutMS: 2000, TargetMS: 200, Attempts: 2, Priority: 1},
	}, []platformtest.Workspace{{Name: "demo", Keys: []string{apiKey}}}))
	var backends []*platformtest.Backend
	for i, service := range []string{"models", "models", "web"} {
		events := streamEvents
		if service == "web" {
			events = 0
		}
		b, err := platformtest.StartBackend(fmt.Sprintf("%s-%d", service, i), service, "zone-a", loopbackPrefix+"200:0", events, 5*time.Millisecond)
		if err != nil {
			return err
		}
		defer b.Close()
		store.Put(b.Key(), b.Registration("ready"))
		backends = append(backends, b)
	}
	for i := 1; i <= 3; i++ {
		if err := d.startPlatformHost(i, storeAddr); err != nil {
			return err
		}
	}
	fmt.Println("One engine cuts off each request's first response in the middle; reviews resume at the other engine.")
	backends[0].Always(platformtest.CutsAnswer)
	d.sendPlatform(backends)
	return d.printPlatformStatus()
}

func (d *demo) startPlatformHost(i int, store string) error {
	ip := fmt.Sprintf("%s%d", loopbackPrefix, i)
	file := platformtest.Settings(fmt.Sprintf("host-%d", i), ip, "zone-a", store, []string{loopbackPrefix + "1"})
	data, err := json.Marshal(file)
	if err != nil {
		return err
	}
	path := filepath.Join(d.workDir, fmt.Sprintf("host-%d.json", i))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if err := os.Setenv(platform.SettingsEnv, path); err != nil {
		return err
	}
	if err := d.start("fireflyshiftd", "--platform"); err != nil {
		return err
	}
	ready := fleet.WaitUntil(startTimeout, func() bool { return platformtest.Ready(ip) })
	if !ready {
		return fmt.Errorf("host %s is not ready after %s", ip, startTimeout)
	}
	return nil
}

// sendPlatform sends requests to the hosts in turn and compares each response with the exact text expected.
func (d *demo) sendPlatform(backends []*platformtest.Backend) {
	for i := 0; i < 12; i++ {
		ip := fmt.Sprintf("%s%d", loopbackPrefix, 1+i%3)
		id := fmt.Sprintf("demo-%d", i)
		path, want := "/review/x", platformtest.Stream(0, streamEvents)
		if i%4 == 3 {
			path, want = "/check/x", "whole answer of "+id
		}
		body, from, err := platformtest.Call(ip, demoDomain, path, apiKey, id)
		if err != nil || body != want {
			d.failures++
			fmt.Printf("%-12s %-10s wrong response: %v %q\n", ip, path, err, body)
			continue
		}
		fmt.Printf("%-12s %-10s complete, started by %s\n", ip, path, from)
	}
	for _, b := range backends {
		fmt.Printf("%s ran %d requests\n", b.ID, len(b.Runs()))
	}
}

func (d *demo) printPlatformStatus() error {
	cmd := exec.Command(filepath.Join(d.binDir, "fireflyctl"), "status", "--host", loopbackPrefix+"1"+platformtest.ControlPort, "--host", loopbackPrefix+"2"+platformtest.ControlPort)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}
