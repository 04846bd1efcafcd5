package layout_test

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// nodeModules lists exactly the modules that birchwood-edge links. Each one costs
// memory on every machine of the users' platform.
var nodeModules = []string{
	"birchwood.example/birchwood",
	"github.com/BurntSushi/toml",
	"github.com/HdrHistogram/hdrhistogram-go",
	"github.com/VictoriaMetrics/metrics",
	"github.com/cespare/xxhash/v2",
	"github.com/fasthttp/router",
	"github.com/klauspost/compress",
	"github.com/molecule-man/go-brrr",
	"github.com/phuslu/log",
	"github.com/savsgio/gotils",
	"github.com/spf13/cobra",
	"github.com/spf13/pflag",
	"github.com/valyala/bytebufferpool",
	"github.com/valyala/fasthttp",
	"github.com/valyala/fastrand",
	"github.com/valyala/histogram",
	"github.com/zeebo/errs",
	"golang.org/x/sys",
}

// forbiddenOnNodes lists packages of this module that birchwood-edge must not
// link, because it does not use them.
var forbiddenOnNodes = []string{"schedule", "control", "node", "emulator", "gateway", "operator", "workload", "history", "platform/standin", "command"}

func TestNodeLinksWhatItUses(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.Module.Path}} {{.ImportPath}}{{end}}", "./cmd/birchwood-edge")
	list.Dir = "../.."
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	var modules []string
	for line := range strings.Lines(string(out)) {
		name, path, found := strings.Cut(strings.TrimSpace(line), " ")
		if !found {
			continue
		}
		if !slices.Contains(modules, name) {
			modules = append(modules, name)
		}
		if own, isOwn := strings.CutPrefix(path, module); isOwn && slices.Contains(forbiddenOnNodes, own) {
			t.Errorf("the program of a node links %s", path)
		}
	}
	slices.Sort(modules)
	if !slices.Equal(modules, nodeModules) {
		t.Errorf("the program of a node links the modules\n%v\nwant\n%v", modules, nodeModules)
	}
}
