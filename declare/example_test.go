package declare_test

import (
	"fmt"
	"os"

	"eelgrassring.dev/declare"
)

// Print writes the configuration with the items of each section sorted by name.
func ExampleDeployment_Print() {
	d := declare.New("small", declare.Objective{Downtime: 1})
	d.VM(
		declare.VM{Name: "vm-2", Address: "127.0.0.1:9102", Zone: "a", Domain: "f", Accelerators: 4, Fencing: declare.FencingChecked},
		declare.VM{Name: "vm-1", Address: "127.0.0.1:9101", Zone: "a", Domain: "f", Accelerators: 4, Fencing: declare.FencingChecked},
	)
	d.Model(declare.Model{Name: "m", Versions: []string{"1"}})
	d.Group(declare.Group{Name: "g", Model: "m", Version: "1", Size: 2, Slots: 8})
	if err := d.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// // Configuration of small, printed by its declare program.
	// {
	//   "name": "small",
	//
	//   // Weights of group downtime against stranded accelerators.
	//   "objective": {"downtime":1,"stranded":0},
	//
	//   // VMs that run backend servers.
	//   "vms": [
	//     {"name":"vm-1","address":"127.0.0.1:9101","zone":"a","domain":"f","accelerators":4,"fencing":"checked"},
	//     {"name":"vm-2","address":"127.0.0.1:9102","zone":"a","domain":"f","accelerators":4,"fencing":"checked"},
	//   ],
	//
	//   // Base models with their versions and adapters.
	//   "models": [
	//     {"name":"m","versions":["1"]},
	//   ],
	//
	//   // Replicas; all VMs of a group share a fabric domain.
	//   "groups": [
	//     {"name":"g","model":"m","version":"1","size":2,"slots":8},
	//   ],
	//
	//   // Customers; a key is the SHA-256 of the bearer key.
	//   "workspaces": [
	//   ],
	//
	//   // Plain services; "once" routes are non-idempotent.
	//   "services": [
	//   ],
	// }
}

// Print writes nothing and returns all faults if the deployment is invalid.
func ExampleDeployment_Print_faults() {
	d := declare.New("small", declare.Objective{Downtime: 1})
	d.Group(declare.Group{Name: "g", Model: "m", Version: "1", Size: 2})
	fmt.Println(d.Print(os.Stdout))
	// Output:
	// invalid deployment small:
	// /groups/0/slots: must be at least 1, not 0
	// /groups/0/size: spans 2 VMs, but the largest fabric domain has 0
	// /groups/0/model: model "m" is not declared
}
