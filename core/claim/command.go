package claim

// Command is an action that the caller of the state machine must execute. It is
// implemented by the types of this file only.
type Command interface {
	isCommand()
}

// Decide delivers the decision on a call. Each DecisionRequested leads to
// exactly one Decide; an IssueRequested leads to one instead of an Issue if it
// is refused.
type Decide struct {
	Call     CallID
	Decision Decision
}

// Issue delivers an issued key in response to an IssueRequested.
type Issue struct {
	Call CallID
	Key  string
}

// Append requests that the records be appended to the claim stream in one call.
// At most one Append is in flight.
type Append struct {
	Records [][]byte
}

// ReadNow requests a read of the claim stream from Machine.Position that starts
// now and does not wait for new records. A pending read is canceled.
type ReadNow struct{}

func (Decide) isCommand()  {}
func (Issue) isCommand()   {}
func (Append) isCommand()  {}
func (ReadNow) isCommand() {}
