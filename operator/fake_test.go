package operator_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp/fasthttputil"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/operator"
	"birchwood.example/birchwood/partition"
)

// fakeNode is the Service of the tests.
type fakeNode struct {
	tree         *contract.Tree
	changes      []contract.Change
	unresponsive bool
	findings     []string
	drained      []machine.ID
	owned        []control.PartitionStatus
	accepted     []partition.ID
}

func (n *fakeNode) Alive(context.Context) error {
	if n.unresponsive {
		return errors.New("the control goroutine does not answer")
	}
	return nil
}
func (n *fakeNode) NotReady(context.Context) []string { return n.findings }
func (n *fakeNode) Settings() *contract.Tree          { return n.tree }
func (n *fakeNode) Freshness(context.Context) (contract.Freshness, error) {
	return contract.Freshness{State: contract.FreshnessFresh, Revision: n.tree.Revision()}, nil
}
func (n *fakeNode) ChangeSettings(_ context.Context, change contract.Change) (contract.Verdict, error) {
	n.changes = append(n.changes, change)
	return n.tree.Apply(contract.Revision(len(n.changes)), change), nil
}
func (n *fakeNode) SettingsStatus(context.Context) ([]operator.NodeSettings, error) {
	return []operator.NodeSettings{{Node: "isando-1", Revision: n.tree.Revision()}}, nil
}
func (n *fakeNode) Nodes(context.Context) ([]operator.NodeState, error) {
	return []operator.NodeState{{Machine: machine.Machine{ID: "isando-1", Status: machine.StatusLive}}}, nil
}
func (n *fakeNode) Backends(context.Context) ([]machine.Machine, error) {
	return []machine.Machine{{ID: "engine-1", Status: machine.StatusLive}}, nil
}
func (n *fakeNode) DrainNode(_ context.Context, id machine.ID) error {
	n.drained = append(n.drained, id)
	return nil
}
func (n *fakeNode) PartitionStatuses(context.Context) ([]control.PartitionStatus, error) {
	return n.owned, nil
}

func (n *fakeNode) AcceptLoss(_ context.Context, id partition.ID) error {
	n.accepted = append(n.accepted, id)
	return nil
}

func (n *fakeNode) DrainBackend(_ context.Context, id machine.ID) error {
	n.drained = append(n.drained, id)
	return nil
}

// fakePrograms answers each request with its own parameters.
type fakePrograms struct{}

func (fakePrograms) Operate(_ context.Context, scope contract.Path, method, uri string, body []byte) (int, []byte) {
	if strings.HasPrefix(uri, "/v1/refusals/") {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, []byte(`{"asked":"` + string(scope) + " " + method + " " + uri + " " + strings.ReplaceAll(string(body), `"`, "'") + `"}`)
}

// apiClient sends requests to a served operator.Server.
type apiClient struct{ client *http.Client }

// serve serves the node over an in-memory listener until the spec ends.
func serve(node *fakeNode, metrics *operator.Metrics, refusals *operator.RefusalLog) apiClient {
	config := operator.DefaultConfig()
	config.BootstrapToken = "bootstrap"
	quiet := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	server, err := operator.New(config, node, fakePrograms{}, metrics, refusals, quiet)
	Expect(err).NotTo(HaveOccurred())
	listener := fasthttputil.NewInmemoryListener()
	finished := make(chan error, 1)
	go func() { finished <- server.Server().Serve(listener) }()
	DeferCleanup(func() {
		Expect(listener.Close()).To(Succeed())
		Eventually(finished).Should(Receive())
	})
	dial := func(context.Context, string, string) (net.Conn, error) { return listener.Dial() }
	return apiClient{&http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

// ask sends one request and returns the answer's status and body.
func (a apiClient) ask(method, path, token, body string) (int, string) {
	request, err := http.NewRequest(method, "http://operator"+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := a.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(text)
}

// scrape returns the metrics in the text format.
func scrape(metrics *operator.Metrics) string {
	served := serve(&fakeNode{tree: contract.NewTree()}, metrics, operator.NewRefusalLog(1))
	status, body := served.ask("GET", "/metrics", "", "")
	Expect(status).To(Equal(http.StatusOK))
	return body
}

var _ = Describe("Health", func() {
	It("fails when the control goroutine does not answer, readiness when the node says why", func() {
		node := &fakeNode{tree: contract.NewTree()}
		served := serve(node, operator.NewMetrics(), operator.NewRefusalLog(1))
		status, _ := served.ask("GET", "/healthz", "", "")
		Expect(status).To(Equal(http.StatusOK))
		node.unresponsive = true
		node.findings = []string{"leaving"}
		status, _ = served.ask("GET", "/healthz", "", "")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		status, body := served.ask("GET", "/readyz", "", "")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("leaving"))
	})
})
