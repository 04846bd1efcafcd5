package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/replica"
)

// maxRecordWait is how long the first events of a version's streams wait until the version is
// recorded. Only the streams that begin in that time wait.
const maxRecordWait = 500 * time.Millisecond

// recordedVersions are the listed versions that this node knows to be recorded in the store. The
// zero value is empty. It is safe for concurrent use.
type recordedVersions struct {
	mutex sync.Mutex
	known versionSet
	// recordings are the versions that this node is recording.
	recordings map[replica.ServiceVersion]*versionRecording
}

// versionRecording is the recording of a version that was not known to be recorded.
type versionRecording struct {
	begunAt time.Time
	// done is closed once the recording has ended.
	done chan struct{}
}

// recording returns the recording of a version, or nil if the version is recorded. begun is set if
// the caller has to perform it.
func (v *recordedVersions) recording(now time.Time, version replica.ServiceVersion) (recording *versionRecording, begun bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.known[version] {
		return nil, false
	}
	if recording := v.recordings[version]; recording != nil {
		return recording, false
	}
	if v.recordings == nil {
		v.recordings = make(map[replica.ServiceVersion]*versionRecording)
	}
	recording = &versionRecording{begunAt: now, done: make(chan struct{})}
	v.recordings[version] = recording
	return recording, true
}

// end ends the recording of a version.
func (v *recordedVersions) end(version replica.ServiceVersion, recorded bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	close(v.recordings[version].done)
	delete(v.recordings, version)
	if !recorded {
		return
	}
	if v.known == nil {
		v.known = make(versionSet)
	}
	v.known[version] = true
}

// retain forgets the versions that are not listed: other nodes may remove their records.
func (v *recordedVersions) retain(listed versionSet) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	maps.DeleteFunc(v.known, func(version replica.ServiceVersion, _ bool) bool { return !listed[version] })
}

// awaitVersionRecorded waits until the store has a record of a version, for at most maxRecordWait
// from the first request for it: a node that resumes one of its streams later finds that record,
// whether it lists the version or not.
func (n *Node) awaitVersionRecorded(ctx context.Context, version replica.ServiceVersion) {
	recording, begun := n.recorded.recording(time.Now(), version)
	if recording == nil {
		return
	}
	if begun {
		n.run(func(ctx context.Context) { n.recordVersion(ctx, version) })
	}
	timer := time.NewTimer(time.Until(recording.begunAt.Add(maxRecordWait)))
	defer timer.Stop()
	select {
	case <-recording.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordVersion records a version. It tries until the version is recorded or no longer listed.
func (n *Node) recordVersion(ctx context.Context, version replica.ServiceVersion) {
	for ctx.Err() == nil {
		added, err := n.ensureVersionRecorded(ctx, version)
		if err == nil {
			n.logger.Info().Str("service", version.Service).Str("version", version.Version).Bool("added", added).Msg("versions: recorded before a stream")
			n.recorded.end(version, true)
			return
		}
		n.logger.Warn().Str("service", version.Service).Str("version", version.Version).Err(err).Msg("versions: not recorded before a stream")
		wait.For(ctx, versionsPeriod)
		if !n.replicas.listedVersions()[version] {
			break
		}
	}
	n.recorded.end(version, false)
}

// ensureVersionRecorded records a version unless the store has its record.
func (n *Node) ensureVersionRecorded(ctx context.Context, version replica.ServiceVersion) (added bool, err error) {
	readCtx, cancel := context.WithTimeout(ctx, versionsReadWait)
	defer cancel()
	recorded, err := n.versionsRead.get(readCtx)
	if err != nil || recorded[version] {
		return false, err
	}
	records, err := versionRecords([]replica.ServiceVersion{version}, nil)
	if err != nil {
		return false, err
	}
	return true, n.appendUnfenced(ctx, versionsStream, records)
}
