package wire

import (
	"arbutusreel/crash"
	"arbutusreel/wiregen"
)

// EncodeCrashes returns the message for facts about crashes, or nil if there are none.
func EncodeCrashes(f crash.Facts) *wiregen.CrashEvidence {
	if f.Len() == 0 {
		return nil
	}
	m := &wiregen.CrashEvidence{Sound: encodeParts(f.Sound)}
	for _, r := range f.Reports {
		report := &wiregen.CrashReport{Endpoint: r.ID, Born: r.Born}
		for _, p := range r.Prompts {
			report.Prompts = append(report.Prompts, &wiregen.PromptParts{Parts: encodeParts(p)})
		}
		m.Reports = append(m.Reports, report)
	}
	return m
}

func encodeParts(parts []crash.Part) []uint64 {
	return mapAll(parts, func(p crash.Part) uint64 { return uint64(p) })
}

// DecodeCrashes returns the facts in a message, within the bounds of a report.
func DecodeCrashes(m *wiregen.CrashEvidence) crash.Facts {
	f := crash.Facts{Sound: decodeParts(m.GetSound())}
	for _, r := range m.GetReports() {
		report := crash.Report{Endpoint: crash.Endpoint{ID: r.GetEndpoint(), Born: r.GetBorn()}}
		for _, p := range r.GetPrompts() {
			report, _ = report.With(crash.NewPrompt(decodeParts(p.GetParts())))
		}
		f.Reports = append(f.Reports, report)
	}
	return f
}

func decodeParts(encoded []uint64) []crash.Part {
	return mapAll(encoded, func(p uint64) crash.Part { return crash.Part(p) })
}
