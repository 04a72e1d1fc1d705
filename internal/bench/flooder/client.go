package flooder

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// retryInterval is the pause before an ordinary client sends a request again.
const retryInterval = 100 * time.Millisecond

// ask sends a request on a connection of its own, again while the connection ends without an
// answer, and returns the answer.
func ask(newRequest func() *http.Request) (status int, body string, err error) {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(retryInterval) {
		var response *http.Response
		if response, err = client.Do(newRequest()); err != nil {
			continue
		}
		read, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return response.StatusCode, string(read), nil
	}
	return 0, "", fmt.Errorf("no answer, but %w: %w", err, errTimeout)
}

// askUntil sends a request, again while the answer isn't the wanted one.
func askUntil(newRequest func() *http.Request, isWanted func(status int, body string) bool) error {
	var last string
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(retryInterval) {
		status, body, err := ask(newRequest)
		if err != nil {
			return err
		}
		if isWanted(status, body) {
			return nil
		}
		last = fmt.Sprintf("%d %s", status, body)
	}
	return fmt.Errorf("the last answer was %q: %w", last, errTimeout)
}
