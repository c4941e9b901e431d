// Command mutants shows that the proofs can fail. For each guard it makes a scratch copy of the
// tree, takes the guard away, runs the tests that should notice, and prints which one did. It exits
// with 1 if a mutant survives: a guard that no test misses is a defect in the tests.
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

// testTimeout bounds one mutant's tests; a mutant that hangs them is caught too.
const testTimeout = "180s"

var failed = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

func main() {
	only := flag.String("only", "", "run only the mutants whose name contains this")
	flag.Parse()
	survivors := 0
	for _, m := range mutants {
		if !strings.Contains(m.name, *only) {
			continue
		}
		started := time.Now()
		caught, err := m.run()
		if err != nil {
			fmt.Printf("%-28s promise %s  cannot run: %v\n", m.name, m.promise, err)
			survivors++
			continue
		}
		if caught == "" {
			fmt.Printf("%-28s promise %s  SURVIVED\n", m.name, m.promise)
			survivors++
			continue
		}
		fmt.Printf("%-28s promise %s  caught by %s (%s)\n", m.name, m.promise, caught, time.Since(started).Round(time.Second))
	}
	if survivors > 0 {
		fmt.Printf("%d mutants were not caught\n", survivors)
		os.Exit(1)
	}
}

// run returns the names of the tests that failed, empty if none did.
func (m mutant) run() (string, error) {
	dir, err := os.MkdirTemp("", "fireflyshift-mutant-")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(dir)
	if err := copyTree(dir); err != nil {
		return "", err
	}
	if err := m.apply(filepath.Join(dir, m.file)); err != nil {
		return "", err
	}
	if out, err := goIn(dir, "build", "./..."); err != nil {
		return "", fmt.Errorf("the mutant does not build: %s", out)
	}
	args := append([]string{"test", "-timeout", testTimeout, "-failfast"}, m.tests...)
	out, err := goIn(dir, args...)
	if err == nil {
		return "", nil
	}
	var names []string
	for _, f := range failed.FindAllStringSubmatch(out, -1) {
		names = append(names, f[1])
	}
	if len(names) == 0 {
		return "", fmt.Errorf("the tests did not run: %s", out)
	}
	return strings.Join(names, ", "), nil
}

func goIn(dir string, args ...string) (string, error) {
	cmd := exec.Command("go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (m mutant) apply(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := strings.Count(string(data), m.old); n != 1 {
		return fmt.Errorf("the guard's text is found %d times in %s; correct the mutant", n, m.file)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(data), m.old, m.new, 1)), 0o600)
}

// copyTree copies the files that git tracks, as they stand in the working tree.
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
