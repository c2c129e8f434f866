package main

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards the exit codes that scripts rely on.
func TestReplayExitCodes(t *testing.T) {
	const good = "../../replayer/testdata/not-run.jsonl"
	write := func(name, text string) string {
		file := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	differs := write("differs.jsonl", `{"kind":"query","id":"Q","index":"i"}
{"kind":"start"}
{"kind":"outcome","outcome":"complete"}`)
	for _, tt := range []struct {
		files []string
		want  int
	}{
		{[]string{good}, exitOK},
		{[]string{differs, good}, exitFailure},
		{[]string{good, write("bad.jsonl", "{")}, exitUsage},
		{nil, exitUsage},
	} {
		if got := run(append([]string{"replay"}, tt.files...)); got != tt.want {
			t.Errorf("%v: got %d, want %d", tt.files, got, tt.want)
		}
	}
}
