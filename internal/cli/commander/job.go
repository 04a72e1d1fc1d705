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

// Run submits a job and prints the answer.
func (c *jobSubmitCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	body, err := c.newJobBody(inv, cl)
	if err != nil {
		return err
	}
	if !inv.jsonOutput {
		fmt.Fprintln(inv.stderr, "key:", body.Key)
	}
	stopProgress := inv.showProgress("waiting for " + string(body.Key))
	answer, err := cl.Submit(inv.ctx, body)
	stopProgress()
	if err != nil {
		return err
	}
	return inv.printAnswer(body.Key, answer)
}

// newJobBody returns the job as read from the file or as described by the flags.
func (c *jobSubmitCmd) newJobBody(inv *invocation, cl *client.Client) (server.JobBody, error) {
	if c.File != "" {
		return readJobFile(c.File)
	}
	key := namer.Key(c.Key)
	if key == "" {
		homeDomain, err := cl.HomeDomain(inv.ctx)
		if err != nil {
			return server.JobBody{}, err
		}
		if key, err = namer.NewKey(homeDomain); err != nil {
			return server.JobBody{}, withExitCode(ExitFailed, err)
		}
	}
	body := server.JobBody{Key: key, Kind: namer.Kind(c.Kind), DeadlineMillis: int(c.Deadline / time.Millisecond), WaitForResult: c.Wait}
	for range c.Tasks {
		body.Tasks = append(body.Tasks, coder.TaskSpec{
			Cores: namer.MilliCores(c.Cores), Memory: namer.Megabytes(c.Memory), Payload: c.Payload,
		})
	}
	return body, nil
}

// readJobFile reads a job in JSON from the file at path, or from standard input
// for "-".
func readJobFile(path string) (server.JobBody, error) {
	var body server.JobBody
	input := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return body, withExitCode(ExitUsage, fmt.Errorf("read job: %w", err))
		}
		defer f.Close()
		input = f
	}
	decoder := json.NewDecoder(input)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, withExitCode(ExitUsage, fmt.Errorf("read job %s: %w", path, err))
	}
	return body, nil
}

const progressInterval = time.Second

// showProgress prints message and the elapsed seconds while standard error is a
// terminal. The returned function stops it and clears the line.
func (inv *invocation) showProgress(message string) func() {
	file, ok := inv.stderr.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return func() {}
	}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for seconds := 1; ; seconds++ {
			select {
			case <-stop:
				fmt.Fprint(inv.stderr, "\r\033[K")
				return
			case <-ticker.C:
				fmt.Fprintf(inv.stderr, "\r%s (%d s)", message, seconds)
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

// keyedAnswer is an answer together with the key of its submission.
type keyedAnswer struct {
	Key namer.Key `json:"key"`
	coder.Answer
}

// printAnswer prints the answer and returns an error with the exit code that its
// status calls for.
func (inv *invocation) printAnswer(key namer.Key, answer coder.Answer) error {
	if err := inv.printResult(keyedAnswer{key, answer}, func(t *table) {
		t.addRow("status", string(answer.Status))
		t.addRow("ran", string(answer.Ran))
		if answer.Code != "" {
			t.addRow("code", string(answer.Code))
		}
		if answer.Detail != "" {
			t.addRow("detail", answer.Detail)
		}
		if answer.RetryMillis > 0 {
			t.addRow("come back in", (time.Duration(answer.RetryMillis) * time.Millisecond).String())
		}
		t.addRow("tasks", formatTaskCounts(answer.Tasks))
	}); err != nil {
		return err
	}
	return answerError(answer)
}

// formatTaskCounts counts the tasks by their outcome.
func formatTaskCounts(tasks []coder.TaskOutcome) string {
	succeeded, failed, notRun, unknown := 0, 0, 0, 0
	for _, t := range tasks {
		switch {
		case t.Ran == coder.RanNo:
			notRun++
		case t.Ran == coder.RanUnknown:
			unknown++
		case t.OK:
			succeeded++
		default:
			failed++
		}
	}
	return fmt.Sprintf("%d: %d ran well, %d ran and did not end well, %d not run, %d unknown", len(tasks), succeeded, failed, notRun, unknown)
}

// answerError returns an error with the exit code for the answer's status. Its
// message is empty because the answer has been printed already.
func answerError(answer coder.Answer) error {
	noMessage := errors.New("")
	switch answer.Status {
	case coder.StatusDone, coder.StatusRunning:
		return nil
	case coder.StatusRefused:
		return withExitCode(ExitRefused, noMessage)
	case coder.StatusUnknown:
		return withExitCode(ExitUnknown, noMessage)
	default:
		return withExitCode(ExitFailed, noMessage)
	}
}

type jobFetchCmd struct {
	Key string `arg:"" help:"Key of the job."`
}

// Run prints the current answer for a job.
func (c *jobFetchCmd) Run(r *rootCLI, inv *invocation) error {
	return fetchAnswer(r, inv, namer.Key(c.Key), false)
}

type jobFollowCmd struct {
	Key string `arg:"" help:"Key of the job."`
}

// Run waits for the final answer of a job and prints it.
func (c *jobFollowCmd) Run(r *rootCLI, inv *invocation) error {
	return fetchAnswer(r, inv, namer.Key(c.Key), true)
}

func fetchAnswer(r *rootCLI, inv *invocation, key namer.Key, wait bool) error {
	cl := r.client()
	defer cl.Close()
	stopProgress := inv.showProgress("waiting for " + string(key))
	answer, err := cl.Fetch(inv.ctx, key, wait)
	stopProgress()
	if err != nil {
		return err
	}
	return inv.printAnswer(key, answer)
}

type jobCancelCmd struct {
	Keys []string `arg:"" help:"Keys of the jobs."`
}

// Run cancels jobs and prints their answers.
func (c *jobCancelCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	keys := make([]namer.Key, len(c.Keys))
	for i, k := range c.Keys {
		keys[i] = namer.Key(k)
	}
	result, err := cl.CancelMany(inv.ctx, keys)
	if err != nil {
		return err
	}
	return inv.printResult(result, func(t *table) {
		t.addRow("KEY", "STATUS", "RAN", "TASKS")
		for _, a := range result.Answers {
			t.addRow(string(a.Key), string(a.Answer.Status), string(a.Answer.Ran), formatTaskCounts(a.Answer.Tasks))
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

// Run sends a request to a service and prints the answer.
func (c *requestCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	key := namer.Key(c.Key)
	if key == "" && !c.Repeatable {
		homeDomain, err := cl.HomeDomain(inv.ctx)
		if err != nil {
			return err
		}
		if key, err = namer.NewKey(homeDomain); err != nil {
			return withExitCode(ExitFailed, err)
		}
	}
	answer, err := cl.Request(inv.ctx, namer.Service(c.Service), key, server.RequestBody{
		Kind: namer.Kind(c.Kind), Payload: c.Payload, Repeatable: c.Repeatable,
		DeadlineMillis: int(c.Deadline / time.Millisecond),
	})
	if err != nil {
		return err
	}
	return inv.printAnswer(key, answer)
}
