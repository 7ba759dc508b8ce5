package lang

// StatementHelp describes one form of statement.
type StatementHelp struct {
	// Example is a statement that Parse accepts.
	Example string `json:"example"`
	Purpose string `json:"purpose"`
}

// Statements returns all forms of statement, with an example of each.
func Statements() []StatementHelp {
	return []StatementHelp{
		{"show daemons where domain = ikeja and state != lapsed", "query a table; an unknown name lists the tables"},
		{"show pressure", "which resources are scarce, where and since when"},
		{"show command 1a1463b2", "what became of a command"},
		{"publish service tickets ramp 10s", "add an entity that does not exist yet"},
		{"publish policy urgent urgency critical timeout 800ms retries 2 repeatable GET, HEAD", "add a policy"},
		{"publish policy bulk urgency normal timeout 5s large-answers yes", "add a policy of routes with large responses"},
		{"publish caller clerk key SHA256-OF-THE-KEY", "add a caller"},
		{"publish route tickets path /tickets to tickets policy urgent callers clerk, app public no", "add a route"},
		{"publish workspace mobile keys SHA256-OF-A-KEY urgency critical rate 50 burst 100", "add a workspace"},
		{"revise service tickets ramp 20s", "replace an entity that exists"},
		{"put service tickets ramp 20s", "add or replace an entity"},
		{"withdraw route tickets", "remove an entity"},
		{"withdraw route tickets; withdraw service tickets", "make several changes as one set"},
		{"if version 12 withdraw route tickets", "change only if the configuration has this version"},
		{"force withdraw route tickets", "change without a check of the version"},
		{"dry run withdraw route tickets", "say whether a change would be accepted"},
		{"rollout tickets to 2.0 within 12s", "move a service's calls to a version of its upstreams"},
		{"abort rollout tickets", "move them back"},
		{"clear suspect 0123456789abcdef", "let a quarantined request run again"},
		{"reseed log", "continue on a log that was truncated, replaced or restored"},
	}
}
