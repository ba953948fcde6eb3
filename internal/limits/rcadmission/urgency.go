package rcadmission

const (
	// routeLevels is the number of levels by which routes are told apart among
	// exchanges of the same priority.
	routeLevels = 3
	// lowestEnginePriority is the numerically highest priority that engines know.
	lowestEnginePriority = 9
)

// EnginePriority returns the priority, from 0 for the most urgent to 9, with which an
// engine queues an exchange. priority is that of the client account or, if it has none,
// of the route. Exchanges of the same priority are ordered by the priority of their
// routes.
//
// It is for a mix of urgent short prompts and deferrable long ones of accounts that have
// priorities of their own: these override the routes' priorities, so that a short prompt
// would wait in an overloaded engine until the long ones before it have been read.
func EnginePriority(priority, route int) int {
	level := min(max(route, 0), routeLevels-1)
	return min(max(priority, 0)*routeLevels+level, lowestEnginePriority)
}
