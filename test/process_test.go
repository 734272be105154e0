package test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// waitTimeout bounds every wait for a condition. It is far above the time that a
// correct system takes, so that only a condition that never holds exceeds it.
const waitTimeout = 90 * time.Second

// process is a bambooscaled that the test started.
type process struct {
	name      string
	cmd       *exec.Cmd
	addresses map[string]string // by key, from the ready line on its standard output
	logFile   string            // standard error, and standard output after the ready line
	exited    chan struct{}     // closed when it has ended
	exitErr   error             // valid when exited is closed
}

// startProcess starts bambooscaled and waits until it prints its addresses.
func startProcess(dir, name string, args ...string) (*process, error) {
	p := &process{name: name, logFile: filepath.Join(dir, name+".log"), exited: make(chan struct{}), addresses: map[string]string{}}
	logOutput, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(filepath.Join(programsDir, "bambooscaled"), args...)
	p.cmd.Stderr = logOutput
	// With halt_on_error a data race ends the process with an error, so that it
	// cannot pass as a normal exit.
	p.cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1", "GOMAXPROCS=2")
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	line := make(chan string, 1)
	go func() {
		defer logOutput.Close()
		reader := bufio.NewReader(stdout)
		text, _ := reader.ReadString('\n')
		line <- text
		_, _ = reader.WriteTo(logOutput)
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	select {
	case text := <-line:
		return p, p.parseReadyLine(text)
	case <-time.After(waitTimeout):
		p.kill()
		return nil, fmt.Errorf("%s was not ready after %v", name, waitTimeout)
	}
}

// parseReadyLine reads a line of the form "ready KEY=ADDRESS...". It kills the
// process and returns an error with its log if the line is another one.
func (p *process) parseReadyLine(text string) error {
	fields := strings.Fields(text)
	if len(fields) == 0 || fields[0] != "ready" {
		p.kill()
		raw, _ := os.ReadFile(p.logFile)
		return fmt.Errorf("%s did not become ready: %q\n%s", p.name, text, raw)
	}
	for _, f := range fields[1:] {
		key, value, _ := strings.Cut(f, "=")
		p.addresses[key] = value
	}
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL, which also ends a frozen process, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// waitUntil polls a condition until it holds. The error after waitTimeout names
// what was waited for and the last error of the condition.
func waitUntil(what string, condition func() (bool, error)) error {
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		ok, err := condition()
		if ok {
			return nil
		}
		select {
		case <-ticker.C:
		case <-deadline:
			return fmt.Errorf("condition not met after %v: %s (last error: %v)", waitTimeout, what, err)
		}
	}
}
