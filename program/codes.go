package program

import "birchwood.example/birchwood/api"

// statusCode encodes the status of a call in one byte. Snapshots contain the
// values, so they must never change.
type statusCode uint8

const (
	statusVacant statusCode = iota // no call has this sequence number yet
	statusLive                     // the call has not ended
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

// terminalCode returns the code of a terminal status. A status that only a
// newer version defines counts as an unknown outcome, which is the status that
// guarantees least.
func terminalCode(status api.CallStatus) statusCode {
	for code := statusSucceeded; code <= statusCancelled; code++ {
		if statusNames[code] == status {
			return code
		}
	}
	return statusOutcomeUnknown
}

// kindCode encodes the kind of a call in one byte. Snapshots contain the
// values, so they must never change.
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
