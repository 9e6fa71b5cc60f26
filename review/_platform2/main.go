// Command platform2 plays the cases of the second review that are scripts. It emulates the platform,
// its minions and the clients, and starts the system's processes as deploy/system.toml says.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	machines     = 3
	readyTimeout = 10 * time.Second
	service      = "svc"
	host         = "jobs.example"

	held   = 0 // exit codes
	broken = 1
	failed = 2
)

// cases are the scenarios by name. Each reports whether the rule was broken, or an error if the case
// could not run.
var cases = map[string]func(d *day, trouble bool) (bool, error){
	"reclaim": reclaim, "lasting": lasting, "copy": lostCopy, "pending": pendingJobs, "clock": earlierBirth, "uptime": oldClock,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform2 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, folder string, trouble bool) int {
	d, err := newDay()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)

		return failed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.stop()
		os.Exit(failed)
	}()
	defer d.close(name)
	d.record.add("case %s, trouble %t", name, trouble)
	wrong, err := cases[name](d, trouble)
	code := held
	switch {
	case err != nil:
		d.record.add("the case could not run: %v", err)
		code = failed
	case wrong:
		d.record.add("the rule was broken")
		code = broken
	default:
		d.record.add("the rule held")
	}
	if err := d.record.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)

		return failed
	}
	fmt.Println(d.record.lines[len(d.record.lines)-1])

	return code
}

func newDay() (*day, error) {
	d := &day{record: newRecord(), store: newStore(), client: &http.Client{
		Timeout: deadline + clientSlack, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	var err error
	if d.temp, err = os.MkdirTemp("", "platform2"); err != nil {
		return nil, err
	}
	var ln net.Listener
	for range 20 { // an address block that no one else uses
		d.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if ln, err = net.Listen("tcp", d.net+".1:8524"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, d.store) }()
	d.fleet = &fleet{store: d.store, record: d.record, service: service}

	return d, nil
}

// close ends what the day has started, and removes its files.
func (d *day) close(name string) {
	d.stop()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs of", name, "in", d.temp)

		return
	}
	_ = os.RemoveAll(d.temp)
}

// startVMs starts the machines of the system and waits until they are ready.
func (d *day) startVMs() error {
	for i := range machines {
		if err := d.addVM(i); err != nil {
			return err
		}
	}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if d.ready() && d.planner() != nil {
			time.Sleep(time.Second)
			d.record.add("the system is ready")

			return nil
		}
	}

	return fmt.Errorf("the system is not ready after %v", readyTimeout)
}

// addMinions starts n minions of a kind, all of the same size, with the racks r1, r2 and so on of six
// minions each.
func (d *day) addMinions(n int, kind string) ([]*minion, error) {
	var all []*minion
	for range n {
		i := len(d.fleet.minions)
		m := &minion{
			id: fmt.Sprintf("i-%04x%04x", rand.IntN(1<<16), i), address: fmt.Sprintf("%s.%d:8080", d.net, 100+i), rack: fmt.Sprintf("r%d", 1+i/6),
			cpu: 64000, mem: 262144, gpu: 8, kind: kind,
		}
		if err := d.fleet.add(m); err != nil {
			return nil, err
		}
		all = append(all, m)
	}

	return all, nil
}

// tenantSettings is a tenant in the configuration.
type tenantSettings struct {
	name, key  string
	guaranteed int
}

// configure writes a configuration with one queue for each priority from 0 to 2, and the tenants.
func (d *day) configure(tenants ...tenantSettings) {
	var routes, all []map[string]any
	for p, name := range []string{"urgent", "plain", "batch"} {
		routes = append(routes, map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeType": "non_idempotent", "timeoutMs": 3000, "targetRuntimeMs": 1000,
			"priority": p, "service": service, "attempts": 3, "stretch": 3.0, "public": false,
		})
	}
	for _, t := range tenants {
		all = append(all, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1, "guaranteed": map[string]int{"gpu": t.guaranteed}})
	}
	b, _ := json.Marshal(map[string]any{
		"version": 7, "routes": routes, "tenants": all, "limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "spare": false}},
	})
	d.store.put(names["operator"], "config", b)
}

func urgent(key string) queue { return queue{host, "/urgent/", key} }
func plain(key string) queue  { return queue{host, "/plain/", key} }
func batch(key string) queue  { return queue{host, "/batch/", key} }

// newID returns the ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}

	return condition()
}
