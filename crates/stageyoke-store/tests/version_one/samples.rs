//! One value of every frozen message, record, file and entry, with a name each.

use nanoserde::SerBin;
use stageyoke_directory::{DirectoryMark, GroupNumber, Member, MemberState, Members, StoreGroups};
use stageyoke_store::frame;
use stageyoke_store::keys::{ProgramKey, TurnKey};
use stageyoke_store::message::{
    ChainPart, CopyFreshness, DirectoryChange, DirectoryItem, JournalPosition, LatencyEntry,
    LedgerEntry, LoadEntry, LoadReport, Numbered, OtherFrontsReport, Placement, QuotaReceipt,
    QuotaReply, QuotaRequest, Record, Refusal, Reply, Request, SilentPeer, SlowReplica, Suspicion,
    TurnRecord,
};
use stageyoke_store::segment;
use stageyoke_types::{Blob, List, Text};

/// A value's name and its bytes.
pub struct Sample {
    pub name: String,
    pub bytes: Vec<u8>,
}

fn sample(name: &str, value: &impl SerBin) -> Sample {
    Sample {
        name: name.to_owned(),
        bytes: value.serialize_bin(),
    }
}

/// All of them, in a fixed order.
pub fn all() -> Vec<Sample> {
    let mut samples = Vec::new();
    for request in requests() {
        samples.push(sample(
            &format!("request {}", request_name(&request)),
            &request,
        ));
    }
    for reply in replies() {
        samples.push(sample(&format!("reply {}", reply_name(&reply)), &reply));
    }
    for record in records() {
        samples.push(sample(&format!("record {}", record_name(&record)), &record));
    }
    for refusal in refusals() {
        samples.push(sample(
            &format!("refusal {}", refusal_name(refusal)),
            &refusal,
        ));
    }
    samples.push(sample("entry of the store groups", &stores()));
    samples.push(sample("entry of a registration", &member(1)));
    samples.push(sample("file of the items", &List(vec![item()])));
    samples.push(Sample {
        name: "frame of a request".to_owned(),
        bytes: frame::encode(&Numbered {
            number: 7,
            content: Request::Ping,
        }),
    });
    samples.push(Sample {
        name: "record in a segment".to_owned(),
        bytes: in_segment(),
    });
    samples.extend(computed());
    samples
}

/// What builds work out alike, each for itself.
fn computed() -> Vec<Sample> {
    let TurnKey(turn) = TurnKey::of("turn-1");
    let ProgramKey(program) = ProgramKey::of("program-1");
    let groups = StoreGroups {
        version: 3,
        groups: List(vec![Members::default(); 5]),
    };
    let group = groups.group_of_hash(turn).unwrap_or_default();
    let mut samples = vec![
        sample("key of a turn", &turn),
        Sample {
            name: "key of a program".to_owned(),
            bytes: program.to_le_bytes().to_vec(),
        },
        sample("group of a turn", &group),
    ];
    for record in records() {
        let name = format!("digest of {}", record_name(&record));
        samples.push(sample(&name, &record.digest()));
    }
    samples
}

fn in_segment() -> Vec<u8> {
    let mut bytes = Vec::new();
    segment::encode_clock(11, &mut bytes);
    for record in records() {
        segment::encode_record(&record, &mut bytes);
    }
    bytes
}

pub fn requests() -> Vec<Request> {
    vec![
        Request::Append {
            group: GroupNumber(1),
            members_version: 4,
            load: load(),
            placement: Some(placement()),
            record: reserve(),
        },
        Request::Chain {
            group: GroupNumber(1),
            members_version: 4,
            turn: Text::from("turn-1"),
        },
        Request::Digests {
            group: GroupNumber(1),
            members_version: 4,
            node: Text::from("store-1"),
            from: position(5),
            held: position(6),
        },
        Request::NewerStoreGroups(stores()),
        Request::TurnPlaced {
            turn: 12,
            placement: placement(),
        },
        Request::TurnEnded { turn: 12 },
        Request::Quota(question()),
        Request::QuotaGranted(question()),
        Request::QuotaRefund {
            tenant: 13,
            receipt: receipt(),
        },
        Request::Ping,
        Request::Items,
        Request::Changes { after: 14 },
        Request::Routes,
        Request::Directory,
        Request::Stores,
        Request::Fetch {
            digests: List(vec![15, 16]),
        },
    ]
}

/// The name of a frozen request. Do not add to this list: a build before yours ends
/// the connection at a variant that it doesn't know. What is new travels in a field
/// behind a frozen message (`extension.rs`, `docs/design/versions.md`).
pub fn request_name(request: &Request) -> &'static str {
    match request {
        Request::Append { .. } => "append",
        Request::Chain { .. } => "chain",
        Request::Digests { .. } => "digests",
        Request::NewerStoreGroups(_) => "newer stores",
        Request::TurnPlaced { .. } => "placed",
        Request::TurnEnded { .. } => "ended",
        Request::Quota(_) => "quota",
        Request::QuotaGranted(_) => "quota granted",
        Request::QuotaRefund { .. } => "quota returned",
        Request::Ping => "ping",
        Request::Items => "items",
        Request::Changes { .. } => "changes",
        Request::Routes => "routes",
        Request::Directory => "directory",
        Request::Stores => "stores",
        Request::Fetch { .. } => "fetch",
    }
}

pub fn replies() -> Vec<Reply> {
    vec![
        Reply::Stored {
            complete: true,
            ledger: List(vec![LedgerEntry {
                turn: 17,
                amount: 18,
                settled: true,
            }]),
            other_fronts: others(),
            directory: directory(),
        },
        Reply::Chain {
            complete: true,
            parts: List(vec![part()]),
            missing: Text::from("turn-0"),
        },
        Reply::Digests {
            next: position(8),
            more: true,
            complete: false,
            members_version: 4,
            directory: directory(),
            silent: List(vec![SilentPeer {
                node: Text::from("store-2"),
                silent_milliseconds: 900,
            }]),
            digests: List(vec![15, 16]),
        },
        Reply::Quota(QuotaReply {
            decided: true,
            granted: false,
            retry_after_milliseconds: 250,
            fronts: 73,
            receipt: receipt(),
        }),
        Reply::Pong,
        Reply::Items(List(vec![item()])),
        Reply::Changes {
            known: true,
            changes: List(vec![change(Some("value")), change(None)]),
            mark: mark(),
        },
        Reply::Routes {
            item: item(),
            age_milliseconds: 30,
        },
        Reply::Directory {
            items: List(vec![item()]),
            mark: mark(),
        },
        Reply::DirectoryUnknown,
        Reply::Stores(List(vec![Text::from("10.0.0.1:7000")])),
        Reply::Fetched {
            journal: 19,
            records: List(records()),
            expired: List(vec![20]),
        },
        Reply::StaleMembers(stores()),
        Reply::Refused(Refusal::NotAMember),
    ]
}

/// The name of a frozen reply; see `request_name`.
pub fn reply_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Stored { .. } => "kept",
        Reply::Chain { .. } => "chain",
        Reply::Digests { .. } => "digests",
        Reply::Quota(_) => "quota",
        Reply::Pong => "pong",
        Reply::Items(_) => "items",
        Reply::Changes { .. } => "changes",
        Reply::Routes { .. } => "routes",
        Reply::Directory { .. } => "directory",
        Reply::DirectoryUnknown => "directory unknown",
        Reply::Stores(_) => "stores",
        Reply::Fetched { .. } => "fetched",
        Reply::StaleMembers(_) => "stale members",
        Reply::Refused(_) => "refused",
    }
}

pub fn records() -> Vec<Record> {
    vec![
        reserve(),
        Record::Settle {
            program: Text::from("program-1"),
            turn: Text::from("turn-1"),
            used_tokens: 21,
        },
        Record::Turn(TurnRecord {
            turn: Text::from("turn-1"),
            program: Text::from("program-1"),
            previous: Text::from("turn-0"),
            input: Blob::from(b"ask\n".to_vec()),
            output: Blob::from(b"say\n".to_vec()),
            used_tokens: 21,
            retention_seconds: 60,
        }),
        Record::Clock { seconds: 22 },
    ]
}

/// The name of a frozen record. Do not add to this list: a build before yours takes a
/// variant that it doesn't know for damage and reads nothing behind it.
pub fn record_name(record: &Record) -> &'static str {
    match record {
        Record::Reserve { .. } => "reserve",
        Record::Settle { .. } => "settle",
        Record::Turn(_) => "turn",
        Record::Clock { .. } => "clock",
    }
}

fn refusals() -> [Refusal; 3] {
    [
        Refusal::NotAMember,
        Refusal::DiskRefused,
        Refusal::MemoryFull,
    ]
}

/// The name of a frozen refusal; see `request_name`.
fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NotAMember => "not a member",
        Refusal::DiskRefused => "disk refused",
        Refusal::MemoryFull => "memory full",
    }
}

fn reserve() -> Record {
    Record::Reserve {
        program: Text::from("program-1"),
        turn: Text::from("turn-1"),
        max_tokens: 80,
    }
}

fn load() -> LoadReport {
    LoadReport {
        front: 23,
        entries: List(vec![LoadEntry {
            replica: 24,
            in_flight: 3,
        }]),
        suspects: List(vec![25]),
        latencies: List(vec![LatencyEntry {
            replica: 24,
            log_ratio: -12,
            answers: 2,
        }]),
    }
}

fn others() -> OtherFrontsReport {
    OtherFrontsReport {
        entries: List(vec![LoadEntry {
            replica: 24,
            in_flight: 9,
        }]),
        suspects: List(vec![Suspicion {
            replica: 25,
            fronts: 2,
        }]),
        placed_turns: List(vec![LoadEntry {
            replica: 26,
            in_flight: 1,
        }]),
        slow_replicas: List(vec![SlowReplica {
            replica: 27,
            slowdown_tenths: 25,
        }]),
    }
}

fn placement() -> Placement {
    Placement {
        replica: 24,
        max_duration_milliseconds: 4_000,
    }
}

fn question() -> QuotaRequest {
    QuotaRequest {
        tenant: 13,
        program: 28,
        per_second: 84.0,
        burst: 20.0,
        version: 6,
        standby: true,
        forced: false,
    }
}

fn receipt() -> QuotaReceipt {
    QuotaReceipt {
        slot: 29,
        version: 6,
        incarnation: 30,
    }
}

fn position(next: u64) -> JournalPosition {
    JournalPosition { journal: 19, next }
}

fn directory() -> DirectoryMark {
    DirectoryMark {
        last_change: 31,
        age_milliseconds: 32,
    }
}

fn mark() -> CopyFreshness {
    CopyFreshness {
        revision: 33,
        age_milliseconds: 34,
        lapsed_entry_grace_milliseconds: 35,
    }
}

fn item() -> DirectoryItem {
    DirectoryItem {
        key: Text::from("op/config"),
        value: Blob::from(b"{}".to_vec()),
        revision: 36,
    }
}

fn change(value: Option<&str>) -> DirectoryChange {
    DirectoryChange {
        key: Text::from("servers/a"),
        value: value.map(|value| Blob::from(value.as_bytes().to_vec())),
        revision: 37,
    }
}

fn part() -> ChainPart {
    ChainPart {
        turn: Text::from("turn-1"),
        previous: Text::from("turn-0"),
        input: Blob::from(b"ask\n".to_vec()),
        output: Blob::from(b"say\n".to_vec()),
    }
}

fn member(number: u64) -> Member {
    Member {
        node: Text::from(format!("store-{number}")),
        address: Text::from(format!("10.0.0.{number}:7000")),
        zone: Text::from("zone-a"),
        state: match number {
            1 => MemberState::Active,
            _ => MemberState::Leaving,
        },
        disk: 38 + number,
    }
}

pub fn stores() -> StoreGroups {
    StoreGroups {
        version: 39,
        groups: List(vec![Members {
            version: 4,
            list: List(vec![member(1), member(2)]),
            before: List(vec![member(1)]),
        }]),
    }
}
