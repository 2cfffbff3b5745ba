// Command ferrando declares the deployment of a laboratory that drafts ore
// grade reports: 65 drafting servers and 3 records servers in three
// availability zones. With -demo it declares a small deployment on loopback.
package main

import (
	"flag"
	"fmt"
	"time"

	"eelgrassring.dev/declare"
)

func main() {
	isDemo := flag.Bool("demo", false, "declare the small deployment that make demo uses")
	flag.Parse()
	if *isDemo {
		demo().Main()
		return
	}
	full().Main()
}

// objective weighs a group's downtime against idle hardware. Downtime keeps a
// drill crew waiting, which costs more than idle hardware.
var objective = declare.Objective{Downtime: 3, Stranded: 1}

// models declares the drafting model with its versions and adapters.
func models(d *declare.Deployment) {
	d.Model(declare.Model{
		Name: "drafting", Versions: []string{"3", "4"},
		Adapters: []declare.Adapter{{Name: "assay", Version: "2"}, {Name: "narrative", Version: "5"}},
	})
}

// records declares the records service, whose sign-offs are non-idempotent, on
// the given servers.
func records(d *declare.Deployment, servers ...string) {
	d.Service(declare.Service{
		Name: "records", Servers: servers, Once: []string{"POST /signoffs"}, Timeout: declare.Timeout(10 * time.Second),
	})
}

// workspace returns a workspace with two applications. weight is its share of
// starts when requests are queued, limit its maximum of running requests.
func workspace(name string, weight, limit int) declare.Workspace {
	return declare.Workspace{
		Name: declare.WorkspaceName(name), Weight: weight, Limit: limit,
		Applications: []declare.Application{
			{
				Name: "reports", Key: declare.HashKey("example-" + name + "-reports"), Priority: declare.PriorityNormal,
				Models: []declare.ModelName{"drafting"}, Services: []declare.ServiceName{"records"},
			},
			{
				Name: "assays", Key: declare.HashKey("example-" + name + "-assays"), Priority: declare.PriorityHigh,
				Models: []declare.ModelName{"drafting"},
			},
		},
	}
}

// full declares the production deployment of 65 drafting servers.
func full() *declare.Deployment {
	const servers, size, groups = 65, 4, 15
	d := declare.New("ferrando", objective)
	models(d)
	for i := range servers {
		domain := i % 5
		d.VM(declare.VM{
			Name:    declare.VMName(fmt.Sprintf("draft-%02d", i+1)),
			Address: fmt.Sprintf("10.20.%d.%d:8000", domain, 10+i/5),
			Zone:    declare.ZoneName([]string{"a", "b", "c", "a", "b"}[domain]), Domain: declare.DomainName(fmt.Sprintf("fabric-%d", domain+1)),
			Accelerators: 4, Fencing: declare.FencingChecked,
		})
	}
	for i := range groups {
		d.Group(declare.Group{
			Name: declare.GroupName(fmt.Sprintf("drafting-%02d", i+1)), Model: "drafting", Version: "3",
			Adapters: []declare.AdapterName{"assay", "narrative"}, Size: size, Slots: 16,
		})
	}
	records(d, "10.20.0.200:8000", "10.20.1.200:8000", "10.20.2.200:8000")
	for i, name := range []string{"minas", "cerro", "puna", "altura", "salar", "veta", "quebrada", "norte", "sierra", "valle"} {
		weight, limit := 1, 60
		if i < 3 {
			weight, limit = 3, 160
		}
		d.Workspace(workspace(name, weight, limit))
	}
	return d
}

// demo declares a deployment of 12 servers on loopback, half of which do not
// check epochs.
func demo() *declare.Deployment {
	d := declare.New("ferrando-demo", objective)
	models(d)
	for i := range 12 {
		domain := i / 6
		fencing := declare.FencingChecked
		if domain == 1 {
			fencing = declare.FencingIgnored
		}
		d.VM(declare.VM{
			Name:    declare.VMName(fmt.Sprintf("vm-%02d", i+1)),
			Address: fmt.Sprintf("127.0.0.1:%d", 9101+i),
			Zone:    declare.ZoneName([]string{"a", "b"}[domain]), Domain: declare.DomainName(fmt.Sprintf("fabric-%d", domain+1)),
			Accelerators: 4, Fencing: fencing,
		})
	}
	for i := range 2 {
		d.Group(declare.Group{
			Name: declare.GroupName(fmt.Sprintf("drafting-%d", i+1)), Model: "drafting", Version: "3",
			Adapters: []declare.AdapterName{"assay"}, Size: 4, Slots: 16, Domain: declare.DomainName(fmt.Sprintf("fabric-%d", i+1)),
		})
	}
	records(d, "127.0.0.1:9201")
	d.Workspace(workspace("minas", 3, 40), workspace("cerro", 1, 20))
	return d
}
