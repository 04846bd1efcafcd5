package api

import "net/http"

// statuses maps each code to its HTTP status. docs/API.md holds the same
// table, and a test compares the two.
var statuses = map[Code]int{
	CodeBadRequest:       http.StatusBadRequest,
	CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	CodeBodyCutShort:     http.StatusBadRequest,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeForbidden:        http.StatusForbidden,
	CodeNotFound:         http.StatusNotFound,
	CodeUnknownBranch:    http.StatusNotFound,
	CodeUnknownModel:     http.StatusUnprocessableEntity,
	CodeUnknownTool:      http.StatusUnprocessableEntity,
	CodeKeyReused:        http.StatusConflict,
	CodeProgramEnded:     http.StatusConflict,
	CodeBudgetExhausted:  http.StatusPaymentRequired,
	CodeLimitReached:     http.StatusTooManyRequests,
	CodeOverloaded:       http.StatusServiceUnavailable,
	CodeNoPermittedPlace: http.StatusServiceUnavailable,
	CodeNotOwner:         http.StatusMisdirectedRequest,
	CodeOwnerUnknown:     http.StatusServiceUnavailable,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeSettingsStale:    http.StatusServiceUnavailable,
	CodeTimeout:          http.StatusGatewayTimeout,
	CodeBackendFailed:    http.StatusBadGateway,
	CodeCancelled:        http.StatusConflict,
	CodeOutcomeUnknown:   http.StatusGatewayTimeout,
	CodeShuttingDown:     http.StatusServiceUnavailable,
	CodeConflict:         http.StatusConflict,
}

// HTTPStatus returns the HTTP status that goes with the code. An unknown code
// is an internal error.
func (c Code) HTTPStatus() int {
	if status, known := statuses[c]; known {
		return status
	}
	return http.StatusInternalServerError
}

// Codes returns every known code and its HTTP status.
func Codes() map[Code]int {
	codes := make(map[Code]int, len(statuses))
	for code, status := range statuses {
		codes[code] = status
	}
	return codes
}
