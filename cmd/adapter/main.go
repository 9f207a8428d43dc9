// Command adapter connects the policy engines of many proxies to the simulator. It reads batches of events from
// standard input, and writes one reply with the engines' actions per batch to standard output. It makes no decisions
// itself.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"sloequay/internal/policy"
	"sloequay/internal/simwire"
)

// inputBufferSize is the size of the buffer for standard input, in bytes.
const inputBufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// engines holds the policy engine of each running instance, by the number of the instance.
type engines map[uint32]*policy.Engine

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, inputBufferSize)
	instances := engines{}
	var batch simwire.Batch
	var reply simwire.Reply
	for {
		err := simwire.ReadBatch(input, &batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset(batch.Seq)
		if err := instances.handleBatch(&batch, &reply); err != nil {
			return err
		}
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Seq, err)
		}
	}
}

// handleBatch applies each record of a batch to its instance and appends the resulting actions to reply.
func (e engines) handleBatch(batch *simwire.Batch, reply *simwire.Reply) error {
	for {
		record, err := batch.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case record.Hello != nil:
			engine, err := policy.New(record.Hello.Config, record.Hello.Seed)
			if err != nil {
				return fmt.Errorf("HELLO of instance %d: %w", record.Instance, err)
			}
			e[record.Instance] = engine
		case record.Down:
			delete(e, record.Instance)
		default:
			e.handleEvent(batch, record, reply)
		}
	}
}

// handleEvent passes an event to the engine of its instance. If the engine panics, the reply gets a FATAL record for
// the instance, and the engine is removed, so that later events of the instance are ignored.
func (e engines) handleEvent(batch *simwire.Batch, record simwire.Record, reply *simwire.Reply) {
	engine := e[record.Instance]
	if engine == nil {
		return
	}
	defer func() {
		if reason := recover(); reason != nil {
			reply.Fatal(record.Instance, fmt.Sprint(reason))
			delete(e, record.Instance)
		}
	}()
	for _, action := range engine.Handle(batch.Now, record.Event) {
		reply.Add(record.Instance, action)
	}
}
