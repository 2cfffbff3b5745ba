package proof

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/placement"
)

// The API keys of the workspaces a and b.
const (
	keyA = "key-a"
	keyB = "key-b"
)

// newDocument returns a configuration with groups of size members, vmsPerDomain
// VMs in each fabric domain, two workspaces and a service without models.
func newDocument(groups, size, domains, vmsPerDomain int) deployment.Document {
	d := deployment.Document{
		Name:      "proof",
		Objective: deployment.Objective{Downtime: 1, Stranded: 1},
		Models:    []deployment.Model{{Name: "m", Versions: []string{"1", "2"}}},
		Services: []deployment.Service{{
			Name: "records", Servers: []string{"127.1.1.1:80"}, Once: []string{"POST /signoffs"}, Timeout: deployment.Duration(5 * time.Second),
		}},
	}
	for i := range domains * vmsPerDomain {
		d.VMs = append(d.VMs, deployment.VM{
			Name: ring.VM(fmt.Sprintf("vm%02d", i+1)), Address: fmt.Sprintf("127.1.0.%d:80", i+1), Zone: "a",
			Domain: ring.Domain(fmt.Sprintf("d%d", i/vmsPerDomain+1)), Accelerators: 4, Fencing: deployment.FencingChecked,
		})
	}
	for i := range groups {
		d.Groups = append(d.Groups, deployment.Group{Name: ring.Group(fmt.Sprintf("g%d", i+1)), Model: "m", Version: "1", Size: size, Slots: 8})
	}
	for name, key := range map[string]string{"a": keyA, "b": keyB} {
		d.Workspaces = append(d.Workspaces, deployment.Workspace{Name: ring.Workspace(name), Weight: 1, Limit: 100,
			Applications: []deployment.Application{{
				Name: "app", Key: deployment.HashKey(key), Priority: deployment.PriorityNormal,
				Models: []ring.Model{"m"}, Services: []ring.Service{"records"},
			}}})
	}
	return d
}

// newOptions returns the options of a system with the configuration, the given
// number of nodes and fast simulated engines.
func newOptions(d deployment.Document, nodes int) fake.Options {
	return fake.Options{
		Document: d, Nodes: nodes, LoadTime: 300 * time.Millisecond,
		FirstToken: 40 * time.Millisecond, TokenGap: 10 * time.Millisecond,
	}
}

// runSystem starts a system in virtual time, waits until all groups serve, runs
// test and stops the system.
func runSystem(t *testing.T, o fake.Options, test func(is *is.I, s *fake.System)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := fake.NewSystem(o)
		defer s.Stop()
		is.NoErr(s.AwaitServingGroups(len(o.Document.Groups), 20*time.Second))
		test(is, s)
	})
}

// members returns the members of a group as recorded at the first node.
func members(s *fake.System, group ring.Group) []placement.Member {
	name := s.NodeNames()[0]
	return s.Node(name).Node.Table().Group(group, time.Now()).Record.Record.Members
}

// assertResponse checks that the result is the complete response to fake.Chat
// with the prompt and the number of tokens.
func assertResponse(is *is.I, r fake.Result, prompt string, tokens int) {
	is.Helper()
	text, complete := r.Text()
	is.True(complete)                                 // the stream ends with [DONE]
	is.Equal(text, fake.ExpectedText(prompt, tokens)) // the response to this request
}

// Concurrent requests through all nodes must not get each other's responses.
func TestEveryCallerGetsItsOwnResponse(t *testing.T) {
	runSystem(t, newOptions(newDocument(2, 3, 1, 8), 3), func(is *is.I, s *fake.System) {
		results := make([]fake.Result, 24)
		done := make(chan int)
		for i := range results {
			go func() {
				node := fmt.Sprintf("n%d", i%3+1)
				results[i] = s.Do(fake.Chat(node, []string{keyA, keyB}[i%2], fmt.Sprintf("prompt %d", i), 10+i))
				done <- i
			}()
		}
		for range results {
			<-done
		}
		for i, r := range results {
			assertResponse(is, r, fmt.Sprintf("prompt %d", i), 10+i)
		}
	})
}

// runUnreadySystem is runSystem without waiting until the groups serve.
func runUnreadySystem(t *testing.T, o fake.Options, test func(is *is.I, s *fake.System)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewSystem(o)
		defer s.Stop()
		test(is.New(t), s)
	})
}

// Every kind of request must get a response in its own format.
func TestChatAndCompletionResponses(t *testing.T) {
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 1), func(is *is.I, s *fake.System) {
		call := func(path, body string) fake.Result {
			return s.Do(fake.Call{Node: "n1", APIKey: keyA, Method: "POST", Path: path, Body: body})
		}
		chat := call("/v1/chat/completions", `{"model":"m","seed":7,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`)
		is.Equal(chat.Status, 200)
		is.True(strings.Contains(chat.Body, `"content":"`+fake.ExpectedText("x", 3)+`"`))
		unstreamed := call("/v1/completions", `{"model":"m@1","seed":7,"max_tokens":3,"prompt":"x"}`)
		is.Equal(unstreamed.Status, 200)
		is.True(strings.Contains(unstreamed.Body, `"text":"`))
		stream := call("/v1/completions", `{"model":"m","seed":7,"max_tokens":3,"prompt":"x","stream":true,"stream_options":{"include_usage":true}}`)
		_, complete := stream.Text()
		is.True(complete)
		is.True(strings.Contains(stream.Body, `"completion_tokens":3`))
		models := s.Do(fake.Call{Node: "n1", APIKey: keyA, Method: "GET", Path: "/v1/models"})
		is.True(strings.Contains(models.Body, `"id":"m"`))
		echo := s.Do(fake.Call{Node: "n1", APIKey: keyA, Method: "PUT", Path: "/services/records/echo", Body: "any body"})
		is.Equal(echo.Body, "any body")
	})
}
