package gateway

import (
	"context"
	"net/http"
	"testing"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/quarantine"

	"gotest.tools/v3/assert"
)

var rewardCall = sesamepitch.RewardCall{ID: "r", Host: "h", Path: "/safe/score", Body: []byte("text")}

// scored is the answer of an endpoint that scores an output.
func scored(context.Context, string) (sesamepitch.Answer, error) {
	return sesamepitch.Answer{Status: http.StatusOK, Signature: "signed"}, nil
}

// TestRewardTries checks for each answer whether it is a score, and of which kind
// the error is otherwise.
func TestRewardTries(t *testing.T) {
	cases := []struct {
		name   string
		answer sesamepitch.Answer
		err    error
		kind   sesamepitch.Kind
	}{
		{"scored", sesamepitch.Answer{Status: http.StatusOK, Signature: "signed"}, nil, ""},
		{"success without a signature", sesamepitch.Answer{Status: http.StatusOK}, nil, sesamepitch.KindUnknown},
		{"signed failure", sesamepitch.Answer{Status: http.StatusInternalServerError, Signature: "signed"}, nil, sesamepitch.KindFailed},
		{"signed redirection", sesamepitch.Answer{Status: http.StatusFound, Signature: "signed"}, nil, sesamepitch.KindUnknown},
		{"signed timeout", sesamepitch.Answer{Status: http.StatusGatewayTimeout, Signature: "signed"}, nil, sesamepitch.KindUnknown},
		{"not run", sesamepitch.Answer{}, &Error{Kind: sesamepitch.KindOverloaded}, sesamepitch.KindOverloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			counts := &meter{}
			g := newGateway(&forwarder{answer: func(context.Context, string) (sesamepitch.Answer, error) { return c.answer, c.err }}, counts, "a")
			try, err := g.ReserveReward(rewardCall, nil, nil)
			assert.NilError(t, err)
			score, err := try.Send(context.Background())
			assert.Equal(t, sesamepitch.KindOf(err), c.kind)
			assert.Equal(t, score != "", c.kind == "")
			assert.Equal(t, counts.counted, 0, "reward calls are in no usage report")
		})
	}
}

// TestRewardRoom fills the service with reward calls: a third of each endpoint's
// slots stays free, and room that a call leaves is used again.
func TestRewardRoom(t *testing.T) {
	g := newGateway(&forwarder{answer: scored}, &meter{}, "a", "b")
	var tries []sesamepitch.RewardTry
	for {
		try, err := g.ReserveReward(rewardCall, nil, nil)
		if err != nil {
			break
		}
		tries = append(tries, try)
	}
	assert.Equal(t, len(tries), 2*4, "two endpoints with six slots")
	_, err := tries[0].Send(context.Background())
	assert.NilError(t, err)
	again, err := g.ReserveReward(rewardCall, nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, again.Endpoint(), tries[0].Endpoint())
}

// TestBrokenEndpointGetsNoBurst completes many outputs while one of three endpoints
// resets each connection at once and so always has room: after its first failures
// the calls wait for the others, and no content is suspected of crashing them.
func TestBrokenEndpointGetsNoBurst(t *testing.T) {
	const outputs = 60
	forward := &forwarder{answer: func(ctx context.Context, endpoint string) (sesamepitch.Answer, error) {
		if endpoint == "broken" {
			return failed(sesamepitch.KindUnknown)
		}
		return scored(ctx, endpoint)
	}}
	g := newGateway(forward, &meter{}, "a", "b", "broken")
	waiting := outputs
	for round := 0; waiting > 0; round++ {
		assert.Assert(t, round < outputs, "%d calls still wait", waiting)
		var sent []sesamepitch.RewardTry
		for range waiting {
			try, err := g.ReserveReward(rewardCall, nil, nil)
			if err != nil {
				break
			}
			sent = append(sent, try)
			if try.Endpoint() == "broken" {
				_, err = try.Send(context.Background())
				assert.Assert(t, err != nil)
				sent = sent[:len(sent)-1]
			}
		}
		for _, try := range sent {
			_, err := try.Send(context.Background())
			assert.NilError(t, err)
			waiting--
		}
	}
	broken := 0
	for _, endpoint := range forward.asked {
		if endpoint == "broken" {
			broken++
		}
	}
	assert.Assert(t, broken <= 1, "the broken endpoint got %d calls", broken)
	quarantined, _ := g.quarantine.IsQuarantined(quarantine.Fingerprint("", rewardCall.Path, rewardCall.Body))
	assert.Assert(t, !quarantined)
}

// TestRewardAvoids sends a call again: not to the endpoint that works on it, and to
// the one that failed it only if there is no other.
func TestRewardAvoids(t *testing.T) {
	g := newGateway(&forwarder{answer: scored}, &meter{}, "a", "b")
	try, err := g.ReserveReward(rewardCall, nil, []string{"a"})
	assert.NilError(t, err)
	assert.Equal(t, try.Endpoint(), "b")
	try, err = g.ReserveReward(rewardCall, []string{"b"}, []string{"a"})
	assert.NilError(t, err)
	assert.Equal(t, try.Endpoint(), "a")
	_, err = g.ReserveReward(rewardCall, []string{"a", "b"}, nil)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable)
	_, err = g.ReserveReward(sesamepitch.RewardCall{Host: "nowhere", Path: "/"}, nil, nil)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindNotFound)
}

// TestScoreNotAskedAgainAfterCrashes crashes each endpoint that runs a reward call:
// once they are back the call is sent again, and callers' requests with the same
// content are not suspected for it.
func TestScoreNotAskedAgainAfterCrashes(t *testing.T) {
	crashing := true
	forward := &forwarder{answer: func(ctx context.Context, endpoint string) (sesamepitch.Answer, error) {
		if crashing {
			return failed(sesamepitch.KindUnknown)
		}
		return scored(ctx, endpoint)
	}}
	g := newGateway(forward, &meter{}, "a", "b", "c", "d")
	for range 4 {
		try, err := g.ReserveReward(rewardCall, nil, nil)
		assert.NilError(t, err)
		_, err = try.Send(context.Background())
		assert.Assert(t, err != nil)
	}
	crashing = false
	try, err := g.ReserveReward(rewardCall, nil, nil)
	assert.NilError(t, err)
	_, err = try.Send(context.Background())
	assert.NilError(t, err)
	quarantined, _ := g.quarantine.IsQuarantined(quarantine.Fingerprint("", rewardCall.Path, rewardCall.Body))
	assert.Assert(t, !quarantined)
}
