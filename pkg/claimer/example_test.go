package claimer_test

import (
	"context"
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// A second call with the same key is not run. Its reply has the state or the
// recorded answer of the first call.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &claimer.Claimer{API: &emulator.MemoryObjects{}, VM: "vm-1"}
	go c.Run(ctx)

	claim := func(request, body string) *messenger.ClaimReply {
		reply, err := c.Claim(ctx, &messenger.ClaimRequest{
			Key:        "presses/ledger/order-7",
			BodyDigest: []byte(body),
			Attempt:    &messenger.AttemptId{RequestId: request, Number: 1},
		})
		if err != nil {
			fmt.Println(err)
		}
		return reply
	}
	fmt.Println(claim("first", "10 trays").GetState())
	fmt.Println(claim("second", "10 trays").GetState())
	fmt.Println(claim("third", "20 trays").GetState())

	_, err := c.CompleteClaim(ctx, &messenger.CompleteClaimRequest{
		Key:     "presses/ledger/order-7",
		Attempt: &messenger.AttemptId{RequestId: "first", Number: 1},
		Outcome: claimer.OutcomeServed,
		Answer:  &messenger.ServiceAnswer{Status: 201, Body: []byte("recorded")},
	})
	if err != nil {
		fmt.Println(err)
	}
	reply := claim("fourth", "10 trays")
	fmt.Println(reply.GetState(), reply.GetOutcome(), string(reply.GetAnswer().GetBody()))
	// Output:
	// CLAIM_STATE_GRANTED
	// CLAIM_STATE_IN_PROGRESS
	// CLAIM_STATE_MISMATCH
	// CLAIM_STATE_DONE served recorded
}
