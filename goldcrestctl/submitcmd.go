package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

const (
	flagQueue = "queue"
	flagFile  = "file"
	// maxJobSize limits the size of a file with a job.
	maxJobSize = 1 << 20
)

func (c *config) newSubmitCmd() *cobra.Command {
	var job api.JobRequest
	cmd := &cobra.Command{
		Use:   "submit --queue QUEUE [--file FILE | settings] [-- COMMAND...]",
		Short: "Submit a job",
		Long: `Submit a job to a queue. The job is described by flags or by a JSON file.

The caller chooses the id of the job. A submission with the same id returns the
first result and starts no second job, so a submission whose response was lost
can be repeated.`,
		Example: `  goldcrestctl submit --queue transcription --id tape-17 --tasks 4 --cpus 2 \
    --memory 4GiB --run-time 20m --idempotent -- transcribe tape-17
  goldcrestctl submit --queue nightly --file reconciliation.json`,
		RunE: func(cmd *cobra.Command, args []string) error { return c.runSubmitCmd(cmd, args, &job) },
	}
	f := cmd.Flags()
	addQueueFlag(cmd)
	f.String(flagFile, "", "JSON file with the job, - for the standard input; excludes the flags of the job")
	f.StringVar(&job.ID, "id", "", "name of the job, unique within the team")
	f.StringVar(&job.Workload, "workload", api.WorkloadBatch, "batch, gang or service")
	f.IntVar(&job.Tasks, "tasks", 1, "number of tasks or replicas")
	f.Float64Var(&job.CPUs, "cpus", 1, "cores of one task")
	f.StringVar(&job.Memory, "memory", "1GiB", "memory of one task, such as 512MiB")
	f.Int64Var(&job.Accelerators, "accelerators", 0, "accelerators of one task")
	f.StringVar(&job.RunTime, "run-time", "", "expected run time of one task, such as 20m")
	f.StringVar(&job.Priority, "priority", "", "deferrable, normal or urgent")
	f.StringVar(&job.Deadline, "deadline", "", "time by which the job must have finished, RFC 3339")
	f.BoolVar(&job.Idempotent, "idempotent", false, "a task may be run again if it is unknown how it ended")
	f.BoolVar(&job.Checkpoints, "checkpoints", false, "tasks can be checkpointed and resumed")
	f.IntVar(&job.MaxAttempts, "max-attempts", 0, "limit of the attempts of one task; 0 is the default")
	for flag, values := range map[string][]string{
		"workload": {api.WorkloadBatch, api.WorkloadGang, api.WorkloadService},
		"priority": {"deferrable", "normal", "urgent"},
	} {
		if err := cmd.RegisterFlagCompletionFunc(flag, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp)); err != nil {
			panic(err)
		}
	}
	cmd.MarkFlagsOneRequired(flagFile, "id")
	f.VisitAll(func(flag *pflag.Flag) {
		if flag.Name != flagFile && flag.Name != flagQueue {
			cmd.MarkFlagsMutuallyExclusive(flagFile, flag.Name)
		}
	})
	return cmd
}

// addQueueFlag adds the required flag --queue.
func addQueueFlag(cmd *cobra.Command) {
	cmd.Flags().StringP(flagQueue, "q", "", "name of the queue")
	if err := cmd.MarkFlagRequired(flagQueue); err != nil {
		panic(err)
	}
}

func (c *config) runSubmitCmd(cmd *cobra.Command, args []string, job *api.JobRequest) error {
	file, _ := cmd.Flags().GetString(flagFile)
	if file != "" {
		data, err := c.readFile(file, maxJobSize)
		if err != nil {
			return err
		}
		if *job, err = api.DecodeJobRequest(data); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	if len(args) > 0 {
		job.Command = args
	}
	queue, _ := cmd.Flags().GetString(flagQueue)
	// The daemon validates the job too; a check here avoids a call with an invalid job.
	if _, err := job.Spec("", cluster.QueueName(queue)); err != nil {
		return err
	}
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	var status api.JobStatus
	req := request{method: http.MethodPost, path: apiPath("queues", queue, "jobs"), header: header, body: body}
	if err := c.callJSON(cmd.Context(), req, &status); err != nil {
		return err
	}
	return c.printJob(status)
}
