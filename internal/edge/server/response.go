package server

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
)

// HTTPStatus returns the HTTP status code for an answer.
func HTTPStatus(a coder.Answer) int {
	switch a.Code {
	case "":
		if a.Status == coder.StatusRunning {
			return http.StatusAccepted
		}
		return http.StatusOK
	case coder.CodeBadRequest:
		return http.StatusBadRequest
	case coder.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case coder.CodeUnauthorized:
		return http.StatusUnauthorized
	case coder.CodeForbidden:
		return http.StatusForbidden
	case coder.CodeConflict:
		return http.StatusConflict
	case coder.CodeExpired:
		return http.StatusGone
	case coder.CodeNotFound, coder.CodeNoDomain:
		return http.StatusNotFound
	case coder.CodeNeverFits:
		return http.StatusUnprocessableEntity
	case coder.CodeOverload, coder.CodeQuota:
		return http.StatusTooManyRequests
	case coder.CodeDeadline:
		return http.StatusGatewayTimeout
	case coder.CodeAnswerLost:
		return http.StatusBadGateway
	case coder.CodeTaskFailed, coder.CodeTaskUnknown, coder.CodeCancelled:
		return http.StatusOK
	default:
		return http.StatusServiceUnavailable
	}
}

const millisPerSecond = 1000

// writeAnswer writes an answer with its HTTP status. The Retry-After header is
// in seconds, rounded up; retry_ms in the body has the exact value.
func writeAnswer(rw http.ResponseWriter, a coder.Answer) {
	if a.RetryMillis > 0 {
		seconds := (a.RetryMillis + millisPerSecond - 1) / millisPerSecond
		rw.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(rw, HTTPStatus(a), a)
}

func writeError(rw http.ResponseWriter, err error) {
	a := coder.Answer{Status: coder.StatusRefused, Code: coder.CodeBadRequest, Ran: coder.RanNo, Detail: err.Error()}
	var apiErr *apiError
	if errors.As(err, &apiErr) {
		a.Code, a.Detail = apiErr.code, apiErr.detail
	}
	if a.Code == coder.CodeNotReady || a.Code == coder.CodeOverload {
		a.RetryMillis = millisPerSecond
	}
	writeAnswer(rw, a)
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}
