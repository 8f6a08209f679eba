//! Numbered log events.
//!
//! `docs/EVENTS.md` contains the same table; a test compares the two. Numbers are never
//! reused. Events must not contain secrets or message texts.

macro_rules! events {
    ($($event:ident, $number:literal, $level:literal, $meaning:literal;)*) => {
        /// Numbered event, logged with key-value fields.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $meaning] $event,)*
        }

        impl Event {
            /// All events, in table order.
            pub const ALL: &'static [Event] = &[$(Event::$event),*];

            /// Returns the number in the `event` field of the log line.
            pub fn number(self) -> u16 {
                match self { $(Event::$event => $number,)* }
            }

            /// Returns the log level: `error`, `warn`, `info` or `debug`.
            pub fn level(self) -> &'static str {
                match self { $(Event::$event => $level,)* }
            }

            /// Returns a one-sentence description for operators.
            pub fn meaning(self) -> &'static str {
                match self { $(Event::$event => $meaning,)* }
            }
        }
    };
}

events! {
    NodeStarted, 100, "info", "The node has opened its listeners.";
    NodeReady, 101, "info", "The node knows a configuration and its peers, and serves callers.";
    NodeDraining, 102, "info", "The node was told to stop; it hands over and finishes its streams.";
    NodeStopped, 103, "info", "The node has finished every stream and closed its listeners.";
    SignalUnheard, 104, "error", "A signal of the operator can't be heard.";
    MemberJoined, 200, "info", "A node joined the member list.";
    MemberSuspected, 201, "warn", "A node did not answer probes and may be declared dead.";
    MemberDead, 202, "warn", "A node was declared dead.";
    MemberLeft, 203, "info", "A node announced its planned departure.";
    PeerRefused, 204, "warn", "Bytes from an unauthenticated or incompatible peer were dropped.";
    OlderPeer, 205, "info", "A peer speaks an older version of the messages; it is told nothing that is newer.";
    OlderPeersGone, 206, "info", "The last connection with a peer of an older version has ended.";
    FrameTooLarge, 207, "error", "A reply is larger than the receiver accepts and was not sent.";
    LeaderElected, 300, "info", "This node became leader of a shard.";
    LeaderLost, 301, "info", "This node ceased to lead a shard.";
    VotersChanged, 302, "info", "A shard's replica group changed.";
    AttemptFailed, 400, "warn", "A back end failed an attempt.";
    AttemptLateAnswer, 401, "warn", "A late, doubled or crossed answer of a back end was dropped.";
    CallUnknown, 402, "warn", "A call that may not be repeated was closed with an unknown outcome.";
    ProgramReleased, 403, "debug", "An engine was told to release what it held for an ended program.";
    ConfigInForce, 500, "info", "A configuration version came into force on this node.";
    ConfigRejected, 501, "error", "A configuration version could not be carried out by this node.";
    StoreUnreachable, 502, "warn", "The key-value service did not answer; the version in force stays.";
    LogRecovered, 600, "info", "The data folder was read back after a restart.";
    LogTornTail, 601, "warn", "An incomplete record at the end of the log was cut off.";
    LogCorrupt, 602, "error", "A record of the log failed its checksum.";
    StoreComplete, 603, "info", "A store holds again everything that its disk ever acknowledged.";
    DiskRefuses, 604, "error", "The disk takes no record; others of the group keep what this store can't.";
    SegmentUnreadable, 605, "error", "A segment past its time can't be read back and is kept; the store refuses new turns once its memory is full.";
    StoreIncomplete, 606, "warn", "A store still lacks records after the time within which it should have caught up; the group may not bear the next loss.";
    DependencyRegained, 700, "info", "A dependency that had been lost answers again.";
    ViewChanged, 701, "info", "Routes, replicas or store members in use changed.";
    ItemUnreadable, 702, "error", "An item of the key-value service could not be read and is ignored.";
    MembersProposed, 703, "info", "This store proposed a change of the store groups.";
    SeededByStores, 704, "info", "The key-value service does not answer at this start; the stores' copy of its items is used.";
    GroupFailing, 705, "warn", "No quorum of stores is reached; turns with a budget or a history are refused.";
    MetricsUnavailable, 706, "error", "The metrics page could not be served at its address.";
    StoreRegistered, 707, "info", "This store registered for the groups that are to be formed.";
    ListWaits, 708, "info", "What this store waits for in the list of its group has changed; `nothing` once the group is whole.";
    PeerSilent, 709, "warn", "A connection to a store was closed: replies were outstanding and no data arrived.";
    DirectoryExchange, 710, "info", "A store's copy of the directory was large, too old or not received.";
    HistoryDiscarded, 711, "warn", "The key-value service, or the store that relays it, no longer has the changes after this process's directory; it is read again.";
    DirectoryRead, 712, "info", "A read of the complete directory ended.";
    RequestEnded, 800, "info", "A request was answered or given up; its decisive inputs and outcome follow.";
    SettingsReloaded, 801, "info", "The settings file was read again.";
    ReplicaSuspended, 802, "warn", "A replica is not offered work for a while.";
    ReplicaResumed, 803, "info", "A replica is offered work again.";
    ReplicasLapsed, 804, "warn", "Many of a service's replicas are missing after an absence of the key-value service; they are used for so many milliseconds more.";
    KeyContested, 805, "error", "A tenant names a key that another tenant holds; the key stays with the other.";
    QuotaUnknown, 806, "warn", "No store tells what a tenant has used of its limit; this front goes by its own share.";
    KeysUnconfirmed, 807, "warn", "Keys are taken by a directory that is older than the bound on changes: one may have been taken away since.";
    TenantsUnusual, 808, "info", "Tenants of the configuration hold no key, or have no limit.";
    OldListUsed, 809, "warn", "Requests are placed by a list of replicas that is older than the bound on changes.";
    ReplicasChanged, 810, "info", "Replicas were taken up or are offered nothing more.";
    ReplicaRestarted, 811, "info", "A replica started again under its identifier; nothing is believed of it that was before.";
    ZoneEvacuated, 812, "info", "A zone was evacuated: its replicas get no more requests.";
    ZoneReturned, 813, "info", "A zone is no longer evacuated; its replicas count as cold at first.";
    EvacuationWithoutEffect, 814, "error", "An evacuated zone has no listed replicas; its name may be wrong.";
    AllZonesEvacuated, 815, "error", "All zones with replicas are evacuated; requests are rejected.";
    ReplicaEnded, 816, "warn", "The process of a replica ended while it ran a request.";
    RequestBlocked, 817, "error", "A request is blocked: replicas ended one after the other while they ran it.";
    RequestCleared, 818, "info", "A restricted request ran to its end and may be sent again.";
    CallerConnectionEnded, 819, "info", "This front ended a caller's connection because of an error; the reason follows.";
    CallerConnectionsClosed, 820, "warn", "This front closed connections of callers at its limits; their number since the last line, the last one's phase and what is in use follow.";
}
