package config

import "time"

// Defaults of a stand-in engine and a stand-in tool service.
const (
	defaultEngineSlots       = 16
	defaultEngineCacheTokens = 64 << 10
	defaultToolDelay         = 20 * time.Millisecond
)

// Defaults returns a file with the default values. The sections node, platform
// and standin are nil.
func Defaults() *File {
	return &File{
		Links: Links{
			SameZone:     100 * time.Microsecond,
			BetweenZones: time.Millisecond,
			Client:       time.Millisecond,
		},
		Timings: Timings{
			ProbePeriod:       time.Second,
			ProbeTimeout:      400 * time.Millisecond,
			SuspectTimeout:    3 * time.Second,
			MachineListPeriod: 2 * time.Second,
			LoadPeriod:        time.Second,
			SweepPeriod:       10 * time.Second,
			SettingsPoll:      2 * time.Second,
			SettingsFreshness: 10 * time.Second,
			LogTimeout:        5 * time.Second,
			LogRetryMinimum:   50 * time.Millisecond,
			LogRetryMaximum:   2 * time.Second,
			MirrorDelay:       100 * time.Millisecond,
			DialTimeout:       time.Second,
			ReadTimeout:       10 * time.Second,
			WriteTimeout:      10 * time.Second,
			IdleTimeout:       time.Minute,
			KeepAlive:         2 * time.Second,
			MaximumWait:       2 * time.Minute,
			ParkTimeout:       10 * time.Second,
			DrainTimeout:      30 * time.Second,
		},
		Limits: Limits{
			PartitionsPerBranch: 4,
			BodyBytes:           1 << 20,
			Connections:         4096,
			ConnectionsPerPeer:  512,
			Programs:            100_000,
			QueuedCalls:         64,
			SubAgentDepth:       8,
			UnconfirmedBytes:    8 << 20,
			MirrorBytes:         32 << 20,
			Mirrors:             2,
			SnapshotRecords:     1024,
		},
		Log: Log{Level: "info"},
	}
}

func (s *Standin) setDefaults() {
	*s = Standin{
		Seed:           1,
		LogDelay:       2 * time.Millisecond,
		MachineLag:     time.Second,
		MachineExpiry:  5 * time.Second,
		WeightTransfer: 8 * time.Second,
	}
}
