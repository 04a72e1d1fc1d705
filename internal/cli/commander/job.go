package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"

	"github.com/heatherslip/heatherslip/internal/cli/client"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

type jobCmd struct {
	Submit jobSubmitCmd `cmd:"" help:"Submit a job. Example: heatherslip job submit --kind word --tasks 100 --wait"`
	Fetch  jobFetchCmd  `cmd:"" help:"Fetch the answer of a job. Example: heatherslip job fetch KEY"`
	Follow jobFollowCmd `cmd:"" help:"Wait for the answer of a job."`
	Cancel jobCancelCmd `cmd:"" help:"Cancel jobs. Example: heatherslip job cancel KEY1 KEY2"`
}

type jobSubmitCmd struct {
	File     string        `help:"JSON file with the job, as docs/API.md describes it; - is standard input." xor:"source"`
	Key      string        `help:"Key of the job; by default a new one that shows its age."`
	Kind     string        `help:"Kind of work."`
	Tasks    int           `help:"Number of tasks, all alike." default:"1" xor:"source"`
	Payload  string        `help:"Payload of each task." default:"run=50ms"`
	Cores    int           `help:"Thousandths of a core for each task." default:"500"`
	Memory   int           `help:"Megabytes for each task." default:"128"`
	Deadline time.Duration `help:"Deadline; by default that of the kind."`
	Wait     bool          `help:"Wait for the answer."`
}

// Run submits a job.
func (c *jobSubmitCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	body, err := c.body(s, cl)
	if err != nil {
		return err
	}
	if !s.json {
		fmt.Fprintln(s.err, "key:", body.Key)
	}
	stop := s.progress("waiting for " + string(body.Key))
	a, err := cl.Submit(s.ctx, body)
	stop()
	if err != nil {
		return err
	}
	return s.answer(body.Key, a)
}

func (c *jobSubmitCmd) body(s *screen, cl *client.Client) (server.JobBody, error) {
	if c.File != "" {
		return readJob(c.File)
	}
	key := namer.Key(c.Key)
	if key == "" {
		home, err := cl.Home(s.ctx)
		if err != nil {
			return server.JobBody{}, err
		}
		if key, err = namer.NewKey(home); err != nil {
			return server.JobBody{}, fail(ExitFailed, err)
		}
	}
	body := server.JobBody{Key: key, Kind: namer.Kind(c.Kind), DeadlineMillis: int(c.Deadline / time.Millisecond), Wait: c.Wait}
	for range c.Tasks {
		body.Tasks = append(body.Tasks, coder.TaskSpec{
			Cores: namer.MilliCores(c.Cores), Memory: namer.Megabytes(c.Memory), Payload: c.Payload,
		})
	}
	return body, nil
}

func readJob(path string) (server.JobBody, error) {
	var body server.JobBody
	in := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return body, fail(ExitUsage, fmt.Errorf("read job: %w", err))
		}
		defer f.Close()
		in = f
	}
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return body, fail(ExitUsage, fmt.Errorf("read job %s: %w", path, err))
	}
	return body, nil
}

const progressEvery = time.Second

// progress shows on a terminal that something is being waited for, until the
// function that it returns is called.
func (s *screen) progress(what string) func() {
	f, ok := s.err.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return func() {}
	}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(progressEvery)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-done:
				fmt.Fprint(s.err, "\r\033[K")
				return
			case <-tick.C:
				fmt.Fprintf(s.err, "\r%s (%d s)", what, n)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// keyed is an answer with its key.
type keyed struct {
	Key namer.Key `json:"key"`
	coder.Answer
}

// answer prints an answer and turns it into an exit code.
func (s *screen) answer(key namer.Key, a coder.Answer) error {
	if err := s.show(keyed{key, a}, func(t *table) {
		t.row("status", string(a.Status))
		t.row("ran", string(a.Ran))
		if a.Code != "" {
			t.row("code", string(a.Code))
		}
		if a.Detail != "" {
			t.row("detail", a.Detail)
		}
		if a.RetryMillis > 0 {
			t.row("come back in", (time.Duration(a.RetryMillis) * time.Millisecond).String())
		}
		t.row("tasks", tally(a.Tasks))
	}); err != nil {
		return err
	}
	return exitOf(a)
}

func tally(tasks []coder.TaskOutcome) string {
	ok, failed, notRun, unknown := 0, 0, 0, 0
	for _, t := range tasks {
		switch {
		case t.Ran == coder.RanNo:
			notRun++
		case t.Ran == coder.RanUnknown:
			unknown++
		case t.OK:
			ok++
		default:
			failed++
		}
	}
	return fmt.Sprintf("%d: %d ran well, %d ran and did not end well, %d not run, %d unknown", len(tasks), ok, failed, notRun, unknown)
}

func exitOf(a coder.Answer) error {
	quiet := errors.New("")
	switch a.Status {
	case coder.Done, coder.Running:
		return nil
	case coder.Refused:
		return fail(ExitRefused, quiet)
	case coder.Unknown:
		return fail(ExitUnknown, quiet)
	default:
		return fail(ExitFailed, quiet)
	}
}

type jobFetchCmd struct {
	Key string `arg:"" help:"Key of the job."`
}

// Run fetches what is known of a job.
func (c *jobFetchCmd) Run(r *root, s *screen) error {
	return fetch(r, s, namer.Key(c.Key), false)
}

type jobFollowCmd struct {
	Key string `arg:"" help:"Key of the job."`
}

// Run waits for the answer of a job.
func (c *jobFollowCmd) Run(r *root, s *screen) error {
	return fetch(r, s, namer.Key(c.Key), true)
}

func fetch(r *root, s *screen, key namer.Key, wait bool) error {
	cl := r.client()
	defer cl.Close()
	stop := s.progress("waiting for " + string(key))
	a, err := cl.Fetch(s.ctx, key, wait)
	stop()
	if err != nil {
		return err
	}
	return s.answer(key, a)
}

type jobCancelCmd struct {
	Keys []string `arg:"" help:"Keys of the jobs."`
}

// Run cancels jobs.
func (c *jobCancelCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	keys := make([]namer.Key, len(c.Keys))
	for i, k := range c.Keys {
		keys[i] = namer.Key(k)
	}
	out, err := cl.CancelMany(s.ctx, keys)
	if err != nil {
		return err
	}
	return s.show(out, func(t *table) {
		t.row("KEY", "STATUS", "RAN", "TASKS")
		for _, a := range out.Answers {
			t.row(string(a.Key), string(a.Answer.Status), string(a.Answer.Ran), tally(a.Answer.Tasks))
		}
	})
}

type requestCmd struct {
	Service    string        `arg:"" help:"Service to ask."`
	Kind       string        `help:"Kind of work." required:""`
	Payload    string        `help:"Payload of the request." default:"run=50ms"`
	Key        string        `help:"Idempotency key; by default a new one."`
	Repeatable bool          `help:"The request may run more than once."`
	Deadline   time.Duration `help:"Deadline; by default that of the kind."`
}

// Run sends a request.
func (c *requestCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	key := namer.Key(c.Key)
	if key == "" && !c.Repeatable {
		home, err := cl.Home(s.ctx)
		if err != nil {
			return err
		}
		if key, err = namer.NewKey(home); err != nil {
			return fail(ExitFailed, err)
		}
	}
	a, err := cl.Request(s.ctx, namer.Service(c.Service), key, server.RequestBody{
		Kind: namer.Kind(c.Kind), Payload: c.Payload, Repeatable: c.Repeatable,
		DeadlineMillis: int(c.Deadline / time.Millisecond),
	})
	if err != nil {
		return err
	}
	return s.answer(key, a)
}
