package entry

// Counter returns the sum of a counter or gauge over its labels.
func (e *Entry) Counter(name string) (sum float64, err error) {
	families, err := e.registry.Gather()

	for _, family := range families {
		if family.GetName() != name {
			continue
		}

		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}

	return sum, err
}
