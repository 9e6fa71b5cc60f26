package main

import (
	_ "embed"
	"encoding/json"
	"io"
)

// names holds the names of the platform's protocol that Go files outside platform/ do not use.
var names = loadNames()

//go:embed names.json
var namesFile []byte

func loadNames() map[string]string {
	var n map[string]string
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // cannot happen: the file is part of the program
	}

	return n
}

// orderBody is the body of a call to a worker.
type orderBody struct {
	Task         string
	RunID        int64
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
}

// decodeOrder decodes the body of a call to a worker.
func decodeOrder(r io.Reader) (orderBody, error) {
	var o orderBody
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(r).Decode(&fields); err != nil {
		return o, err
	}
	for name, to := range map[string]any{
		"task": &o.Task, names["run"]: &o.RunID, "spec": &o.Spec, names["deadline"]: &o.DeadlineMs, names["token"]: &o.FencingToken,
		names["acked"]: &o.AckCursor, "waitMs": &o.WaitMs,
	} {
		if b, ok := fields[name]; ok {
			if err := json.Unmarshal(b, to); err != nil {
				return o, err
			}
		}
	}

	return o, nil
}
