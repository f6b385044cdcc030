package request

// Class is the priority class of a request. Lower classes are more urgent.
type Class uint8

// Priority classes.
const (
	ClassStatus  Class = iota // reads that a person waits for
	ClassCheck                // short checks
	ClassSummary              // summaries and assessments with a deadline
	ClassLookup               // lookups that may wait their turn
	NumClasses   = 4
)

var classNames = [NumClasses]string{"status", "check", "summary", "lookup"}

// String returns the class's name.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with this name.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}
