package api

// The HTTP statuses of errors, from RFC 9110. They are defined here so that
// packages that use the types don't depend on an HTTP package.
const (
	statusBadRequest            = 400
	statusUnauthorized          = 401
	statusPaymentRequired       = 402
	statusForbidden             = 403
	statusNotFound              = 404
	statusConflict              = 409
	statusRequestEntityTooLarge = 413
	statusMisdirectedRequest    = 421
	statusUnprocessableEntity   = 422
	statusTooManyRequests       = 429
	statusInternalServerError   = 500
	statusBadGateway            = 502
	statusServiceUnavailable    = 503
	statusGatewayTimeout        = 504
)

// statuses maps each code to its HTTP status. A test compares it with the table
// in docs/API.md.
var statuses = map[Code]int{
	CodeBadRequest:       statusBadRequest,
	CodeBodyTooLarge:     statusRequestEntityTooLarge,
	CodeBodyCutShort:     statusBadRequest,
	CodeUnauthorized:     statusUnauthorized,
	CodeForbidden:        statusForbidden,
	CodeNotFound:         statusNotFound,
	CodeUnknownBranch:    statusNotFound,
	CodeUnknownModel:     statusUnprocessableEntity,
	CodeUnknownTool:      statusUnprocessableEntity,
	CodeKeyReused:        statusConflict,
	CodeProgramEnded:     statusConflict,
	CodeBudgetExhausted:  statusPaymentRequired,
	CodeLimitReached:     statusTooManyRequests,
	CodeOverloaded:       statusServiceUnavailable,
	CodeNoPermittedPlace: statusServiceUnavailable,
	CodeNotOwner:         statusMisdirectedRequest,
	CodeOwnerUnknown:     statusServiceUnavailable,
	CodeStoreUnavailable: statusServiceUnavailable,
	CodeSettingsStale:    statusServiceUnavailable,
	CodeTimeout:          statusGatewayTimeout,
	CodeBackendFailed:    statusBadGateway,
	CodeCancelled:        statusConflict,
	CodeOutcomeUnknown:   statusGatewayTimeout,
	CodeShuttingDown:     statusServiceUnavailable,
	CodeConflict:         statusConflict,
}

// HTTPStatus returns the HTTP status of the code. An unknown code is an internal
// error.
func (c Code) HTTPStatus() int {
	if status, known := statuses[c]; known {
		return status
	}
	return statusInternalServerError
}

// Codes returns all codes and their HTTP statuses.
func Codes() map[Code]int {
	codes := make(map[Code]int, len(statuses))
	for code, status := range statuses {
		codes[code] = status
	}
	return codes
}
