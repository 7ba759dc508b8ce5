package wire

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Decode decodes the body of a message of the given method.
func Decode(method string, body []byte) (Message, error) {
	switch method {
	case MethodHello:
		return decodeAs[Hello](body)
	case MethodPing:
		return decodeAs[Ping](body)
	case MethodMembers:
		return decodeAs[Members](body)
	case MethodMembersPull:
		return decodeAs[MembersPull](body)
	case MethodMembersDigests:
		return decodeAs[MembersDigests](body)
	case MethodMembersRequest:
		return decodeAs[MembersRequest](body)
	case MethodPull:
		return decodeAs[Pull](body)
	case MethodRecords:
		return decodeAs[Records](body)
	case MethodDelta:
		return decodeAs[Delta](body)
	case MethodSnapshot:
		return decodeAs[Snapshot](body)
	case MethodBusy:
		return decodeAs[Busy](body)
	case MethodSuspects:
		return decodeAs[Suspects](body)
	case MethodRollouts:
		return decodeAs[Rollouts](body)
	case MethodTally:
		return decodeAs[Tally](body)
	case MethodFreshnessConfirmation:
		return decodeAs[FreshnessConfirmation](body)
	case MethodDepartures:
		return decodeAs[Departures](body)
	case MethodDeparturesHeld:
		return decodeAs[DeparturesHeld](body)
	}
	return nil, errors.Errorf("control message of unknown method %q", method)
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode control message %s", m.Method())
	}
	return m, nil
}
