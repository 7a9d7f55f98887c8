"""Failover: detecting a lost primary, proving which replica may replace it, promoting that replica.

Reading order for "what happens when a primary dies":

1. `heartbeats.HeartbeatMonitor.check`: its heartbeats stop; at the head of the chain
   `coordinator.FailoverCoordinator.suspect` takes this suspicion, and those of proxies.
2. `FailoverCoordinator._inspect_primary`: a majority of the control nodes must find it unreachable,
   each over a connection of its own (`observation.Observer.survey`).
3. `leader_change.LeaderChange.run`: records the failover (`promotion.PromotionRequests.begin`),
   then repeats `_attempt` until a primary serves or this node is no longer the active head.
4. `failover.Failover.prepare`: pauses the replicas (`group_members.GroupMembers`), asks
   `evidence.decide` who holds every acknowledged commit, chooses a candidate and confirms it
   once the proxies know of the failover. (`switchover.Switchover.prepare`: the planned case.)
5. `LeaderChange._promote` asks the platform; `LeaderChange._settle` records the new primary;
   `resumption.ReplicaResumption.resume` lets the replicas receive again.
"""
