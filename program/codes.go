package program

import "birchwood.example/birchwood/api"

// statusCode is a call's status in one byte. Its numbers stand in snapshots:
// they never change.
type statusCode uint8

const (
	statusVacant statusCode = iota
	statusLive
	statusSucceeded
	statusFailed
	statusNotRun
	statusOutcomeUnknown
	statusCancelled
)

var statusNames = [...]api.CallStatus{
	statusVacant:         "",
	statusLive:           api.StatusWaiting,
	statusSucceeded:      api.StatusSucceeded,
	statusFailed:         api.StatusFailed,
	statusNotRun:         api.StatusNotRun,
	statusOutcomeUnknown: api.StatusOutcomeUnknown,
	statusCancelled:      api.StatusCancelled,
}

// terminalCode returns the code of a terminal status. A status from a newer
// version counts as an unknown outcome, the one that promises least.
func terminalCode(status api.CallStatus) statusCode {
	for code := statusSucceeded; code <= statusCancelled; code++ {
		if statusNames[code] == status {
			return code
		}
	}
	return statusOutcomeUnknown
}

// kindCode is a call's kind in one byte, as it stands in snapshots.
type kindCode uint8

const (
	kindModel kindCode = iota
	kindTool
)

func codeOfKind(kind api.CallKind) kindCode {
	if kind == api.CallTool {
		return kindTool
	}
	return kindModel
}

func (k kindCode) kind() api.CallKind {
	if k == kindTool {
		return api.CallTool
	}
	return api.CallModel
}
