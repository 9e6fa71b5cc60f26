package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// names holds the names of the platform's protocol that Go files outside platform/ do not use. Bodies
// that are decoded need none: package json ignores the case of names.
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

// expand replaces $memory and $perWorker in the body of a job.
func expand(body string) []byte {
	return []byte(strings.NewReplacer("$memory", names["memory"], "$perWorker", names["perWorker"]).Replace(body))
}
