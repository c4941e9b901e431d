// Command mutants is a mutation test of the project's safety checks. In a scratch copy of the source tree it removes
// one guard after the other, runs the tests that should fail without it, and prints which ones did. It exits with 1
// if a mutant survives: a guard whose removal no test detects is a defect in the tests.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// testTimeout bounds the test run of one mutant. A mutant that makes its tests hang counts as caught.
const testTimeout = "180s"

var failLine = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

func main() {
	only := flag.String("only", "", "run only the mutants whose name contains this")
	flag.Parse()
	dir, err := os.MkdirTemp("", "fireflyshift-mutants-")
	if err == nil {
		err = copyTree(dir)
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	survivors := runAll(dir, *only)
	_ = os.RemoveAll(dir)
	if survivors > 0 {
		fmt.Printf("%d mutants were not caught\n", survivors)
		os.Exit(1)
	}
}

func runAll(dir, only string) (survivors int) {
	for _, m := range mutants {
		if !strings.Contains(m.name, only) {
			continue
		}
		started := time.Now()
		caught, err := m.run(dir)
		verdict := fmt.Sprintf("caught by %s (%s)", caught, time.Since(started).Round(time.Second))
		if err != nil {
			verdict = fmt.Sprintf("cannot run: %v", err)
		} else if caught == "" {
			verdict = "SURVIVED"
		}
		if caught == "" {
			survivors++
		}
		fmt.Printf("%-22s promise %-5s %s\n", m.name, m.requirement, verdict)
	}
	return survivors
}

// run applies the mutant to the source tree in dir, runs its tests, and restores the file. It returns the names of
// the tests that failed; empty if none did.
func (m mutant) run(dir string) (string, error) {
	path := filepath.Join(dir, m.file)
	original, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = os.WriteFile(path, original, 0o600) }()
	if n := strings.Count(string(original), m.old); n != 1 {
		return "", fmt.Errorf("the mutant's old text occurs %d times in %s, want once; correct its row in table.go", n, m.file)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(original), m.old, m.new, 1)), 0o600); err != nil {
		return "", err
	}
	if out, err := runGo(dir, "build", "./..."); err != nil {
		return "", fmt.Errorf("the mutant does not build: %s", out)
	}
	args := append([]string{"test", "-timeout", testTimeout, "-failfast"}, m.tests...)
	out, err := runGo(dir, args...)
	if err == nil {
		return "", nil
	}
	var names []string
	for _, f := range failLine.FindAllStringSubmatch(out, -1) {
		names = append(names, f[1])
	}
	if len(names) == 0 {
		return "", fmt.Errorf("the tests did not run: %s", out)
	}
	return strings.Join(names, ", "), nil
}

func runGo(dir string, args ...string) (string, error) {
	cmd := exec.Command("go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// copyTree copies the files that git tracks to dir, with their uncommitted changes.
func copyTree(dir string) error {
	out, err := exec.Command("git", "ls-files").Output()
	if err != nil {
		return err
	}
	for _, f := range strings.Fields(string(out)) {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		to := filepath.Join(dir, f)
		if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
