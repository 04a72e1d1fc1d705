package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
)

func TestJobRunsOnceAndWhole(t *testing.T) {
	for name, mode := range map[string]Mode{"heir": ModeHeir, "log": ModeLog} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 1, mode)
			w := s.work("a job", 40, false)
			first := s.ask(0, coder.OpSubmit, w)
			second := s.ask(1, coder.OpSubmit, w)
			s.run(3 * time.Second)
			third := s.ask(2, coder.OpSubmit, w)
			s.run(time.Second)
			s.check()
			for _, c := range []*simCall{first, second, third} {
				must.Eq(t, coder.Done, c.answers[0].Status)
			}
			must.MapLen(t, 40, s.starts)
		})
	}
}
