package edge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestTimeLeft checks that the remaining time of a program is parsed, including a negative
// one.
func TestTimeLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	for value, want := range map[string]time.Duration{
		"5200": 5200 * time.Millisecond, "0": 0, "-300": -300 * time.Millisecond, " 1.5 ": 1500 * time.Microsecond,
	} {
		left, err := parseTimeLeft(value)
		g.Expect(err).NotTo(gomega.HaveOccurred(), value)
		g.Expect(left).To(gomega.Equal(want), value)
	}
	for _, value := range []string{"", "soon", "--1", "NaN"} {
		_, err := parseTimeLeft(value)
		g.Expect(err).To(gomega.HaveOccurred(), value)
	}
}
