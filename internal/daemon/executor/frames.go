package executor

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/shared/recoverer"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// firstFrameTimeout limits the time from the opening of a stream to its start
// frame.
const firstFrameTimeout = 5 * time.Second

// frameReader reads the frames of one Attempt stream.
type frameReader struct {
	executor *Executor
	stream   grpc.BidiStreamingServer[messenger.AttemptFrame, messenger.AttemptEvent]
	first    chan firstFrame
}

// firstFrame is the start frame, or the error if the first frame is not one.
type firstFrame struct {
	start *messenger.AttemptStart
	err   error
}

// run reads the start frame and then waits for a cancel frame. It returns after
// the first cancel or at the end of the stream, which is at the latest when the
// handler returns. If the cancel is processed before the start, the start is
// refused.
func (r *frameReader) run() {
	defer recoverer.Contain(r.executor.Log, "attempt frames")
	start, err := r.readStart()
	r.first <- firstFrame{start: start, err: err}
	if err != nil {
		return
	}
	for {
		frame, err := r.stream.Recv()
		if err != nil {
			return
		}
		if frame.GetCancel() != nil {
			_, _ = r.executor.Cancel(context.Background(), &messenger.CancelRequest{
				Id: start.GetId(), Incarnation: start.GetIncarnation(),
			})
			return
		}
	}
}

func (r *frameReader) readStart() (*messenger.AttemptStart, error) {
	frame, err := r.stream.Recv()
	if err != nil {
		return nil, err
	}
	start := frame.GetStart()
	if start == nil {
		return nil, status.Error(codes.InvalidArgument, "the first frame of an attempt must be a start frame")
	}
	return start, checkAttemptID(start.GetId())
}

// waitForStart returns the start frame, or an error when none arrives in time.
func (r *frameReader) waitForStart() (*messenger.AttemptStart, error) {
	timer := time.NewTimer(firstFrameTimeout)
	defer timer.Stop()
	select {
	case first := <-r.first:
		return first.start, first.err
	case <-timer.C:
		return nil, status.Error(codes.DeadlineExceeded, "no start frame arrived")
	}
}
