package node

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/infra"
	"birchwood.example/birchwood/machine"
)

// lossyLog accepts every append and loses the answers to the first ones.
type lossyLog struct {
	infra.Log
	lostAnswers int
	appended    uint64
}

func (l *lossyLog) Append(context.Context, string, [][]byte) (uint64, error) {
	offset := l.appended
	l.appended++
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, errors.New("the answer was lost")
	}
	return offset, nil
}

// fencedEngine accepts an order only if its fence is higher than all previous
// ones.
type fencedEngine struct {
	engine.Client
	highest  uint64
	accepted []engine.Order
}

func (e *fencedEngine) Engine(machine.Machine) engine.Client { return e }

func (e *fencedEngine) Order(_ context.Context, order engine.Order) error {
	if order.Fence <= e.highest {
		return errors.New("the fence is too low")
	}
	e.highest = order.Fence
	e.accepted = append(e.accepted, order)
	return nil
}

var _ = Describe("Orders to engines", func() {
	nodeWith := func(logService infra.Log, engines engine.Dialer) *Node {
		return &Node{
			context: context.Background(), log: logService, engines: engines,
			config: Config{BackendTimeout: time.Minute}, logger: &log.Logger{Level: log.PanicLevel},
		}
	}

	It("fences each order by its place in the log, also after a lost answer", func() {
		logService, engines := &lossyLog{lostAnswers: 1}, &fencedEngine{}
		first, second := nodeWith(logService, engines), nodeWith(logService, engines)
		first.orderModel(control.OrderModel{Load: "birch-8b"})
		second.orderModel(control.OrderModel{Unload: "birch-8b"})
		Expect(engines.accepted).To(Equal([]engine.Order{{Fence: 2, Load: "birch-8b"}, {Fence: 3, Unload: "birch-8b"}}))
	})
})
