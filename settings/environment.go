package settings

import (
	"fmt"
	"os"
	"strings"
)

// maxEnvironmentFile bounds an environment file, in bytes.
const maxEnvironmentFile = 64 << 10

// EnvironmentError is a line of an environment file that cannot be read.
type EnvironmentError struct {
	File string
	Line int
}

// Error names the file and the line.
func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("%s:%d: allowed: NAME=value, an empty line, or a line that begins with #", e.File, e.Line)
}

// ReadEnvironment returns the variables of a file of lines NAME=value. Its
// values go before those of the environment, and may change while the process
// runs. The error is an *EnvironmentError or that of the file.
func ReadEnvironment(file string) (map[string]string, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(content) > maxEnvironmentFile {
		return nil, &EnvironmentError{
			File: file,
			Line: strings.Count(string(content[:maxEnvironmentFile]), "\n"),
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
