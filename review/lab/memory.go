package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// restartDelay is the time from a process's end to its next start.
	restartDelay = 300 * time.Millisecond
	// memoryInterval is the time between two looks at an instance's memory.
	memoryInterval = 5 * time.Millisecond
	// memoryStep is the growth in megabytes that is noted.
	memoryStep = 20
)

// memoryMB returns a figure of a process's status in megabytes.
func memoryMB(p *process, field string) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == field+":" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// enforceMemory does what the platform does with an instance that exceeds its memory:
// it kills it, and starts it again after a short delay. Only what the process has
// allocated counts, not its program.
func (l *lab) enforceMemory(i int) {
	peak := 0
	for range time.Tick(memoryInterval) {
		p := l.instance(i)
		used := memoryMB(p, "RssAnon")
		if used >= peak+memoryStep {
			peak = used
			l.note("%s uses %d MB (resident %d MB)", p.name, used, memoryMB(p, "VmRSS"))
		}
		if used > instanceMemoryMB {
			l.note("%s exceeds %d MB: %d MB (resident %d MB), killed by the platform", p.name, instanceMemoryMB, used, memoryMB(p, "VmRSS"))
			l.killAndRestart(i)
			peak = 0
		}
	}
}

// killAndRestart kills an instance and starts it again after a short delay.
func (l *lab) killAndRestart(i int) {
	p := l.instance(i)
	l.signal(p, syscall.SIGKILL)
	<-p.ended
	time.Sleep(restartDelay)
	if l.isClosing() {
		return
	}
	if err := l.restart(i); err != nil {
		l.note("%s did not start again: %v", p.name, err)
	}
}
