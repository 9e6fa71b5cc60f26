package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const maintenance = 2 * time.Second

type (
	// cloud is the API that controls the workers' machines.
	cloud struct {
		d       *driver
		address string

		mu     sync.Mutex
		tokens map[string]int64
		done   map[string]bool // machines that had their upkeep
		down   map[string]bool
		begun  []upkeep

		// late decides whether an order gets no answer and is carried out later. May be nil.
		late func(machine string) bool
		// kept holds the orders that are to be carried out late.
		kept chan string
	}

	upkeep struct {
		machine string
		at      time.Time
		others  int // machines of the wave that were down then
	}
)

func newCloud(d *driver) *cloud {
	c := &cloud{d: d, tokens: map[string]int64{}, done: map[string]bool{}, down: map[string]bool{}, kept: make(chan string, 100)}
	m := http.NewServeMux()
	m.HandleFunc("GET /machines", c.list)
	m.HandleFunc("POST /machine-upkeep", c.order)
	c.address = listen(d, m)

	return c
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machines := []map[string]any{}
	for _, k := range c.d.workers {
		state := "up"
		if c.down[k.machine] {
			state = "upkeep"
		}
		machines = append(machines, map[string]any{
			"machine": k.machine, "pool": serviceName, "state": state, "zone": "z1", "labels": k.labels,
			names["capacity"]: map[string]int{"cpu": 32000, names["memory"]: 65536, "gpu": 8}, "id": k.id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": nil})
}

func (c *cloud) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})

		return
	}
	var token int64
	_ = json.Unmarshal([]byte(r.Header.Get("Fencing-Token")), &token)
	c.d.note("cloud: upkeep of %s ordered by %s, fencing token %d", o.Machine, r.Header.Get("Lease-Holder"), token)
	if c.late != nil && c.late(o.Machine) {
		c.d.note("cloud: that order gets no answer and will be carried out late")
		go func() {
			c.kept <- o.Machine
		}()
		c.mu.Lock()
		c.lateToken(o.Machine, token)
		c.mu.Unlock()
		<-r.Context().Done()

		return
	}
	status, reason := c.execute(o.Machine, token)
	reply(w, status, map[string]any{"reason": reason})
}

// lateTokens holds the fencing tokens of the orders to be carried out late, by machine.
var lateTokens = map[string]int64{}

func (c *cloud) lateToken(machine string, token int64) { lateTokens[machine] = token }

// executeLate carries out a kept order.
func (c *cloud) executeLate(machine string) {
	c.mu.Lock()
	token := lateTokens[machine]
	c.mu.Unlock()
	status, reason := c.execute(machine, token)
	c.d.note("cloud: the late order for %s is carried out: %d %s", machine, status, reason)
}

func (c *cloud) execute(machine string, token int64) (int, string) {
	var k *worker
	for _, x := range c.d.workers {
		if x.machine == machine {
			k = x
		}
	}
	if k == nil {
		return http.StatusBadRequest, ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case token < c.tokens[machine]:
		return http.StatusConflict, "fence"
	case c.done[machine]:
		c.tokens[machine] = token

		return http.StatusOK, ""
	}
	c.tokens[machine] = token
	c.begun = append(c.begun, upkeep{machine, time.Now(), len(c.down)})
	c.d.note("cloud: upkeep of %s begins while %d others are down", machine, len(c.down))
	c.done[machine], c.down[machine] = true, true
	k.crash("goes down for upkeep")
	go func() {
		time.Sleep(maintenance)
		c.mu.Lock()
		delete(c.down, machine)
		c.mu.Unlock()
		k.start()
	}()

	return http.StatusOK, ""
}
