package settings

import (
	"fmt"
	"os"
	"strings"
)

// maxEnvironmentFileBytes bounds the size of an environment file.
const maxEnvironmentFileBytes = 64 << 10

// EnvironmentError reports a malformed line of an environment file, or the line at
// which the file exceeds the size limit.
type EnvironmentError struct {
	File string
	Line int
}

// Error names the file and the line.
func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("%s:%d: allowed: NAME=value, an empty line, or a line that begins with #", e.File, e.Line)
}

// ReadEnvironment reads a file of NAME=value lines and returns its variables. They
// take precedence over the process environment and may change while the process
// runs. The error is an *EnvironmentError or that of reading the file.
func ReadEnvironment(file string) (map[string]string, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(content) > maxEnvironmentFileBytes {
		return nil, &EnvironmentError{
			File: file,
			Line: strings.Count(string(content[:maxEnvironmentFileBytes]), "\n"),
		}
	}
	variables := make(map[string]string)
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		if !ok || strings.TrimSpace(name) == "" {
			return nil, &EnvironmentError{
				File: file,
				Line: i + 1,
			}
		}
		variables[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	return variables, nil
}
