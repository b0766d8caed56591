package configuration_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	core "cactuswell/core/configuration"
	"cactuswell/core/follow"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/node/nodev1"
	"cactuswell/timer"
)

func encodePush(f *testing.F, offsets ...int64) []byte {
	f.Helper()
	request := &nodev1.PushRequest{
		Stream: string(record.StreamConfiguration),
		From:   "host-2",
	}
	for _, offset := range offsets {
		data, err := core.Encode("a", "", 0, briefing(0, 1))
		if err != nil {
			f.Fatal(err)
		}
		request.Records = append(request.Records, &nodev1.StreamRecord{Offset: offset, Data: data})
	}
	data, err := proto.Marshal(request)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// FuzzPush decodes a push, hands it to a host, and its records to a follower.
func FuzzPush(f *testing.F) {
	f.Add(encodePush(f, 0, 1))
	f.Add(encodePush(f, 5, 6))
	f.Add(encodePush(f, 3, 2))
	f.Add(encodePush(f, -1))
	f.Add(encodePush(f))
	f.Add([]byte("broken"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var request nodev1.PushRequest
		if proto.Unmarshal(data, &request) != nil {
			return
		}
		server := configuration.NewServer(configuration.New(configuration.Dependencies{
			Timers: timer.New(),
			Logger: log.NewNopLogger(),
		}))
		if _, err := server.Push(t.Context(), connect.NewRequest(&request)); err != nil {
			return
		}
		pushed := follow.RecordsPushed{From: request.GetFrom()}
		for i, one := range request.GetRecords() {
			if one.GetOffset() != request.GetRecords()[0].GetOffset()+int64(i) || one.GetOffset() < 0 {
				t.Fatal("records that are not consecutive were taken")
			}
			pushed.Records = append(pushed.Records, follow.Record{
				Offset: record.Offset(one.GetOffset()),
				Data:   one.GetData(),
			})
		}
		follower := follow.New(follow.Settings{}, core.New(), rand.New(rand.NewPCG(1, 1)))
		follower.Step(time.Unix(0, 0), follow.Started{}, nil)
		follower.Step(time.Unix(0, 0), pushed, nil)
	})
}
