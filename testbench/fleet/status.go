package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// Status is the part of a daemon's status that tests read.
type Status struct {
	Ready    bool                         `json:"ready"`
	Revision configuration.RevisionNumber `json:"revision"`
	Daemons  []ports.VM                   `json:"daemons"`
	Services []ports.ServiceStatus        `json:"services"`
}

// Status requests the daemon's status.
func (d *Daemon) Status(ctx context.Context) (Status, error) {
	body, code, err := d.Get(ctx, "/v1/status")
	if err != nil {
		return Status{}, err
	}
	if code != http.StatusOK {
		return Status{}, fmt.Errorf("status of %s: %d: %s", d.VM.Name, code, body)
	}
	var status Status
	err = json.Unmarshal(body, &status)
	return status, err
}
