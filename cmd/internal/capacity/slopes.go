// Package capacity computes what one node needs at a given size from measured slopes.
package capacity

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
)

// Name names one measured relation.
type Name string

// The relations that the page is computed from.
const (
	MemberBytes    Name = "memberBytes"
	MemberCPU      Name = "memberCPU"
	MemberMemory   Name = "memberMemory"
	ConfigMemory   Name = "configMemory"
	ConfigApply    Name = "configApply"
	DecisionTime   Name = "decisionTime"
	InventoryCPU   Name = "inventoryCPU"
	InventoryBytes Name = "inventoryBytes"
	TurnsCPU       Name = "inventoryTurnsCPU"
	HostBytes      Name = "hostChangeBytes"
	ReportBytes    Name = "reportBytes"
	ReportCPU      Name = "reportCPU"
	EngineMemory   Name = "engineMemory"
	UsageBytes     Name = "usageBytes"
	UsageCPU       Name = "usageCPU"
	LedgerRecovery Name = "ledgerRecovery"
	RequestCPU     Name = "requestCPU"
	TokenCPU       Name = "tokenCPU"
	StreamMemory   Name = "streamMemory"
)

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Relation is a measured relation between a size and a need.
type Relation struct {
	Name Name `json:"name"`
	// Size and Unit name what Point.Size and Point.Value count.
	Size string `json:"size"`
	Unit string `json:"unit"`
	// Command makes the points.
	Command string `json:"command"`
	// Points are in the order of their sizes.
	Points []Point `json:"points"`
}

// minPoints is the least number of sizes from which a slope is computed.
const minPoints = 3

// Line is a straight line through measured points.
type Line struct {
	Intercept float64
	Slope     float64
}

// At returns the line's value.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Estimate returns the need at a size. A line that falls is not followed beyond the measured sizes: the value at the largest one
// holds from there on.
func (r Relation) Estimate(size float64) (float64, error) {
	line, err := r.Fit()
	if err != nil {
		return 0, err
	}

	largest := r.Points[len(r.Points)-1]
	if line.Slope < 0 && size > largest.Size {
		return largest.Value, nil
	}

	return line.At(size), nil
}

// Fit returns the line of least squares.
func (r Relation) Fit() (Line, error) {
	if len(r.Points) < minPoints {
		return Line{}, errors.Errorf("%s has %d points, %d are needed", r.Name, len(r.Points), minPoints)
	}

	var sumX, sumY, sumXX, sumXY float64

	for _, point := range r.Points {
		sumX += point.Size
		sumY += point.Value
		sumXX += point.Size * point.Size
		sumXY += point.Size * point.Value
	}

	count := float64(len(r.Points))
	divisor := count*sumXX - sumX*sumX

	if divisor == 0 {
		return Line{}, errors.Errorf("%s has only one size", r.Name)
	}

	slope := (count*sumXY - sumX*sumY) / divisor

	return Line{Intercept: (sumY - slope*sumX) / count, Slope: slope}, nil
}

// Load reads the relations of a file.
func Load(path string) (map[Name]Relation, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read slopes")
	}

	var list []Relation
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, errors.Wrap(err, "parse slopes")
	}

	relations := map[Name]Relation{}

	for _, relation := range list {
		if _, ok := relations[relation.Name]; ok {
			return nil, errors.Errorf("%s stands twice", relation.Name)
		}

		relations[relation.Name] = relation
	}

	return relations, nil
}
