package gossip

import (
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/saturate"
)

// fullUpdate returns the whole record of an instance.
func fullUpdate(now time.Duration, r *directory.Record) *gossipv1.InstanceUpdate {
	u := renewal(now, r)
	a := &r.Announcement
	u.Announcement = &gossipv1.Announcement{
		Endpoint:    a.Endpoint,
		Kind:        string(a.Kind),
		Zone:        a.Zone,
		Address:     a.Address,
		Pieces:      uint32(a.KVBlocks),
		ChecksFence: a.ChecksFence,
		Draining:    a.Draining,
		LeaseMs:     saturate.Uint32(a.LeaseSeconds * 1000),
		Role:        string(a.State.Role),
		Models:      toModels(a.State.Models),
		Fence:       a.State.Fence,
		Outstanding: toOrder(a.State.Outstanding),
		LastOrder:   toOrder(a.State.LastOrder),
		Drained:     a.State.Drained,
	}
	return u
}

// renewal returns the lease renewal and load of an instance, without its record.
func renewal(now time.Duration, r *directory.Record) *gossipv1.InstanceUpdate {
	return &gossipv1.InstanceUpdate{
		Instance:      r.Announcement.Instance,
		Incarnation:   r.Announcement.Incarnation,
		Sequence:      r.Announcement.Sequence,
		StateSequence: r.StateSequence,
		AgeMs:         uint32(r.Age(now).Milliseconds()),
		Load:          toLoad(now, r),
	}
}

func toLoad(now time.Duration, r *directory.Record) *gossipv1.Load {
	l := &r.Announcement.Load
	return &gossipv1.Load{
		Sequence:            l.Sequence,
		Running:             uint32(l.Running),
		Queued:              uint32(l.Queued),
		QueuedPrefill:       uint32(l.QueuedPrefill),
		UsedPieces:          uint32(l.UsedKVBlocks),
		CachedPieces:        uint32(l.CachedKVBlocks),
		StepMs:              float32(l.StepMillis),
		PrefillPerSec:       float32(l.PrefillPerSec),
		DecodePerSec:        float32(l.DecodePerSec),
		AgeMs:               uint32(max(0, r.HeardAt-r.LoadAt).Milliseconds()),
		CacheEventsSequence: l.CacheEventsSeq,
	}
}

func fromLoad(l *gossipv1.Load) engineapi.LoadReport {
	return engineapi.LoadReport{
		Sequence:       l.GetSequence(),
		Running:        int(l.GetRunning()),
		Queued:         int(l.GetQueued()),
		QueuedPrefill:  int(l.GetQueuedPrefill()),
		UsedKVBlocks:   int(l.GetUsedPieces()),
		CachedKVBlocks: int(l.GetCachedPieces()),
		StepMillis:     float64(l.GetStepMs()),
		PrefillPerSec:  float64(l.GetPrefillPerSec()),
		DecodePerSec:   float64(l.GetDecodePerSec()),
		AgeMillis:      int64(l.GetAgeMs()),
		CacheEventsSeq: l.GetCacheEventsSequence(),
	}
}

func fromUpdate(u *gossipv1.InstanceUpdate) engineapi.Announcement {
	a := u.GetAnnouncement()
	return engineapi.Announcement{
		Instance:     u.GetInstance(),
		Incarnation:  u.GetIncarnation(),
		Sequence:     u.GetSequence(),
		Endpoint:     a.GetEndpoint(),
		Kind:         engineapi.Kind(a.GetKind()),
		Zone:         a.GetZone(),
		Address:      a.GetAddress(),
		KVBlocks:     int(a.GetPieces()),
		ChecksFence:  a.GetChecksFence(),
		Draining:     a.GetDraining(),
		LeaseSeconds: float64(a.GetLeaseMs()) / 1000,
		State: engineapi.EngineState{
			Role:        engineapi.Role(a.GetRole()),
			Models:      fromModels(a.GetModels()),
			Fence:       a.GetFence(),
			Outstanding: fromOrder(a.GetOutstanding()),
			LastOrder:   fromOrder(a.GetLastOrder()),
			Drained:     a.GetDrained(),
		},
		Load: fromLoad(u.GetLoad()),
	}
}

func toModels(models []engineapi.Model) []*gossipv1.Model {
	var out []*gossipv1.Model
	for _, m := range models {
		out = append(out, &gossipv1.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return out
}

func fromModels(models []*gossipv1.Model) []engineapi.Model {
	var out []engineapi.Model
	for _, m := range models {
		out = append(out, engineapi.Model{Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters()})
	}
	return out
}

func toOrder(o engineapi.OrderStatus) *gossipv1.Order {
	if o.ID == "" {
		return nil
	}
	return &gossipv1.Order{Id: o.ID, Fence: o.Fence, Kind: string(o.Kind), Phase: string(o.Phase), Reason: o.Reason}
}

func fromOrder(o *gossipv1.Order) engineapi.OrderStatus {
	return engineapi.OrderStatus{
		ID:     o.GetId(),
		Fence:  o.GetFence(),
		Kind:   engineapi.OrderKind(o.GetKind()),
		Phase:  engineapi.OrderPhase(o.GetPhase()),
		Reason: o.GetReason(),
	}
}
