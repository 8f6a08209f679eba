//! Sample values of every frozen message, record, file and entry, each with a name.

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

/// A named value in its encoded form.
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

/// Returns all samples in the order of the golden file.
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
    samples.push(sample("entry of the store groups", &store_groups()));
    samples.push(sample("entry of a registration", &member(1)));
    samples.push(sample("file of the items", &List(vec![directory_item()])));
    samples.push(Sample {
        name: "frame of a request".to_owned(),
        bytes: frame::encode(&Numbered {
            number: 7,
            content: Request::Ping,
        }),
    });
    samples.push(Sample {
        name: "record in a segment".to_owned(),
        bytes: segment_bytes(),
    });
    samples.extend(derived_samples());
    samples
}

/// Returns keys, group numbers and digests, which every build must compute alike.
fn derived_samples() -> Vec<Sample> {
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

fn segment_bytes() -> Vec<u8> {
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
            load: load_report(),
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
            from: journal_position(5),
            held: journal_position(6),
        },
        Request::NewerStoreGroups(store_groups()),
        Request::TurnPlaced {
            turn: 12,
            placement: placement(),
        },
        Request::TurnEnded { turn: 12 },
        Request::Quota(quota_request()),
        Request::QuotaGranted(quota_request()),
        Request::QuotaRefund {
            tenant: 13,
            receipt: quota_receipt(),
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

/// Returns the golden name of a frozen request. Do not add to this list: earlier builds close
/// the connection at an unknown variant. New data goes into a field behind a frozen message
/// (`extension.rs`, `docs/design/versions.md`).
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
            other_fronts: other_fronts_report(),
            directory: directory_mark(),
        },
        Reply::Chain {
            complete: true,
            parts: List(vec![chain_part()]),
            missing: Text::from("turn-0"),
        },
        Reply::Digests {
            next: journal_position(8),
            more: true,
            complete: false,
            members_version: 4,
            directory: directory_mark(),
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
            receipt: quota_receipt(),
        }),
        Reply::Pong,
        Reply::Items(List(vec![directory_item()])),
        Reply::Changes {
            known: true,
            changes: List(vec![
                directory_change(Some("value")),
                directory_change(None),
            ]),
            mark: copy_freshness(),
        },
        Reply::Routes {
            item: directory_item(),
            age_milliseconds: 30,
        },
        Reply::Directory {
            items: List(vec![directory_item()]),
            mark: copy_freshness(),
        },
        Reply::DirectoryUnknown,
        Reply::Stores(List(vec![Text::from("10.0.0.1:7000")])),
        Reply::Fetched {
            journal: 19,
            records: List(records()),
            expired: List(vec![20]),
        },
        Reply::StaleMembers(store_groups()),
        Reply::Refused(Refusal::NotAMember),
    ]
}

/// Returns the golden name of a frozen reply; see `request_name`.
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

/// Returns the golden name of a frozen record. Do not add to this list: earlier builds take an
/// unknown variant for damage and read nothing after it.
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

/// Returns the golden name of a frozen refusal; see `request_name`.
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

fn load_report() -> LoadReport {
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

fn other_fronts_report() -> OtherFrontsReport {
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

fn quota_request() -> QuotaRequest {
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

fn quota_receipt() -> QuotaReceipt {
    QuotaReceipt {
        slot: 29,
        version: 6,
        incarnation: 30,
    }
}

fn journal_position(next: u64) -> JournalPosition {
    JournalPosition { journal: 19, next }
}

fn directory_mark() -> DirectoryMark {
    DirectoryMark {
        last_change: 31,
        age_milliseconds: 32,
    }
}

fn copy_freshness() -> CopyFreshness {
    CopyFreshness {
        revision: 33,
        age_milliseconds: 34,
        lapsed_entry_grace_milliseconds: 35,
    }
}

fn directory_item() -> DirectoryItem {
    DirectoryItem {
        key: Text::from("op/config"),
        value: Blob::from(b"{}".to_vec()),
        revision: 36,
    }
}

fn directory_change(value: Option<&str>) -> DirectoryChange {
    DirectoryChange {
        key: Text::from("servers/a"),
        value: value.map(|value| Blob::from(value.as_bytes().to_vec())),
        revision: 37,
    }
}

fn chain_part() -> ChainPart {
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

pub fn store_groups() -> StoreGroups {
    StoreGroups {
        version: 39,
        groups: List(vec![Members {
            version: 4,
            list: List(vec![member(1), member(2)]),
            before: List(vec![member(1)]),
        }]),
    }
}
