package claim

// Command is something that the surroundings must do. The types of this file
// are all there are.
type Command interface {
	isCommand()
}

// Decide gives a call its decision. Each BeginRequested gets exactly one; an
// IssueRequested gets one instead of an Issue if it is refused.
type Decide struct {
	Call     CallID
	Decision Decision
}

// Issue gives a key to the caller of IssueRequested.
type Issue struct {
	Call CallID
	Key  string
}

// Append asks for the records to be appended to the claim stream in one call.
// There is never more than one Append without an answer.
type Append struct {
	Records [][]byte
}

// ReadNow asks for a read of the claim stream from Position that begins now and
// does not wait for a record. A pending read is ended.
type ReadNow struct{}

func (Decide) isCommand()  {}
func (Issue) isCommand()   {}
func (Append) isCommand()  {}
func (ReadNow) isCommand() {}
