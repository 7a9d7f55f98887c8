"""Failover: detects a lost primary, proves which replica may replace it, and promotes that replica.

Reading order for "what happens when a primary dies":

1. `heartbeats.HeartbeatMonitor.check`: the primary's heartbeats stop. At the head of the chain,
   `coordinator.FailoverCoordinator.suspect` receives this suspicion and those of proxies.
2. `FailoverCoordinator._inspect_primary`: a majority of the control nodes must find the primary
   unreachable, each over its own connection (`observation.Observer.survey`).
3. `leader_change.LeaderChange.run`: records the failover (`promotion.PromotionRequests`), then
   repeats `_attempt` until a primary serves or this node is no longer the active head.
4. `failover.Failover.prepare`: pauses the replicas (`group_members.GroupMembers`), determines with
   `evidence.find_electable_members` who holds every acknowledged commit, chooses a candidate and
   confirms it once the proxies have applied the failover record. `switchover.Switchover.prepare` is
   the planned case.
5. `LeaderChange._promote` calls the platform; `LeaderChange._record_promoted_primary` records the
   new primary; `resumption.ReplicaResumption.resume` lets the paused replicas receive again.
"""
