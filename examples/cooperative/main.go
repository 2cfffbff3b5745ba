// Command cooperative declares the deployment of a wine cooperative: 65
// language model servers and 3 booking servers in three availability zones.
package main

import (
	"fmt"
	"time"

	"eelgrassring.dev/declare"
)

func main() {
	deployment().Main()
}

// deployment declares the VMs, groups, services and workspaces of the
// cooperative.
func deployment() *declare.Deployment {
	const servers, size, groups = 65, 4, 16
	// Outside the harvest idle hardware costs more than the downtime of a group.
	d := declare.New("cooperative", declare.Objective{Downtime: 1, Stranded: 3})
	d.Model(declare.Model{Name: "letters", Versions: []string{"7"}, Adapters: []declare.Adapter{{Name: "vintage", Version: "2026"}}})
	for i := range servers {
		domain := i % 4
		d.VM(declare.VM{
			Name:    declare.VMName(fmt.Sprintf("lm-%02d", i+1)),
			Address: fmt.Sprintf("10.30.%d.%d:8000", domain, 10+i/4),
			Zone:    declare.ZoneName([]string{"a", "b", "c", "a"}[domain]), Domain: declare.DomainName(fmt.Sprintf("fabric-%d", domain+1)),
			Accelerators: 4, Fencing: declare.FencingIgnored,
		})
	}
	for i := range groups {
		d.Group(declare.Group{
			Name: declare.GroupName(fmt.Sprintf("letters-%02d", i+1)), Model: "letters", Version: "7",
			Adapters: []declare.AdapterName{"vintage"}, Size: size, Slots: 16,
		})
	}
	d.Service(declare.Service{
		Name: "bookings", Servers: []string{"10.30.0.200:8000", "10.30.1.200:8000", "10.30.2.200:8000"},
		Once: []string{"POST /reservations", "POST /reservations/*"}, Timeout: declare.Timeout(10 * time.Second),
	})
	for i, name := range []string{"buyers", "growers", "cellar", "modra", "bratislava", "pezinok", "trnava", "senec", "svaty-jur", "doma"} {
		weight, limit := 1, 60
		if i < 2 {
			weight, limit = 4, 200
		}
		d.Workspace(declare.Workspace{
			Name: declare.WorkspaceName(name), Weight: weight, Limit: limit,
			Applications: []declare.Application{{
				Name: "letters", Key: declare.HashKey("example-" + name + "-letters"), Priority: declare.PriorityNormal,
				Models: []declare.ModelName{"letters"}, Services: []declare.ServiceName{"bookings"},
			}},
		})
	}
	return d
}
