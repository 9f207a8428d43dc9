// Command adapter plays many directors on the simulator's wire: batches on standard input, one reply each on
// standard output. It decides nothing.
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

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	directors := map[uint32]*policy.Engine{}
	var batch simwire.Batch
	var reply simwire.Reply
	for {
		err := simwire.ReadBatch(r, &batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset(batch.Seq)
		if err := answer(&batch, &reply, directors); err != nil {
			return err
		}
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Seq, err)
		}
	}
}

// answer hands every record of the batch to its instance and collects the actions.
func answer(batch *simwire.Batch, reply *simwire.Reply, directors map[uint32]*policy.Engine) error {
	for {
		rec, err := batch.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case rec.Hello != nil:
			d, err := policy.New(rec.Hello.Config, rec.Hello.Seed)
			if err != nil {
				return fmt.Errorf("HELLO of instance %d: %w", rec.Instance, err)
			}
			directors[rec.Instance] = d
		case rec.Down:
			delete(directors, rec.Instance)
		default:
			if d := directors[rec.Instance]; d != nil && !handle(d, batch, rec, reply) {
				delete(directors, rec.Instance)
			}
		}
	}
}

// handle passes one event on. A panic of the module becomes a FATAL of that instance and the result false.
func handle(d *policy.Engine, batch *simwire.Batch, rec simwire.Record, reply *simwire.Reply) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			reply.Fatal(rec.Instance, fmt.Sprint(p))
			ok = false
		}
	}()
	for _, a := range d.Handle(batch.Now, rec.Event) {
		reply.Add(rec.Instance, a)
	}
	return true
}
