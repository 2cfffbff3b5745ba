package deployment

import (
	"bytes"
	"fmt"
	"testing"

	ring "eelgrassring.dev"
)

// BenchmarkParse parses a configuration, as every node does at each change.
func BenchmarkParse(b *testing.B) {
	for _, vms := range []int{65, 776, 3100} {
		b.Run(fmt.Sprint(vms, " VMs"), func(b *testing.B) {
			d := Document{Name: "d", Objective: Objective{Downtime: 1}, Models: []Model{{Name: "m", Versions: []string{"1"}}}}
			for i := range vms {
				d.VMs = append(d.VMs, VM{Name: ring.VM(fmt.Sprintf("draft-%04d", i)), Address: fmt.Sprintf("127.%d.%d.1:8000", 1+i/250, i%250), Zone: "a", Domain: "fabric-1", Accelerators: 4, Fencing: FencingChecked})
				if i%4 == 0 {
					d.Groups = append(d.Groups, Group{Name: ring.Group(fmt.Sprintf("drafting-%03d", i/4)), Model: "m", Version: "1", Size: 4, Slots: 16})
				}
			}
			var text bytes.Buffer
			if err := d.Print(&text); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(text.Len()), "bytes/document")
			for range b.N {
				if _, err := Parse(text.Bytes()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
