package deployment

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/golden"
	"eelgrassring.dev/internal/property"
)

// All faults of a document must be reported at once, with their positions.
func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	a, err := txtar.ParseFile("testdata/faults.txtar")
	is.NoErr(err)
	var out bytes.Buffer
	for _, f := range a.Files {
		_, err := Parse(f.Data)
		out.WriteString("-- " + f.Name + " --\n")
		if err == nil {
			out.WriteString("valid\n")
			continue
		}
		out.WriteString(err.Error() + "\n")
	}
	golden.Check(t, "faults.golden", out.Bytes())
}

func TestMain(m *testing.M) { property.Main(m, property.Config{}) }

// drawDocument draws a valid document of VMs and groups.
func drawDocument(t *rapid.T) Document {
	d := Document{Name: "d", Objective: Objective{Downtime: 1, Stranded: rapid.Float64Range(0, 9).Draw(t, "weight")}}
	for i := range rapid.IntRange(1, 8).Draw(t, "vms") {
		name := string(rune('a' + i))
		d.VMs = append(d.VMs, VM{
			Name: ring.VM(name), Address: "127.0.0.1:" + []string{"1", "2", "3", "4", "5", "6", "7", "8"}[i],
			Zone: "z", Domain: "d", Accelerators: rapid.IntRange(1, 8).Draw(t, "accelerators"), Fencing: FencingChecked,
		})
	}
	d.Models = []Model{{Name: "m", Versions: []string{"1"}}}
	for i := range rapid.IntRange(0, 4).Draw(t, "groups") {
		d.Groups = append(d.Groups, Group{Name: ring.Group(rune('a' + i)), Model: "m", Version: "1", Size: 1, Slots: rapid.IntRange(1, 64).Draw(t, "slots")})
	}
	return d
}

// Printing must not depend on the order of the VMs, and parsing must give the
// printed document.
func TestPrintIsDeterministicAndReadsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		var first, second bytes.Buffer
		if err := d.Print(&first); err != nil {
			t.Fatal(err)
		}
		c, err := Parse(first.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		shuffled := c.Document()
		shuffled.VMs = append([]VM(nil), shuffled.VMs...)
		random := rand.New(rand.NewPCG(1, 1))
		random.Shuffle(len(shuffled.VMs), func(i, j int) {
			shuffled.VMs[i], shuffled.VMs[j] = shuffled.VMs[j], shuffled.VMs[i]
		})
		if err := shuffled.Print(&second); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first.Bytes(), second.Bytes()) {
			t.Fatalf("the second print differs:\n%s\n%s", first.String(), second.String())
		}
		if diff := Diff(d, c.Document()); diff != nil {
			t.Fatalf("the parsed document differs from the printed one: %v", diff)
		}
	})
}

// Diff must match items by name, whatever their order.
func TestDiff(t *testing.T) {
	is := is.New(t)
	before := Document{Groups: []Group{{Name: "g", Size: 4}, {Name: "old", Size: 1}}}
	after := Document{Groups: []Group{{Name: "new", Size: 2}, {Name: "g", Size: 3}}}
	var lines []string
	for _, d := range Diff(before, after) {
		if len(d.Path) > 5 && d.Path[len(d.Path)-5:] == "/size" {
			lines = append(lines, d.String())
		}
	}
	is.Equal(lines, []string{"~ /groups/g/size: 4 -> 3", "+ /groups/new/size = 2", "- /groups/old/size = 1"})
}

// A Once route must match its method and its path, or all paths with the prefix
// before a trailing "*".
func TestIsNonIdempotent(t *testing.T) {
	is := is.New(t)
	s := Service{Once: []string{"POST /signoffs", "POST /reservations/*"}}
	is.True(s.IsNonIdempotent("POST", "/signoffs"))
	is.True(!s.IsNonIdempotent("GET", "/signoffs"))
	is.True(s.IsNonIdempotent("POST", "/reservations/7"))
	is.True(!s.IsNonIdempotent("POST", "/other"))
}

// A caller must not see an adapter that no group serves.
func TestModelNamesOmitUnservedAdapters(t *testing.T) {
	is := is.New(t)
	c := newConfiguration(Document{
		Models: []Model{{Name: "m", Versions: []string{"1"}, Adapters: []Adapter{{"used", "1"}, {"unused", "1"}}}},
		Groups: []Group{{Name: "g", Model: "m", Version: "1", Adapters: []ring.Adapter{"used"}}},
	})
	is.Equal(c.ModelNames(Application{Models: []ring.Model{"m"}}), []string{"m", "m:used"})
}

// TestConfigurationWithoutWorkspacesRefusesCallers guards against a configuration that lets
// callers in because it declares no workspace or no application.
func TestConfigurationWithoutWorkspacesRefusesCallers(t *testing.T) {
	is := is.New(t)
	for _, d := range []Document{{}, {Workspaces: []Workspace{}}, {Workspaces: []Workspace{{Name: "w"}}}} {
		for _, key := range []string{"", "revoked"} {
			_, ok := newConfiguration(d).Caller(key)
			is.True(!ok)
		}
	}
}
