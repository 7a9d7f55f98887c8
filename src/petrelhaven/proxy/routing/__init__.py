"""Routes statements from clients to members and the replies back.

1. An adapter speaks the protocol of clients and members (on the platform, the modules
   `client_connection` and `member_connections`). It calls `ProxyNode.serve_statement`
   (`proxy/node`).
2. `reply_without_member` (`session/immediate_reply`) answers SET, PREPARE, DEALLOC, BEGIN and
   ROLLBACK.
3. For all other statements, `ProxyNode._run_routed` looks up the route and the group, consults the
   embargo filter and creates a `Request`. `RequestSlots.run` runs it in a slot, or sheds it.
4. `StatementPath.run` passes it to `ReadPath`, `WritePath` or `TransactionPath`. The first
   statement of a transaction begins it at a member, with `TransactionStart.run`.
5. A read gets its position from `ReadPlacement.start_piggybacked_attempt` or `fetch_position` (the
   read clock, `reads/read_clock`); `MemberGroup.pick_member` selects the member. Writes go to
   `MemberGroup.available_primary`.
6. `MemberCalls.send` takes a connection (`ConnectionPool.acquire`), sets it up
   (`MemberConnection.set_up`), checks the lease if a fetch is piggybacked on the statement, and
   sends the statement (`send_statement`).
7. `MemberCalls.collect_reply` records what the reply shows about the member. A successful write may
   also need confirmation from a replica (`MemberProofs.needs_replica_confirmation`).

A proxy without a lease continues to serve statements. `MemberGroup.leased_primary` is then None, so
no read piggybacks a fetch: positions come from STATUS requests (`MemberGroup._fetch`), and the
positions of the other members prove nothing (`MemberProofs._are_sufficient`). In groups with
synchronous replicas, a successful write or commit counts only once the known replicas that answer
show it (`MemberProofs.confirm_commit`). Groups under an embargo answer `withheld`
(`proxy/embargo`). The lease itself is `CoreConnection.holds_lease`.
"""
