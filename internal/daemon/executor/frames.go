package executor

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// firstFrameTimeout bounds how long an open stream may stay without a start.
const firstFrameTimeout = 5 * time.Second

// frameReader takes the frames of one stream.
type frameReader struct {
	executor *Executor
	stream   grpc.BidiStreamingServer[messenger.AttemptFrame, messenger.AttemptEvent]
	first    chan firstFrame
}

type firstFrame struct {
	start *messenger.AttemptStart
	err   error
}

// run ends with the first cancel or with the stream, at the latest when the
// handler returns. A cancel that overtakes its start is remembered, so that
// the start is refused.
func (r *frameReader) run() {
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
	return start, checkIdentifier(start.GetId())
}

// waitForStart returns the start frame.
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
