// Command adapter runs many instances of the policy engine on the simulator's wire: batches on standard input, one
// reply each on standard output. It decides nothing.
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

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// inputBufferBytes is how much of the input is read at once.
const inputBufferBytes = 1 << 20

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, inputBufferBytes)
	engines := map[uint32]*policy.Engine{}
	var batch simwire.Batch
	var reply simwire.Reply
	for {
		err := simwire.ReadBatch(reader, &batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset(batch.Seq)
		if err := answer(&batch, &reply, engines); err != nil {
			return err
		}
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Seq, err)
		}
	}
}

// answer hands every record of the batch to its instance and collects the actions.
func answer(batch *simwire.Batch, reply *simwire.Reply, engines map[uint32]*policy.Engine) error {
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
			engines[record.Instance] = engine
		case record.Down:
			delete(engines, record.Instance)
		default:
			engine := engines[record.Instance]
			if engine != nil && !handle(engine, batch, record, reply) {
				delete(engines, record.Instance)
			}
		}
	}
}

// handle passes one event on. A panic of the engine becomes a FATAL of that instance and the result false.
func handle(engine *policy.Engine, batch *simwire.Batch, record simwire.Record, reply *simwire.Reply) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			reply.Fatal(record.Instance, fmt.Sprint(cause))
			ok = false
		}
	}()
	for _, action := range engine.Handle(batch.Now, record.Event) {
		reply.Add(record.Instance, action)
	}
	return true
}
