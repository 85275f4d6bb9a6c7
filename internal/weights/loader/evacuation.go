package loader

import "time"

// evacuatedError reports a load that was not ordered because the failure domain is evacuated.
type evacuatedError struct{}

func (e *evacuatedError) Error() string { return "the failure domain is evacuated" }

func (l *Loader) isEvacuated(now time.Time) bool { return l.Evacuated != nil && l.Evacuated(now) }
