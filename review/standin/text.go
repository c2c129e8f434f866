package main

import "strings"

// maxLine bounds the lines of a log that are shown, in bytes.
const maxLine = 300

// tail returns the last n lines of a text.
func tail(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	lines = lines[max(len(lines)-n, 0):]
	for i, l := range lines {
		lines[i] = l[:min(len(l), maxLine)]
	}
	return strings.Join(lines, "\n")
}
