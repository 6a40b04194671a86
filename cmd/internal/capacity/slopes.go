// Package capacity estimates the CPU, memory and bandwidth that one node needs at a given system size. It extrapolates straight
// lines fitted to measured points and writes the result as a Markdown page, docs/CAPACITY.md.
package capacity

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
)

// Name identifies a measured relation.
type Name string

// The relations that the page is computed from.
const (
	MemberBytes       Name = "memberBytes"
	MemberCPU         Name = "memberCPU"
	MemberMemory      Name = "memberMemory"
	ConfigMemory      Name = "configMemory"
	ConfigApply       Name = "configApply"
	DecisionTime      Name = "decisionTime"
	InventoryCPU      Name = "inventoryCPU"
	InventoryBytes    Name = "inventoryBytes"
	InventoryTurnsCPU Name = "inventoryTurnsCPU"
	HostChangeBytes   Name = "hostChangeBytes"
	ReportBytes       Name = "reportBytes"
	ReportCPU         Name = "reportCPU"
	EngineMemory      Name = "engineMemory"
	UsageBytes        Name = "usageBytes"
	UsageCPU          Name = "usageCPU"
	LedgerRecovery    Name = "ledgerRecovery"
	RequestCPU        Name = "requestCPU"
	TokenCPU          Name = "tokenCPU"
	StreamMemory      Name = "streamMemory"
)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Relation holds the measured points of how a resource need depends on a size, such as CPU on the number of members.
type Relation struct {
	Name Name `json:"name"`
	// Size and Unit say what Point.Size and Point.Value count.
	Size string `json:"size"`
	Unit string `json:"unit"`
	// Command is the command that measures the points.
	Command string `json:"command"`
	// Points are sorted by size.
	Points []Point `json:"points"`
}

// minPoints is the minimum number of points for fitting a line.
const minPoints = 3

// Line is a straight line fitted to measured points.
type Line struct {
	Intercept float64
	Slope     float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Estimate returns the need at a size. A falling line is not extrapolated beyond the largest measured size, since it would
// eventually reach negative values; the value measured there is returned.
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

// Fit returns the least-squares line through the points.
func (r Relation) Fit() (Line, error) {
	if len(r.Points) < minPoints {
		return Line{}, errors.Errorf("fit line of relation %s: got %d points, at least %d are needed", r.Name, len(r.Points), minPoints)
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
		return Line{}, errors.Errorf("fit line of relation %s: all points have the same size", r.Name)
	}

	slope := (count*sumXY - sumX*sumY) / divisor

	return Line{Intercept: (sumY - slope*sumX) / count, Slope: slope}, nil
}

// Load reads relations from a JSON file.
func Load(path string) (map[Name]Relation, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read file of measured relations")
	}

	var list []Relation
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, errors.Wrap(err, "parse JSON of measured relations")
	}

	relations := map[Name]Relation{}

	for _, relation := range list {
		if _, ok := relations[relation.Name]; ok {
			return nil, errors.Errorf("relation %s is listed twice", relation.Name)
		}

		relations[relation.Name] = relation
	}

	return relations, nil
}
